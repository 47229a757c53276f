package quota

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
)

// MaxQuotaSlots limits the slots over which one quota is split, and with them
// the daemons from which a hub borrows.
const MaxQuotaSlots = 64

// Share is a part of one quota.
type Share struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

func (s Share) plus(o Share) Share  { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) times(f float64) Share {
	return Share{s.Rate * f, s.Burst * f}
}

const customerPrefix = "customer/"

// CustomerQuota returns the name of a customer's quota, which counts requests.
func CustomerQuota(customer string) string { return customerPrefix + customer }

// Total returns a quota as declared in a configuration, and false if the
// configuration does not declare it.
func Total(c *config.Config, name string) (Share, bool) {
	if customer, ok := strings.CutPrefix(name, customerPrefix); ok {
		cu, known := c.Customers[customer]
		return Share{Rate: cu.Rate, Burst: cu.Burst}, known
	}
	q, known := findQuota(c, name)
	return Share{Rate: q.Rate, Burst: q.Burst}, known
}

func findQuota(c *config.Config, name string) (config.Quota, bool) {
	for _, q := range c.Quotas() {
		if q.Name == name {
			return q, true
		}
	}
	return config.Quota{}, false
}

// zoneWeights returns the relative weights of the zones in a quota. A
// customer's own zone weights take precedence over the weights of the zones. A
// quota that lists zones is split over these only.
func zoneWeights(c *config.Config, name string) map[string]float64 {
	out := map[string]float64{}
	for zone, z := range c.Zones {
		out[zone] = z.Weight
	}
	if customer, ok := strings.CutPrefix(name, customerPrefix); ok {
		if own := c.Customers[customer].ZoneWeights; len(own) > 0 {
			return own
		}
		return out
	}
	if q, ok := findQuota(c, name); ok && len(q.Zones) > 0 {
		maps.DeleteFunc(out, func(zone string, _ float64) bool { return !slices.Contains(q.Zones, zone) })
	}
	return out
}

// slotKey identifies a slot in the fleet.
type slotKey struct {
	zone string
	slot int
}

// Split maps each slot to its fraction of a quota. Slots that are not in the
// map have no share.
type Split map[slotKey]float64

// HasShare reports whether any of the given slots of a zone has a share.
func (s Split) HasShare(zone string, slots []int) bool {
	for _, slot := range slots {
		if s[slotKey{zone, slot}] > 0 {
			return true
		}
	}
	return false
}

// SplitOf splits a quota over the slots. The fractions sum to 1. If there are
// more than MaxQuotaSlots slots, that many are selected by weighted rendezvous
// hashing, so that all daemons select the same slots and a change of one zone
// affects only the slots of that zone.
func SplitOf(c *config.Config, name string) Split {
	split := Split{}
	weights := zoneWeights(c, name)
	for zone, z := range c.Zones {
		w := weights[zone] / float64(z.Slots)
		for slot := 0; w > 0 && slot < z.Slots; slot++ {
			split[slotKey{zone, slot}] = w
		}
	}
	if len(split) > MaxQuotaSlots {
		limitSlots(split, name)
	}
	sum := 0.0
	for _, w := range split {
		sum += w
	}
	for k := range split {
		split[k] /= sum
	}
	return split
}

// limitSlots reduces a split to the MaxQuotaSlots slots with the best scores.
func limitSlots(split Split, name string) {
	type scored struct {
		key   slotKey
		score float64
	}
	all := make([]scored, 0, len(split))
	for k, w := range split {
		h := xxhash.Sum64String(name + "\x00" + k.zone + "\x00" + string(rune(k.slot)))
		u := (float64(h>>11) + 0.5) / (1 << 53)
		all = append(all, scored{k, -math.Log(u) / w})
	}
	slices.SortFunc(all, func(x, y scored) int {
		switch {
		case x.score < y.score:
			return -1
		case x.score > y.score:
			return 1
		}
		return strings.Compare(x.key.zone, y.key.zone)
	})
	for _, x := range all[MaxQuotaSlots:] {
		delete(split, x.key)
	}
}

// HeldSlots holds the usable slots of this daemon's zone and the configuration
// versions that apply to them. It is never modified.
type HeldSlots struct {
	Zone  string
	Slots []int
	// Versions lists the versions that may be in force somewhere, the newest
	// last.
	Versions []*config.Active
}

// Share returns this daemon's own share of a quota, and the total quota of the
// newest version. The fraction of a slot is the smallest over all versions.
// While the split changes, a daemon with the old version still spends the old
// fraction of its slots, and together with a raised fraction of other slots it
// would exceed the quota.
func (s *HeldSlots) Share(name string) (own, total Share, known bool) {
	if len(s.Versions) == 0 {
		return Share{}, Share{}, false
	}
	total, known = Total(s.Versions[len(s.Versions)-1].Config, name)
	if !known {
		return Share{}, Share{}, false
	}
	fractions := map[int]float64{}
	for _, slot := range s.Slots {
		fractions[slot] = 1
	}
	for _, v := range s.Versions {
		if _, named := Total(v.Config, name); !named {
			continue
		}
		split := SplitOf(v.Config, name)
		for slot := range fractions {
			fractions[slot] = min(fractions[slot], split[slotKey{s.Zone, slot}])
		}
	}
	sum := 0.0
	for _, f := range fractions {
		sum += f
	}
	return total.times(sum), total, true
}
