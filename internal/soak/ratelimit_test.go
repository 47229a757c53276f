package soak

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

const (
	// rateLimitWindow is the window in which the requests to an upstream that has announced a
	// rate limit are counted. The first window ends that long after the announcement.
	rateLimitWindow = 4 * time.Second
	// rateLimitReaction is how long a host that has received the announcement may ignore it.
	rateLimitReaction = 500 * time.Millisecond
	// rateLimitFactor and rateLimitSlack bound the requests in a window.
	rateLimitFactor, rateLimitSlack = 1.5, 5
)

// rateLimitSpan is a period during which an upstream announced a rate limit.
type rateLimitSpan struct {
	upstream   *upstream
	perSecond  float64
	start, end time.Time
}

// limitUpstreams lets two upstreams announce a rate limit, one after another, until stop is
// closed.
func (c *cluster) limitUpstreams(rng *rand.Rand, stop <-chan struct{}) {
	first := rng.IntN(len(c.upstreams))
	for i := range 2 {
		span := rateLimitSpan{upstream: c.upstreams[(first+i)%len(c.upstreams)], perSecond: 0.5 + 3*rng.Float64(), start: time.Now()}
		c.logFault("upstream %s announces a limit of %.2f/s", span.upstream.standIn.ID, span.perSecond)
		span.upstream.standIn.SetRateLimit(strconv.FormatFloat(span.perSecond, 'f', 2, 64))
		c.rateLimits = append(c.rateLimits, span)
		select {
		case <-stop:
		case <-time.After(time.Duration(rng.IntN(1000)) * time.Millisecond):
		}
	}
	<-stop
	for i := range c.rateLimits {
		c.rateLimits[i].end = time.Now()
	}
}

// checkRateLimits checks the number of requests that each upstream received while it announced
// a rate limit, over all hosts that had received the announcement and were not disturbed since.
func (c *cluster) checkRateLimits(requests []callerRequest) {
	byID := map[string]callerRequest{}
	for _, r := range requests {
		byID[r.id] = r
	}
	for _, span := range c.rateLimits {
		times := span.countedRuns(byID)
		allowed := int(rateLimitFactor*span.perSecond*rateLimitWindow.Seconds()) + rateLimitSlack
		most, oldest := 0, 0
		for i, at := range times {
			for at.Sub(times[oldest]) > rateLimitWindow {
				oldest++
			}
			if at.Sub(span.start) >= rateLimitWindow {
				most = max(most, i-oldest+1)
			}
		}
		c.reporter.Logf("%s with a limit of %.2f/s got up to %d requests in %v, allowed %d", span.upstream.standIn.ID, span.perSecond, most, rateLimitWindow, allowed)
		if most > allowed {
			c.reporter.Errorf("%s with a limit of %.2f/s got %d requests in %v, allowed %d", span.upstream.standIn.ID, span.perSecond, most, rateLimitWindow, allowed)
		}
	}
}

// countedRuns returns the times of the runs that count for the limit, in order.
func (s rateLimitSpan) countedRuns(requests map[string]callerRequest) []time.Time {
	runs := s.upstream.standIn.Runs()
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	informedAt := map[*daemonProcess]time.Time{}
	var times []time.Time
	for _, run := range runs {
		r, ok := requests[run.ID]
		if !ok || run.At.Before(s.start) || run.At.After(s.end) {
			continue
		}
		at := informedAt[r.host]
		if at.IsZero() && r.err == nil {
			informedAt[r.host] = r.endedAt
		}
		if !at.IsZero() && run.At.Sub(at) >= rateLimitReaction && !r.host.disturbedBetween(s.start, run.At) {
			times = append(times, run.At)
		}
	}
	return times
}

// disturbedBetween reports whether the host was restarted or suspended in the span or shortly
// before it.
func (h *daemonProcess) disturbedBetween(from, to time.Time) bool {
	for _, at := range h.disturbances {
		if at.After(from.Add(-faultSettleTime)) && at.Before(to) {
			return true
		}
	}
	return false
}
