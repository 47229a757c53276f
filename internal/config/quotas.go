package config

import (
	"maps"
	"slices"
)

// windowBurst is the part of a cap that is given as burst, the rest as rate:
// rate times one second plus burst is then the cap, so that no window of a
// second exceeds it.
const windowBurst = 0.1

// Quota is something that counts over the whole fleet, besides customers: a
// link, the cap of a shift or a drain, the limit of a region.
type Quota struct {
	Name string
	// Rate per second and Burst, in requests, or bits for links.
	Rate, Burst float64
	// Zones whose slots it is cut over.
	Zones []string
}

// ShiftQuota names the cap of (service, from, to).
func ShiftQuota(service, from, to string) string { return "shift/" + service + "/" + from + "/" + to }

// LinkQuota names the quota of the link from one region to another.
func LinkQuota(from, to string) string { return "link/" + from + "/" + to }

// RegionQuota names the limit of a region.
func RegionQuota(region string) string { return "region/" + region }

// DrainQuota names the cap of a drain.
func DrainQuota(kind DrainKind, target string) string { return "drain/" + string(kind) + "/" + target }

// Quotas lists every quota besides the customers', by name. Shifts and links
// are cut over the zones of the sending region, since its daemons spend them.
func (c *Config) Quotas() []Quota {
	var qs []Quota
	for _, l := range c.Links {
		qs = append(qs, Quota{
			Name: LinkQuota(l.From, l.To), Zones: c.zonesOf(l.From),
			Rate: l.BitsPerSecond * (1 - windowBurst), Burst: l.BitsPerSecond * windowBurst,
		})
	}
	for service := range c.Services {
		for from := range c.Regions {
			for to := range c.Regions {
				if from != to {
					qs = append(qs, capped(ShiftQuota(service, from, to), c.ShiftCap(service, from, to), c.zonesOf(from)))
				}
			}
		}
	}
	for name, r := range c.Regions {
		if r.MaxRequestsPerSecond > 0 {
			qs = append(qs, capped(RegionQuota(name), r.MaxRequestsPerSecond, c.zonesOf(name)))
		}
	}
	for _, d := range c.Drains {
		if d.CapPerSecond > 0 {
			qs = append(qs, capped(DrainQuota(d.Kind, d.Target), d.CapPerSecond, c.drainZones(d)))
		}
	}
	slices.SortFunc(qs, func(x, y Quota) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return qs
}

func capped(name string, perSecond float64, zones []string) Quota {
	return Quota{Name: name, Rate: perSecond * (1 - windowBurst), Burst: perSecond * windowBurst, Zones: zones}
}

// ShiftCap is the cap of all requests of a service that start in a region and
// run in another, per second: the lowest that a move names, else the service's.
func (c *Config) ShiftCap(service, from, to string) float64 {
	lowest := 0.0
	for _, m := range c.Moves {
		if m.Service == service && m.From == from && m.To == to && (lowest == 0 || m.CapPerSecond < lowest) {
			lowest = m.CapPerSecond
		}
	}
	if lowest > 0 {
		return lowest
	}
	return c.Services[service].ShiftCapPerSecond
}

// zonesOf lists a region's zones in order.
func (c *Config) zonesOf(region string) []string {
	var zones []string
	for _, z := range slices.Sorted(maps.Keys(c.Zones)) {
		if c.Zones[z].Region == region {
			zones = append(zones, z)
		}
	}
	return zones
}

func (c *Config) drainZones(d Drain) []string {
	switch d.Kind {
	case DrainZone:
		return c.zonesOf(c.Zones[d.Target].Region)
	case DrainRegion:
		return c.zonesOf(d.Target)
	}
	return nil
}
