package fairqueue

import "time"

// Class separates the short and the long requests of one service.
type Class int

// Classes of requests.
const (
	Short Class = iota
	Long
	classCount
)

// Limits of long requests, as fractions of the slots. Slots are not preempted,
// so short requests find a free slot soon only if long ones cannot hold them
// all.
const (
	// longMinFraction is the fraction of the slots that long requests receive
	// before short ones, so that a flood of short requests does not starve
	// them.
	longMinFraction = 0.25
	// longMaxFraction is the largest fraction that long requests may hold
	// while short requests arrive.
	longMaxFraction = 0.5
	// shortActiveWindow is how long longMaxFraction applies after the last
	// short request arrived. It spans a few long requests of 2 seconds.
	shortActiveWindow = 10 * time.Second
)

// longSlotBounds returns how many slots long requests receive before short
// ones (floor) and how many they may hold at most (ceiling).
func (q *Queue) longSlotBounds(now time.Time) (floor, ceiling int) {
	if now.Sub(q.lastShortArrival) > shortActiveWindow {
		return q.slots, q.slots
	}
	floor = max(1, int(longMinFraction*float64(q.slots)))
	ceiling = max(1, int(longMaxFraction*float64(q.slots)))
	return floor, ceiling
}

// classCapacity returns the number of slots that a class can rely on.
func (q *Queue) classCapacity(class Class, now time.Time) float64 {
	floor, ceiling := q.longSlotBounds(now)
	if class == Long {
		if q.classes[Short].count > 0 {
			return float64(max(floor, 1))
		}
		return float64(max(ceiling, 1))
	}
	return float64(max(q.slots-max(q.running[Long], min(floor, q.classes[Long].count)), 1))
}

// nextClass returns the class to serve next. It returns false if no request
// may be served.
func (q *Queue) nextClass(now time.Time) (Class, bool) {
	floor, ceiling := q.longSlotBounds(now)
	long, short := q.classes[Long].count > 0, q.classes[Short].count > 0
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
