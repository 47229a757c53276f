package quota

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/config"
)

// MaxQuotaSlots bounds the slots that one quota is cut over, and with them the
// lenders that a hub asks.
const MaxQuotaSlots = 64

// Share is a part of one quota.
type Share struct {
	// Rate in tokens per second.
	Rate float64
	// Burst in tokens.
	Burst float64
}

func (s Share) plus(o Share) Share  { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) times(f float64) Share {
	return Share{s.Rate * f, s.Burst * f}
}

const customerPrefix = "customer/"

// CustomerQuota names a customer's quota, in requests.
func CustomerQuota(customer string) string { return customerPrefix + customer }

// Total is a quota as a version of the configuration gives it; false if the
// version does not name it.
func Total(c *config.Config, name string) (Share, bool) {
	if customer, ok := strings.CutPrefix(name, customerPrefix); ok {
		cu, known := c.Customers[customer]
		return Share{Rate: cu.Rate, Burst: cu.Burst}, known
	}
	q, known := find(c, name)
	return Share{Rate: q.Rate, Burst: q.Burst}, known
}

func find(c *config.Config, name string) (config.Quota, bool) {
	for _, q := range c.Quotas() {
		if q.Name == name {
			return q, true
		}
	}
	return config.Quota{}, false
}

// weights are the zones' parts in a quota, relative to each other: a
// customer's zone weights, else the zones' own; only the zones that a quota
// names, where it names any.
func weights(c *config.Config, name string) map[string]float64 {
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
	if q, ok := find(c, name); ok && len(q.Zones) > 0 {
		maps.DeleteFunc(out, func(zone string, _ float64) bool { return !slices.Contains(q.Zones, zone) })
	}
	return out
}

// slotKey names a slot over the fleet.
type slotKey struct {
	zone string
	slot int
}

// Split is each slot's fraction of a quota; slots without one have no part.
type Split map[slotKey]float64

// HasShare tells whether slots of a zone have a part.
func (c Split) HasShare(zone string, slots []int) bool {
	for _, slot := range slots {
		if c[slotKey{zone, slot}] > 0 {
			return true
		}
	}
	return false
}

// SplitOf splits a quota over the slots. The fractions sum to 1. Over
// more than MaxQuotaSlots slots, that many are chosen by weighted rendezvous
// hashing, so that all daemons choose the same ones and a changed zone moves
// only its own.
func SplitOf(c *config.Config, name string) Split {
	cut := Split{}
	parts := weights(c, name)
	for zone, z := range c.Zones {
		w := parts[zone] / float64(z.Slots)
		for slot := 0; w > 0 && slot < z.Slots; slot++ {
			cut[slotKey{zone, slot}] = w
		}
	}
	if len(cut) > MaxQuotaSlots {
		choose(cut, name)
	}
	sum := 0.0
	for _, w := range cut {
		sum += w
	}
	for k := range cut {
		cut[k] /= sum
	}
	return cut
}

func choose(cut Split, name string) {
	type scored struct {
		key   slotKey
		score float64
	}
	all := make([]scored, 0, len(cut))
	for k, w := range cut {
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
		delete(cut, x.key)
	}
}

// HeldSlots is what this daemon holds: usable slots of its zone, under versions of
// the configuration. It is never modified.
type HeldSlots struct {
	Zone  string
	Slots []int
	// Versions that may be in force somewhere, the newest last.
	Versions []*config.Active
}

// Share is this daemon's own share of a quota, and the whole quota by the
// newest version. A slot's fraction is the least of all versions': where the
// cut changes, a daemon with the old version still spends the old fraction of
// its slots, and a raised one elsewhere would exceed the quota together with
// it.
func (s *HeldSlots) Share(name string) (own, whole Share, known bool) {
	if len(s.Versions) == 0 {
		return Share{}, Share{}, false
	}
	whole, known = Total(s.Versions[len(s.Versions)-1].Config, name)
	if !known {
		return Share{}, Share{}, false
	}
	least := map[int]float64{}
	for _, slot := range s.Slots {
		least[slot] = 1
	}
	for _, v := range s.Versions {
		if _, named := Total(v.Config, name); !named {
			continue
		}
		cut := SplitOf(v.Config, name)
		for slot := range least {
			least[slot] = min(least[slot], cut[slotKey{s.Zone, slot}])
		}
	}
	sum := 0.0
	for _, f := range least {
		sum += f
	}
	return whole.times(sum), whole, true
}
