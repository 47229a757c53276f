package entryhost

import (
	"sync"
	"time"
)

const (
	// suspensionGap is the time between two ticks of the control thread from which the process
	// counts as suspended in between.
	suspensionGap = 2 * standbyTickInterval
	// signalDelay bounds the time from the end of a suspension until a signal that was sent during it
	// is handled.
	signalDelay = 500 * time.Millisecond
)

// activity records when the process was running, so that a signal which was sent while it was
// suspended is recognized. It is safe for concurrent use.
type activity struct {
	mu   sync.Mutex
	last time.Time
	// suspendedAt and resumedAt delimit the last suspension.
	suspendedAt, resumedAt time.Time
}

// observe records that the process is running. It is called at each tick of the control thread.
func (a *activity) observe(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.last.IsZero() && now.Sub(a.last) >= suspensionGap {
		a.suspendedAt, a.resumedAt = a.last, now
	}
	a.last = now
}

// earliestSignal returns the earliest time at which a signal that is handled now can have been sent.
func (a *activity) earliestSignal(now time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.last.IsZero() && now.Sub(a.last) >= suspensionGap:
		return a.last
	case !a.resumedAt.IsZero() && now.Sub(a.resumedAt) < signalDelay:
		return a.suspendedAt
	}
	return now
}
