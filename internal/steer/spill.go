package steer

import (
	"math"
	"sync/atomic"
	"time"
)

// Constants of the spill. Advertised headroom may be 5 s old; what a daemon
// sees of its own requests is as old as one answer.
const (
	// QueueingThreshold is the wait at the home region from which a request would
	// have been answered sooner elsewhere: half a round trip between regions.
	QueueingThreshold = 50 * time.Millisecond
	// waitedHigh is the part of the requests that waited from which the
	// fraction grows; under it single bursts pass.
	waitedHigh = 0.1
	// pressureLow lets the fraction shrink: the home region has room again.
	pressureLow = 0.85
	// spillUp is the growth per second when every request waits. The answer
	// of a waiting request is about half a second old, so the fraction
	// overshoots by 0.05 at most.
	spillUp = 0.1
	// spillDown is the shrinking per second. Within 5 s it moves by 0.1, less
	// than the 0.15 between low pressure and a full region, so that the
	// fraction comes to rest between them instead of swinging.
	spillDown = 0.02
	// smoothing is the time constant of the pressure's average: a handler's
	// room goes up and down with single requests.
	smoothing = 2 * time.Second
	// maxStep bounds the time that one update stands for, so that a paused
	// daemon does not jump when it wakes.
	maxStep = time.Second
	// leastAnswers is how many answers the waited part is worked out from.
	leastAnswers = 20
)

// Spillover is the part of a region's traffic for one service that starts in
// another region because its own is full.
//
// Load pattern: a region short of room for minutes, while headroom heard from
// others is up to 5 s old. Without a slow fraction all entry hosts move at
// once to where room was seen, and back. A first version grew by the
// advertised pressure too: at 5 s of age it overshot from the 0.23 that was
// needed to 0.5 and filled the neighbour. It now grows by what the daemon's
// own requests met, and only shrinks by what it heard.
type Spillover struct {
	feedback feedback
	fraction float64
	pressure float64
	at       time.Time
}

// feedback counts answers from the home region since the last update. Traffic
// threads add to it.
type feedback struct{ answered, waited atomic.Int64 }

// note counts one answer: how long it waited, or that there was no room.
func (f *feedback) note(waited time.Duration, refused bool) {
	f.answered.Add(1)
	if refused || waited > QueueingThreshold {
		f.waited.Add(1)
	}
}

// waitedPart takes the counts; it is 0 until enough answers came.
func (f *feedback) waitedPart() float64 {
	answered := f.answered.Load()
	if answered < leastAnswers {
		return 0
	}
	f.answered.Add(-answered)
	return float64(f.waited.Swap(0)) / float64(answered)
}

// Update takes the pressure heard of at now and returns the fraction.
func (s *Spillover) Update(pressure float64, now time.Time) float64 {
	if s.at.IsZero() {
		s.at, s.pressure = now, pressure
		return s.fraction
	}
	step := min(now.Sub(s.at), maxStep)
	if step < updateEvery {
		return s.fraction
	}
	s.at = now
	weight := 1 - math.Exp(-step.Seconds()/smoothing.Seconds())
	s.pressure += weight * (pressure - s.pressure)
	waited := s.feedback.waitedPart()
	switch {
	case waited > waitedHigh:
		s.fraction = min(1, s.fraction+spillUp*waited*step.Seconds())
	case s.pressure < pressureLow:
		s.fraction = max(0, s.fraction-spillDown*step.Seconds())
	}
	return s.fraction
}

// updateEvery spaces updates, so that each has answers to go by.
const updateEvery = 100 * time.Millisecond
