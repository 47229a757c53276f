package quota

import (
	"maps"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// maxVersions bounds the versions with different cuts that are kept while a
// zone has not confirmed: more than operators change weights or slots while a
// zone is cut off.
const maxVersions = 16

// SplitVersions tracks which versions of the configuration may be in force somewhere, as
// far as they cut quotas differently. A share raised by a new cut is used only
// when every slot's holder has the new version and its loans under the old
// one have ended; a lowered one at once. Without this, a zone that adopts new
// weights early and one that adopts them late exceed the quota together, for
// as long as the late one is cut off.
//
// A rate or burst that changes under the same cut needs no delay: each slot
// then holds its fraction of either the old or the new quota, and the sum is
// at most the greater of the two.
//
// What does not hold: a daemon that starts while an older cut is still in
// force somewhere knows only the new one; and of more than maxVersions cuts
// the oldest is forgotten.
type SplitVersions struct {
	versions []*config.Active
	// confirmed is when every holder was first seen with the newest version.
	confirmed time.Time
}

// Observe notes the version in force here and what members have told, this
// daemon included. It returns the versions to cut by, the newest last.
func (c *SplitVersions) Observe(active *config.Active, members []membership.Member, now time.Time) []*config.Active {
	c.add(active)
	if len(c.versions) == 1 {
		return c.versions
	}
	if !holdersHave(active, members) {
		c.confirmed = time.Time{}
		return c.versions
	}
	if c.confirmed.IsZero() {
		c.confirmed = now
	}
	if now.Sub(c.confirmed) >= Quarantine {
		c.versions = []*config.Active{active}
	}
	return c.versions
}

func (c *SplitVersions) add(active *config.Active) {
	n := len(c.versions)
	if n > 0 && c.versions[n-1].Version == active.Version {
		return
	}
	c.confirmed = time.Time{}
	next := append([]*config.Active(nil), c.versions...)
	if n > 0 && sameCut(next[n-1].Config, active.Config) {
		next[n-1] = active
	} else {
		next = append(next, active)
	}
	if len(next) > maxVersions {
		next = next[1:]
	}
	c.versions = next
}

// holdersHave tells whether every slot of every zone is held by a member with
// at least the version. A zone that was taken out of the configuration is not
// waited for: the operators say by it that its daemons are gone.
func holdersHave(active *config.Active, members []membership.Member) bool {
	seen := map[slotKey]bool{}
	for _, m := range members {
		for _, slot := range m.Slots {
			if m.ConfigVersion >= active.Version {
				seen[slotKey{m.Zone, slot}] = true
			}
		}
	}
	for zone, z := range active.Config.Zones {
		for slot := range z.Slots {
			if !seen[slotKey{zone, slot}] {
				return false
			}
		}
	}
	return true
}

// sameCut tells whether both versions give every slot the same fraction of
// every quota that both name.
func sameCut(a, b *config.Config) bool {
	same := maps.EqualFunc(a.Zones, b.Zones, func(x, y config.Zone) bool {
		return x.Slots == y.Slots && x.Weight == y.Weight && x.Region == y.Region
	})
	if !same {
		return false
	}
	for name, x := range a.Customers {
		// A customer that is taken out may come back with other weights.
		y, kept := b.Customers[name]
		if !kept || !maps.Equal(x.ZoneWeights, y.ZoneWeights) {
			return false
		}
	}
	return true
}
