package quota

import (
	"maps"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// maxVersions limits the versions with different splits that are kept while a
// zone has not confirmed the newest one. Operators make fewer changes of
// weights or slots than this while a zone is partitioned.
const maxVersions = 16

// SplitVersions tracks the configuration versions that split quotas differently
// and may be in force on some daemon. A share that a new split
// raises is used only when the holder of every slot has the new version and
// its loans under the old version have ended. A share that a new split lowers
// applies at once. Otherwise a zone that applies new weights early and a zone
// that applies them late would together exceed the quota for as long as the
// late zone is partitioned.
//
// A change of rate or burst under the same split needs no delay. Each slot
// then holds its fraction of either the old or the new quota, so the sum is at
// most the greater of the two.
//
// There are two exceptions. A daemon that starts while an older split is still
// in force somewhere knows only the new split. With more than maxVersions
// splits, the oldest is dropped.
type SplitVersions struct {
	versions []*config.Active
	// confirmedAt is the time at which every slot holder was first seen with
	// the newest version.
	confirmedAt time.Time
}

// Observe records the version in force on this daemon and the versions
// reported by members, including this daemon. It returns the versions that
// apply to the splits, the newest last.
func (s *SplitVersions) Observe(active *config.Active, members []membership.Member, now time.Time) []*config.Active {
	s.add(active)
	if len(s.versions) == 1 {
		return s.versions
	}
	if !allHoldersHave(active, members) {
		s.confirmedAt = time.Time{}
		return s.versions
	}
	if s.confirmedAt.IsZero() {
		s.confirmedAt = now
	}
	if now.Sub(s.confirmedAt) >= Quarantine {
		s.versions = []*config.Active{active}
	}
	return s.versions
}

// add appends a version, or replaces the newest one if both split quotas
// equally.
func (s *SplitVersions) add(active *config.Active) {
	n := len(s.versions)
	if n > 0 && s.versions[n-1].Version == active.Version {
		return
	}
	s.confirmedAt = time.Time{}
	next := append([]*config.Active(nil), s.versions...)
	if n > 0 && sameSplit(next[n-1].Config, active.Config) {
		next[n-1] = active
	} else {
		next = append(next, active)
	}
	if len(next) > maxVersions {
		next = next[1:]
	}
	s.versions = next
}

// allHoldersHave reports whether every slot of every zone is held by a member
// with at least the given version. A zone that was removed from the
// configuration is not waited for: by removing it, the operators state that
// its daemons no longer run.
func allHoldersHave(active *config.Active, members []membership.Member) bool {
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

// sameSplit reports whether two configurations give every slot the same
// fraction of every quota that both declare.
func sameSplit(a, b *config.Config) bool {
	same := maps.EqualFunc(a.Zones, b.Zones, func(x, y config.Zone) bool {
		return x.Slots == y.Slots && x.Weight == y.Weight && x.Region == y.Region
	})
	if !same {
		return false
	}
	for name, x := range a.Customers {
		// A customer that is removed may be added again with other weights.
		y, found := b.Customers[name]
		if !found || !maps.Equal(x.ZoneWeights, y.ZoneWeights) {
			return false
		}
	}
	return true
}
