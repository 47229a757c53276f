package steer

import (
	"math"
	"time"
)

// Constants of the spill. Headroom is at worst staleLimit old.
const (
	// pressureHigh starts the spill: more work than room, so some of it waits.
	pressureHigh = 1.0
	// pressureLow ends it. Between the two the fraction stays as it is.
	pressureLow = 0.85
	// spillUp and spillDown bound the change of the fraction per second.
	// Down is the slower: within staleLimit it moves 0.1, less than the
	// fraction's width between low and high pressure at 1.3 times the
	// capacity (0.12), so that it comes to rest between them.
	spillUp   = 0.04
	spillDown = 0.02
	// smoothing is the time constant of the pressure's average: a handler's
	// room goes up and down with single requests.
	smoothing = 2 * time.Second
	// maxStep bounds the time that one update stands for, so that a paused
	// daemon does not jump when it wakes.
	maxStep = time.Second
)

// Spill is the part of a region's traffic for one service that starts in
// another region because its own is full.
//
// Load pattern: a region short of room for minutes, seen through headroom
// that is up to 5 s old. Without a slow fraction all entry hosts move at once
// to where room was seen, and back.
type Spill struct {
	fraction float64
	pressure float64
	at       time.Time
}

// Update takes the pressure seen at now and returns the fraction.
func (s *Spill) Update(pressure float64, now time.Time) float64 {
	if s.at.IsZero() {
		s.at, s.pressure = now, pressure
		return s.fraction
	}
	step := min(now.Sub(s.at), maxStep)
	if step <= 0 {
		return s.fraction
	}
	s.at = now
	weight := 1 - math.Exp(-step.Seconds()/smoothing.Seconds())
	s.pressure += weight * (pressure - s.pressure)
	switch {
	case s.pressure > pressureHigh:
		s.fraction = min(1, s.fraction+spillUp*step.Seconds())
	case s.pressure < pressureLow:
		s.fraction = max(0, s.fraction-spillDown*step.Seconds())
	}
	return s.fraction
}
