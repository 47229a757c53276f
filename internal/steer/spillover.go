package steer

import (
	"math"
	"sync/atomic"
	"time"
)

// Constants of the spillover. The advertised headroom may be 5 s old, while
// the results of a daemon's own requests are as old as one response.
const (
	// QueueingThreshold is the queueing delay in the local region from which
	// another region would have responded sooner: half a round trip between
	// regions.
	QueueingThreshold = 50 * time.Millisecond
	// queuedFractionHigh is the fraction of queued requests above which the
	// spillover grows. A lower threshold would react to single bursts.
	queuedFractionHigh = 0.1
	// utilizationLow is the utilization of the local region below which the
	// spillover shrinks.
	utilizationLow = 0.85
	// growthPerSecond is the growth of the fraction when every request queues.
	// The response to a queued request arrives after about half a second, so
	// the fraction overshoots by at most 0.05.
	growthPerSecond = 0.1
	// shrinkPerSecond is the rate at which the fraction shrinks. In 5 s, the
	// age of the headroom, the fraction shrinks by 0.1. That is less than the
	// 0.15 between utilizationLow and a full region, so the fraction settles
	// between the two instead of oscillating.
	shrinkPerSecond = 0.02
	// utilizationTimeConstant is the time constant of the average utilization.
	// The headroom of a handler fluctuates with individual requests.
	utilizationTimeConstant = 2 * time.Second
	// maxUpdateStep limits the time that one update accounts for, so that the
	// fraction of a daemon that was paused does not jump when it resumes.
	maxUpdateStep = time.Second
	// minResponses is the number of responses needed to compute a queued
	// fraction.
	minResponses = 20
)

// Spillover is the fraction of a region's traffic for one service that is sent
// to another region first because the local region is full.
//
// A region may lack headroom for minutes while the advertised headroom of
// other regions is up to 5 s old. Without a slowly changing fraction, all
// entry hosts would move their traffic to the same region at once, and back
// again. The fraction grows only with the queueing delay of the daemon's own
// requests, and shrinks with the advertised utilization. Growth by the
// advertised utilization overshot: with headroom 5 s old, the fraction reached
// 0.5 where 0.23 was needed, and the other region filled up.
type Spillover struct {
	feedback    feedback
	fraction    float64
	utilization float64
	updatedAt   time.Time
}

// feedback counts the responses from the local region since the last update.
// Traffic threads increment the counters.
type feedback struct{ responses, queued atomic.Int64 }

// record counts one response with its queueing delay, or one rejection for
// lack of headroom.
func (f *feedback) record(queueing time.Duration, noHeadroom bool) {
	f.responses.Add(1)
	if noHeadroom || queueing > QueueingThreshold {
		f.queued.Add(1)
	}
}

// takeQueuedFraction returns the fraction of requests that queued and resets
// the counters. It returns 0 until minResponses have arrived.
func (f *feedback) takeQueuedFraction() float64 {
	responses := f.responses.Load()
	if responses < minResponses {
		return 0
	}
	f.responses.Add(-responses)
	return float64(f.queued.Swap(0)) / float64(responses)
}

// Update applies the utilization of the local region as advertised at now and
// returns the fraction.
func (s *Spillover) Update(utilization float64, now time.Time) float64 {
	if s.updatedAt.IsZero() {
		s.updatedAt, s.utilization = now, utilization
		return s.fraction
	}
	step := min(now.Sub(s.updatedAt), maxUpdateStep)
	if step < minUpdateInterval {
		return s.fraction
	}
	s.updatedAt = now
	weight := 1 - math.Exp(-step.Seconds()/utilizationTimeConstant.Seconds())
	s.utilization += weight * (utilization - s.utilization)
	queued := s.feedback.takeQueuedFraction()
	switch {
	case queued > queuedFractionHigh:
		s.fraction = min(1, s.fraction+growthPerSecond*queued*step.Seconds())
	case s.utilization < utilizationLow:
		s.fraction = max(0, s.fraction-shrinkPerSecond*step.Seconds())
	}
	return s.fraction
}

// minUpdateInterval is the minimum time between updates, so that responses
// arrive between them.
const minUpdateInterval = 100 * time.Millisecond
