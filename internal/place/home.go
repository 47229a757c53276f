package place

import "time"

// Selection of the home region of an object that is not warm anywhere.
//
// Callers mostly request objects of their own region, so the home is usually there,
// which saves the round trip to another region and the transferred bytes. But a region
// may have a third of the callers and a tenth of the upstreams. If all its objects
// started at home and moved only when queues have grown, responses would be late in the
// first seconds and many of the region's requests would move at once. A fixed part of
// its objects, selected by hash, therefore has its home in another region from the start.
const (
	// awayPenaltyPart is the part of the time saved by affinity that is added, besides
	// the longest round-trip time between regions, to the cost outside the home region.
	awayPenaltyPart = 0.25
)

// awayPenalty returns the cost added outside an object's home region. It exceeds the
// round-trip time between regions, so that the home takes effect, but never exceeds the
// time that cold work loses.
func (t *Table) awayPenalty(route *serviceTime) time.Duration {
	return min(t.links.longestRoundTrip()+time.Duration(awayPenaltyPart*float64(route.affinityGain())), route.affinityGain())
}

// homeShare returns the part of this region's objects that has its home here, in
// proportion to the slots of the available upstreams.
func (t *Table) homeShare() float64 {
	own, all, regions := 0, 0, 0
	for i, path := range t.zonePaths {
		all += path.openSlots
		if path.local {
			own += path.openSlots
		}
		if path.openSlots > 0 && t.isFirstOpenZone(i) {
			regions++
		}
	}
	if own == all || own == 0 {
		return float64(own)
	}
	return float64(own) * float64(regions) / float64(all)
}

// isFirstOpenZone reports whether a zone is the first of its region with open slots.
func (t *Table) isFirstOpenZone(i int) bool {
	for _, path := range t.zonePaths[:i] {
		if path.openSlots > 0 && path.region == t.zonePaths[i].region {
			return false
		}
	}
	return true
}

// isHomeRegion reports whether this host's region is the home of the object.
func (t *Table) isHomeRegion(object Object) bool {
	const buckets = 1 << 16
	return float64(weight(uint64(object), t.regionHash)%buckets) < t.homeShare()*buckets
}
