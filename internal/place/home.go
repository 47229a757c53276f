package place

import "time"

// Where an object that is warm nowhere gets its home.
//
// Callers ask mostly for objects of their own region, so the home is there: the
// way to another region and the bytes are saved. But a region may have a third
// of the callers and a tenth of the upstreams. If its objects all begin at home
// and move when queues have grown, the first seconds are late and a large part
// of the region's requests moves at once. So a fixed part of its objects, by
// hash, has its home elsewhere from the beginning.
const (
	// awayPart of what warm work saves is added, beside the way to the farthest
	// region, to the expected finish where an object has not its home.
	awayPenaltyPart = 0.25
)

// awayPenalty is added to the expected finish where an object has not its home: more
// than the way between regions, so that the home counts, and no more than what is
// lost by cold work.
func (t *Table) awayPenalty(route *serviceTime) time.Duration {
	return min(t.links.longestRoundTrip()+time.Duration(awayPenaltyPart*float64(route.affinityGain())), route.affinityGain())
}

// homeShare is the part of this region's objects that has its home here, by the slots
// of the upstreams that may be asked.
func (t *Table) homeShare() float64 {
	own, all, regions := 0, 0, 0
	for i, l := range t.zonePaths {
		all += l.openSlots
		if l.local {
			own += l.openSlots
		}
		if l.openSlots > 0 && t.isFirstOpenZone(i) {
			regions++
		}
	}
	if own == all || own == 0 {
		return float64(own)
	}
	return float64(own) * float64(regions) / float64(all)
}

// isFirstOpenZone tells whether a zone is the first of its region that has slots.
func (t *Table) isFirstOpenZone(i int) bool {
	for _, l := range t.zonePaths[:i] {
		if l.openSlots > 0 && l.region == t.zonePaths[i].region {
			return false
		}
	}
	return true
}

// isHomeRegion tells whether the object has its home in this region.
func (t *Table) isHomeRegion(object Object) bool {
	const buckets = 1 << 16
	return float64(weight(uint64(object), t.regionHash)%buckets) < t.homeShare()*buckets
}
