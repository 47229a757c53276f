package upstream

import "time"

// Timing of changes of a limit.
const (
	// minDecreaseInterval is the shortest time between two decreases: the
	// results of requests that were sent before the first decrease do not
	// reflect the new limit.
	minDecreaseInterval = 100 * time.Millisecond
	// initialGrowthDelay is the time from a decrease until one more slot is
	// tried. The delay doubles each time the additional slot turns out to be
	// too much, up to maxGrowthDelay. An upstream with fewer slots than
	// configured then sheds one request per maxGrowthDelay instead of one in
	// ten requests.
	initialGrowthDelay = 500 * time.Millisecond
	maxGrowthDelay     = 32 * time.Second
	// growthResetAfter is the time without a decrease after which the delay
	// is initialGrowthDelay again.
	growthResetAfter = 2 * time.Minute
)

// Limit is the adaptive limit of the concurrent requests of one upstream. It
// has no side effects and is not safe for concurrent use.
//
// It handles upstreams that shed requests or become slower with each
// additional request, because they have fewer slots than configured or
// because another handler uses some of them during a change of membership.
// Without the limit, the handler keeps such an upstream full, and every third
// request is shed or late. The limit starts at the configured slots and never
// exceeds them.
type Limit struct {
	slots       int
	value       int
	decreasedAt time.Time
	nextGrowth  time.Time
	growthDelay time.Duration
	decreased   bool
}

// NewLimit returns a limit that starts at the configured slots.
func NewLimit(slots int) *Limit {
	slots = max(slots, 1)
	return &Limit{slots: slots, value: slots, growthDelay: initialGrowthDelay}
}

// Value returns the number of requests that may run at once. It is at least
// 1.
func (l *Limit) Value() int { return l.value }

// SetSlots sets the configured slots.
func (l *Limit) SetSlots(slots int) {
	slots = max(slots, 1)
	if l.value == l.slots {
		l.value = slots
	}
	l.slots = slots
	l.value = min(l.value, slots)
}

// Decrease lowers the limit because running requests, including the one that
// was shed, were too many.
func (l *Limit) Decrease(running int, now time.Time) {
	if l.decreased && now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	switch elapsed := now.Sub(l.decreasedAt); {
	case !l.decreased || elapsed > growthResetAfter:
		l.growthDelay = initialGrowthDelay
	case l.value == l.slots || elapsed > l.growthDelay:
		l.growthDelay = min(2*l.growthDelay, maxGrowthDelay)
	}
	l.decreased = true
	l.value = max(1, min(l.value, running)-1)
	l.decreasedAt = now
	l.nextGrowth = now.Add(l.growthDelay)
}

// ResetToOne sets the limit to one request, as after an ejection. It grows
// from there with initialGrowthDelay.
func (l *Limit) ResetToOne(now time.Time) {
	l.value = 1
	l.growthDelay = initialGrowthDelay
	l.nextGrowth = now.Add(l.growthDelay)
}

// Increase adds a slot if the growth delay has passed. It is called when a
// request succeeds while the limit is fully used: success of an idle upstream
// does not show that it can run more requests.
func (l *Limit) Increase(now time.Time) {
	if l.value >= l.slots || now.Before(l.nextGrowth) {
		return
	}
	l.value++
	l.nextGrowth = now.Add(l.growthDelay)
}
