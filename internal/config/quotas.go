package config

import (
	"maps"
	"slices"
)

// burstFraction is the fraction of a cap that is used as burst. The remainder
// is used as rate, so that rate times one second plus burst equals the cap, and
// no window of one second exceeds it.
const burstFraction = 0.1

// Quota is a fleet-wide limit that does not belong to a customer: the
// capacity of a link, the cap of a shift or a drain, or the limit of a region.
type Quota struct {
	Name string
	// Rate (per second) and Burst are in requests, or in bits for links.
	Rate, Burst float64
	// Zones are the zones over whose slots the quota is split; all zones if
	// empty.
	Zones []string
}

// ShiftQuota returns the name of the quota of shifts of (service, from, to).
func ShiftQuota(service, from, to string) string { return "shift/" + service + "/" + from + "/" + to }

// LinkQuota returns the name of the quota of the link between two regions.
func LinkQuota(from, to string) string { return "link/" + from + "/" + to }

// RegionQuota returns the name of the quota of a region's request limit.
func RegionQuota(region string) string { return "region/" + region }

// DrainQuota returns the name of the quota of a drain.
func DrainQuota(kind DrainKind, target string) string { return "drain/" + string(kind) + "/" + target }

// Quotas returns all quotas other than those of customers, ordered by name. The
// quotas of shifts and links are split over the zones of the sending region,
// because its daemons spend them.
func (c *Config) Quotas() []Quota {
	var quotas []Quota
	for _, l := range c.Links {
		quotas = append(quotas, Quota{
			Name: LinkQuota(l.From, l.To), Zones: c.zonesOf(l.From),
			Rate: l.BitsPerSecond * (1 - burstFraction), Burst: l.BitsPerSecond * burstFraction,
		})
	}
	for service := range c.Services {
		for from := range c.Regions {
			for to := range c.Regions {
				if from != to {
					quotas = append(quotas, newQuota(ShiftQuota(service, from, to), c.ShiftCap(service, from, to), c.zonesOf(from)))
				}
			}
		}
	}
	for name, r := range c.Regions {
		if r.MaxRequestsPerSecond > 0 {
			quotas = append(quotas, newQuota(RegionQuota(name), r.MaxRequestsPerSecond, c.zonesOf(name)))
		}
	}
	for _, d := range c.Drains {
		if d.CapPerSecond > 0 {
			quotas = append(quotas, newQuota(DrainQuota(d.Kind, d.Target), d.CapPerSecond, c.drainZones(d)))
		}
	}
	slices.SortFunc(quotas, func(x, y Quota) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	return quotas
}

func newQuota(name string, perSecond float64, zones []string) Quota {
	return Quota{Name: name, Rate: perSecond * (1 - burstFraction), Burst: perSecond * burstFraction, Zones: zones}
}

// ShiftCap returns the maximum number of requests per second of a service that
// start in one region and run in another: the lowest cap of the moves between
// these regions, or the service's own cap if there are none.
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

// zonesOf returns the zones of a region in order.
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
