package upstream

import "time"

// Growth of a limit after it was cut.
const (
	// cutPause is the least time between two cuts: requests that were on
	// their way when the first was made say nothing about the new limit.
	minDecreaseInterval = 100 * time.Millisecond
	// firstGrowth is the time from a cut until one more slot is tried;
	// it doubles each time that was too much, up to maxGrowth. So a worker with
	// fewer slots than configured sheds one request per maxGrowth, not one in
	// ten.
	initialGrowthDelay = 500 * time.Millisecond
	maxGrowthDelay     = 32 * time.Second
	// calmAfter without a cut, the next one counts as the first again.
	growthResetAfter = 2 * time.Minute
)

// Limit is how many requests one upstream may run at once. It is pure and not
// safe for concurrent use.
//
// Load pattern: an upstream that sheds, or that is slower with each request
// more, because it has fewer slots than the configuration says, or because
// another handler uses them during a change of membership. Without it, the
// handler keeps it full and every third request is shed or late. It starts at
// the configured slots and never exceeds them.
type Limit struct {
	slots       int
	value       int
	decreasedAt time.Time
	nextGrowth  time.Time
	growthDelay time.Duration
	decreased   bool
}

// NewLimit returns a limit at its configured slots.
func NewLimit(slots int) *Limit {
	slots = max(slots, 1)
	return &Limit{slots: slots, value: slots, growthDelay: initialGrowthDelay}
}

// Value is the number of requests that may run at once; at least 1.
func (l *Limit) Value() int { return l.value }

// SetSlots changes the configured slots.
func (l *Limit) SetSlots(slots int) {
	slots = max(slots, 1)
	if l.value == l.slots {
		l.value = slots
	}
	l.slots = slots
	l.value = min(l.value, slots)
}

// Cut lowers the limit: running requests, the refused or slow one included,
// were too many.
func (l *Limit) Decrease(running int, now time.Time) {
	if l.decreased && now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	switch calm := now.Sub(l.decreasedAt); {
	case !l.decreased || calm > growthResetAfter:
		l.growthDelay = initialGrowthDelay
	case l.value == l.slots || calm > l.growthDelay:
		l.growthDelay = min(2*l.growthDelay, maxGrowthDelay)
	}
	l.decreased = true
	l.value = max(1, min(l.value, running)-1)
	l.decreasedAt = now
	l.nextGrowth = now.Add(l.growthDelay)
}

// Restart lowers the limit to one request, as after an ejection; it grows at
// the first pace.
func (l *Limit) Reset(now time.Time) {
	l.value = 1
	l.growthDelay = initialGrowthDelay
	l.nextGrowth = now.Add(l.growthDelay)
}

// Grow adds a slot if it is time. It is called when a request has succeeded
// while the limit was in full use; an idle upstream proves nothing.
func (l *Limit) Increase(now time.Time) {
	if l.value >= l.slots || now.Before(l.nextGrowth) {
		return
	}
	l.value++
	l.nextGrowth = now.Add(l.growthDelay)
}
