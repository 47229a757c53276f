package place

import "time"

// How fast the regions in which requests run may change.
//
// Load pattern: callers of one region move or multiply within a second, or
// upstreams of one region join or leave. If every host sends what does not fit
// elsewhere at once, the other regions get a third more from one second to the
// next, with cold upstreams, and give it back as quickly. So the share of each
// region among this host's requests may grow by a bounded part from one span to
// the next. Where the region's own upstreams fail, no share is held back.
const (
	// mixSpan is the span over which shares are compared, and mixSlots how many
	// parts of one are counted apart, so that spans slide.
	mixSpan  = 2 * time.Second
	mixSlots = 8
	// shiftPart of what is allowed is used by each host: a host counts its own
	// requests only, some 50 in a span, and a share of a few is a rough one.
	shiftPart = 0.8
	// leastMix is the number of requests from which a share is compared.
	leastMix = 20
	// shiftStep is added to the expected finish in a region that has got as much
	// more as it may.
	shiftStep = 250 * time.Millisecond
	// disturbedFor is how long after an upstream of this region has failed
	// requests may go wherever there is room.
	disturbedFor = 5 * time.Second
)

// mix counts in which regions this host's requests ran lately.
type mix struct {
	slots [2 * mixSlots]mixSlot
}

type mixSlot struct {
	number   int64
	total    float64
	byRegion map[string]float64
}

func mixNumber(now time.Time) int64 { return now.UnixNano() / int64(mixSpan/mixSlots) }

func (m *mix) note(now time.Time, region string) {
	n := mixNumber(now)
	s := &m.slots[n%int64(len(m.slots))]
	if s.number != n {
		*s = mixSlot{number: n, byRegion: map[string]float64{}}
	}
	s.total++
	s.byRegion[region]++
}

// count sums the slots from..to, counted back from now.
func (m *mix) count(now time.Time, region string, from, to int64) (part, total float64) {
	n := mixNumber(now)
	for i := range m.slots {
		if age := n - m.slots[i].number; age >= from && age < to {
			part += m.slots[i].byRegion[region]
			total += m.slots[i].total
		}
	}
	return part, total
}

// allows tells whether one more request may run in the region.
func (m *mix) allows(now time.Time, region string, most float64) bool {
	before, all := m.count(now, region, mixSlots, 2*mixSlots)
	if all < leastMix {
		return true
	}
	part, total := m.count(now, region, 0, mixSlots)
	return (part+1)/(total+1) <= before/all+most*shiftPart
}

// SetMaxShift says by how much the share of a region may grow from one span of
// two seconds to the next; 0: without bound.
func (t *Table) SetMaxShift(most float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxShift = most
}

// holdBack adds to the cost of the candidates of those regions whose share has
// grown as much as it may, so that a request goes there only if it would wait
// long elsewhere.
func (t *Table) holdBack(now time.Time, s *survey) {
	if t.maxShift <= 0 || s.disturbed {
		return
	}
	for i := range t.zoneLegs {
		l := &t.zoneLegs[i]
		l.heldBack = l.open > 0 && !t.mix.allows(now, l.region, t.maxShift)
	}
	for i := range s.open {
		if c := &s.open[i]; c.leg.heldBack {
			c.cost += shiftStep
		}
	}
}
