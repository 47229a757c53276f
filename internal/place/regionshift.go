package place

import "time"

// Limits on how quickly requests move between regions.
//
// Callers of one region may move or multiply within a second, and upstreams of a region
// join or leave. If every host sent all excess requests to other regions at once, the
// load of these regions would jump from one second to the next while their upstreams are
// cold, and drop again as quickly. The share of each region in this host's requests may
// therefore grow only by a bounded part per window. If upstreams of the local region
// fail, no share is limited.
const (
	// shiftWindow is the window over which shares are compared. It is divided into
	// shiftSlots slots, so that the window slides.
	shiftWindow = 2 * time.Second
	shiftSlots  = 8
	// hostShiftPart is the part of the allowed growth that each host uses. A host counts
	// only its own requests, and a share of few requests is inaccurate.
	hostShiftPart = 0.8
	// minShiftSamples is the number of requests from which shares are compared.
	minShiftSamples = 20
	// shiftPenalty is added to the cost in a region whose share has reached its limit.
	shiftPenalty = 250 * time.Millisecond
	// failoverWindow is how long requests may go to any region after an upstream of this
	// region has failed.
	failoverWindow = 5 * time.Second
)

// regionShares counts this host's recent requests by the region they were sent to.
type regionShares struct {
	slots [2 * shiftSlots]shiftSlot
}

type shiftSlot struct {
	number   int64
	total    float64
	byRegion map[string]float64
}

func shiftSlotNumber(now time.Time) int64 { return now.UnixNano() / int64(shiftWindow/shiftSlots) }

func (r *regionShares) observe(now time.Time, region string) {
	n := shiftSlotNumber(now)
	s := &r.slots[n%int64(len(r.slots))]
	if s.number != n {
		*s = shiftSlot{number: n, byRegion: map[string]float64{}}
	}
	s.total++
	s.byRegion[region]++
}

// count sums the slots whose age, in slots, is at least from and less than to.
func (r *regionShares) count(now time.Time, region string, from, to int64) (part, total float64) {
	n := shiftSlotNumber(now)
	for i := range r.slots {
		if age := n - r.slots[i].number; age >= from && age < to {
			part += r.slots[i].byRegion[region]
			total += r.slots[i].total
		}
	}
	return part, total
}

// mayGrow reports whether one more request may be sent to the region.
func (r *regionShares) mayGrow(now time.Time, region string, maxGrowth float64) bool {
	before, all := r.count(now, region, shiftSlots, 2*shiftSlots)
	if all < minShiftSamples {
		return true
	}
	part, total := r.count(now, region, 0, shiftSlots)
	return (part+1)/(total+1) <= before/all+maxGrowth*hostShiftPart
}

// SetMaxRegionShift sets by how much the share of a region may grow from one window of
// two seconds to the next; 0 means no limit.
func (t *Table) SetMaxRegionShift(maxGrowth float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxShift = maxGrowth
}

// limitShift adds a penalty to candidates in regions whose share has reached its limit,
// so that they receive a request only if the delay elsewhere is long.
func (t *Table) limitShift(now time.Time, s *survey) {
	if t.maxShift <= 0 || s.localFailure {
		return
	}
	for i := range t.zonePaths {
		path := &t.zonePaths[i]
		path.shiftLimited = path.openSlots > 0 && !t.shares.mayGrow(now, path.region, t.maxShift)
	}
	for i := range s.candidates {
		if c := &s.candidates[i]; c.path.shiftLimited {
			c.cost += shiftPenalty
		}
	}
}
