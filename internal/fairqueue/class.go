package fairqueue

import "time"

// Class keeps short and long work of one service apart.
type Class int

// Classes of work.
const (
	Short Class = iota
	Long
	classes
)

// Parts of the slots for long work. Slots are not preempted, so short work
// finds a free one soon only if long work cannot hold them all.
const (
	// longFloor is the part that long work gets before short work, so that a
	// flood of short work does not starve it.
	longFloor = 0.25
	// longCeiling is the most it may hold while short work comes.
	longCeiling = 0.5
	// shortMemory is how long after the last short request the ceiling holds:
	// a few of the 2-second reports.
	shortMemory = 10 * time.Second
)

// longSlots returns how many slots long work may hold: for certain, and at most.
func (q *Queue) longSlots(now time.Time) (floor, ceiling int) {
	if now.Sub(q.lastShort) > shortMemory {
		return q.room, q.room
	}
	floor = max(1, int(longFloor*float64(q.room)))
	ceiling = max(1, int(longCeiling*float64(q.room)))
	return floor, ceiling
}

// capacity is how many slots a class can count on.
func (q *Queue) capacity(class Class, now time.Time) float64 {
	floor, ceiling := q.longSlots(now)
	if class == Long {
		if q.parts[Short].count > 0 {
			return float64(max(floor, 1))
		}
		return float64(max(ceiling, 1))
	}
	return float64(max(q.room-max(q.running[Long], min(floor, q.parts[Long].count)), 1))
}

// choose picks the class to serve next; false if nothing may be served.
func (q *Queue) choose(now time.Time) (Class, bool) {
	floor, ceiling := q.longSlots(now)
	long, short := q.parts[Long].count > 0, q.parts[Short].count > 0
	switch {
	case long && q.running[Long] < floor:
		return Long, true
	case short:
		return Short, true
	case long && q.running[Long] < ceiling:
		return Long, true
	}
	return Short, false
}
