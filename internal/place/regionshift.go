package place

import "time"

// How fast the regions in which requests run may change.
//
// Load pattern: callers of one region move or multiply within a second, or
// upstreams of one region join or leave. If every host sends what does not fit
// elsewhere at once, the other regions get far more from one second to the next,
// with cold upstreams, and give it back as quickly. So the share of each
// region among this host's requests may grow by a bounded part from one span to
// the next. Where the region's own upstreams fail, no share is held back.
const (
	// shiftWindow is the span over which shares are compared, and mixSlots how many
	// parts of one are counted apart, so that spans slide.
	shiftWindow = 2 * time.Second
	shiftSlots  = 8
	// hostShiftPart of what is allowed is used by each host: a host counts its own
	// requests only, and a share of a few is a rough one.
	hostShiftPart = 0.8
	// minShiftSamples is the number of requests from which a share is compared.
	minShiftSamples = 20
	// shiftPenalty is added to the expected finish in a region that has got as much
	// more as it may.
	shiftPenalty = 250 * time.Millisecond
	// failoverFor is how long after an upstream of this region has failed
	// requests may go wherever there is room.
	failoverWindow = 5 * time.Second
)

// regionShares counts in which regions this host's requests ran lately.
type regionShares struct {
	slots [2 * shiftSlots]shiftSlot
}

type shiftSlot struct {
	number   int64
	total    float64
	byRegion map[string]float64
}

func shiftSlotNumber(now time.Time) int64 { return now.UnixNano() / int64(shiftWindow/shiftSlots) }

func (m *regionShares) observe(now time.Time, region string) {
	n := shiftSlotNumber(now)
	s := &m.slots[n%int64(len(m.slots))]
	if s.number != n {
		*s = shiftSlot{number: n, byRegion: map[string]float64{}}
	}
	s.total++
	s.byRegion[region]++
}

// count sums the slots from..to, counted back from now.
func (m *regionShares) count(now time.Time, region string, from, to int64) (part, total float64) {
	n := shiftSlotNumber(now)
	for i := range m.slots {
		if age := n - m.slots[i].number; age >= from && age < to {
			part += m.slots[i].byRegion[region]
			total += m.slots[i].total
		}
	}
	return part, total
}

// mayGrow tells whether one more request may run in the region.
func (m *regionShares) mayGrow(now time.Time, region string, most float64) bool {
	before, all := m.count(now, region, shiftSlots, 2*shiftSlots)
	if all < minShiftSamples {
		return true
	}
	part, total := m.count(now, region, 0, shiftSlots)
	return (part+1)/(total+1) <= before/all+most*hostShiftPart
}

// SetMaxShift says by how much the share of a region may grow from one span of
// two seconds to the next; 0: without bound.
func (t *Table) SetMaxRegionShift(most float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxShift = most
}

// limitShift adds to the cost of the candidates of those regions whose share has
// grown as much as it may, so that a request goes there only if it would wait
// long elsewhere.
func (t *Table) limitShift(now time.Time, s *survey) {
	if t.maxShift <= 0 || s.localFailure {
		return
	}
	for i := range t.zonePaths {
		l := &t.zonePaths[i]
		l.shiftLimited = l.openSlots > 0 && !t.shares.mayGrow(now, l.region, t.maxShift)
	}
	for i := range s.candidates {
		if c := &s.candidates[i]; c.path.shiftLimited {
			c.cost += shiftPenalty
		}
	}
}
