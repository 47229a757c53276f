package place

import "time"

// Limits on how quickly requests move between regions.
//
// Callers of one region may move or multiply within a second, and upstreams of a region
// join or leave. If every host sent all excess requests to other regions at once, the
// load of these regions would jump from one second to the next while their upstreams are
// cold, and drop again as quickly. The shares of the regions in this host's requests may
// therefore grow only by a bounded part per window, all growing regions together. If
// upstreams of the local region fail, no share is limited.
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
	// scratch is the result of growth, which is reused.
	scratch shareGrowth
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

// shareGrowth is the shares of the regions in the present window and in the one before.
type shareGrowth struct {
	before, present           map[string]float64
	totalBefore, totalPresent float64
}

// growth returns the shares of the regions. The result is valid until the next call.
func (r *regionShares) growth(now time.Time) *shareGrowth {
	g := &r.scratch
	if g.before == nil {
		g.before, g.present = map[string]float64{}, map[string]float64{}
	}
	clear(g.before)
	clear(g.present)
	g.totalBefore, g.totalPresent = 0, 0
	n := shiftSlotNumber(now)
	for i := range r.slots {
		s := &r.slots[i]
		counts, total := g.present, &g.totalPresent
		switch age := n - s.number; {
		case age < 0 || age >= 2*shiftSlots:
			continue
		case age >= shiftSlots:
			counts, total = g.before, &g.totalBefore
		}
		*total += s.total
		for region, count := range s.byRegion {
			counts[region] += count
		}
	}
	return g
}

// mayGrow reports whether one more request may be sent to the region: its share does not grow, or
// the shares of all growing regions together grow by at most maxGrowth.
func (g *shareGrowth) mayGrow(region string, maxGrowth float64) bool {
	if g.totalBefore < minShiftSamples {
		return true
	}
	sum := 0.0
	for other, count := range g.present {
		if other != region {
			sum += max(count/(g.totalPresent+1)-g.before[other]/g.totalBefore, 0)
		}
	}
	own := (g.present[region]+1)/(g.totalPresent+1) - g.before[region]/g.totalBefore
	return own <= 0 || sum+own <= maxGrowth*hostShiftPart
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
	growth := t.shares.growth(now)
	for i := range t.zonePaths {
		path := &t.zonePaths[i]
		path.shiftLimited = path.openSlots > 0 && !growth.mayGrow(path.region, t.maxShift)
	}
	for i := range s.candidates {
		if c := &s.candidates[i]; c.path.shiftLimited {
			c.cost += shiftPenalty
		}
	}
}
