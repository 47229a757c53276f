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
	awayPart = 0.25
)

// awayStep is added to the expected finish where an object has not its home: more
// than the way between regions, so that the home counts, and no more than what is
// lost by cold work.
func (t *Table) awayStep(route *work) time.Duration {
	return min(t.way.farthest()+time.Duration(awayPart*float64(route.gain())), route.gain())
}

// homePart is the part of this region's objects that has its home here, by the slots
// of the upstreams that may be asked.
func (t *Table) homePart() float64 {
	own, all, regions := 0, 0, 0
	for i, l := range t.zoneLegs {
		all += l.open
		if l.here {
			own += l.open
		}
		if l.open > 0 && t.firstOpen(i) {
			regions++
		}
	}
	if own == all || own == 0 {
		return float64(own)
	}
	return float64(own) * float64(regions) / float64(all)
}

// firstOpen tells whether a zone is the first of its region that has slots.
func (t *Table) firstOpen(i int) bool {
	for _, l := range t.zoneLegs[:i] {
		if l.open > 0 && l.region == t.zoneLegs[i].region {
			return false
		}
	}
	return true
}

// livesHere tells whether the object has its home in this region.
func (t *Table) livesHere(object Object) bool {
	const buckets = 1 << 16
	return float64(weight(uint64(object), t.regionHash)%buckets) < t.homePart()*buckets
}
