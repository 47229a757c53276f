package quota

import "balsambarrow/internal/config"

// CustomerQuota names a customer's quota.
func CustomerQuota(customer string) string { return "customer/" + customer }

// Shares cuts every quota for a daemon that holds held slots of
// zone: by the customer's zone weights (the zones' own by default), evenly
// over a zone's slots.
func Shares(a *config.Active, zone string, held int) map[string]Share {
	shares := map[string]Share{}
	z, ok := a.Config.Zones[zone]
	if !ok || held == 0 {
		return shares
	}
	for _, q := range a.Config.Quotas() {
		if part := quotaPart(a.Config, q.Zones, zone, held); part > 0 {
			shares[q.Name] = Share{Rate: q.Rate * part, Burst: q.Burst * part}
		}
	}
	ofZone := float64(held) / float64(z.Slots)
	for name, c := range a.Config.Customers {
		part := ofZone * zonePart(a.Config, c, zone)
		if part > 0 {
			shares[CustomerQuota(name)] = Share{Rate: c.Rate * part, Burst: c.Burst * part}
		}
	}
	return shares
}

// quotaPart is the part of a quota that is cut evenly over the slots of zones.
func quotaPart(c *config.Config, zones []string, zone string, held int) float64 {
	total, mine := 0, 0
	for _, z := range zones {
		total += c.Zones[z].Slots
		if z == zone {
			mine = held
		}
	}
	if total == 0 {
		return 0
	}
	return float64(mine) / float64(total)
}

func zonePart(c *config.Config, cu config.Customer, zone string) float64 {
	sum := 0.0
	weight := func(z string) float64 {
		if len(cu.ZoneWeights) > 0 {
			return cu.ZoneWeights[z]
		}
		return c.Zones[z].Weight
	}
	for z := range c.Zones {
		sum += weight(z)
	}
	return weight(zone) / sum
}
