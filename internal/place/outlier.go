package place

import "time"

const (
	// failureGain is the weight of one request in an upstream's failure rate.
	failureGain = 0.15
	// failureCost is the cost of a failed request to the caller, who retries after a
	// pause, at a cold upstream.
	failureCost = 1500 * time.Millisecond
	// maxConsecutiveNoResponse is the number of consecutive requests without a response
	// after which an upstream is ejected.
	maxConsecutiveNoResponse = 3
	// baseEjection and maxEjection bound the ejection time. A crashed upstream is back
	// after 3 to 5 s.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// restartDetectionDelay is how long an unreachable upstream may have restarted
	// without this host knowing: a heartbeat arrives every 1.5 s, so three are missing
	// by then.
	restartDetectionDelay = 5 * time.Second
	// slownessGain is the weight of one sample of an upstream's slowness.
	slownessGain = 0.2
	maxSlowness  = 20.0
)

// health is the health of one upstream as observed by this host.
type health struct {
	// failures is the moving average of the failure rate, 0 to 1.
	failures              float64
	consecutiveNoResponse int
	ejectedUntil          time.Time
	ejection              time.Duration
	// possibleRestartUntil is set when the upstream was unreachable: until then, it may
	// have restarted and be cold.
	possibleRestartUntil time.Time
	// slowness is the service time relative to the other upstreams; 1 is average.
	slowness float64
}

func newHealth() health { return health{slowness: 1} }

func (h *health) usable(now time.Time) bool { return !now.Before(h.ejectedUntil) }

// ejectedWithin reports whether the upstream was ejected at any time within the span.
func (h *health) ejectedWithin(now time.Time, span time.Duration) bool {
	return !h.ejectedUntil.IsZero() && now.Sub(h.ejectedUntil) < span
}

func (h *health) mayHaveRestarted(now time.Time) bool { return now.Before(h.possibleRestartUntil) }

func (h *health) recordSuccess() {
	h.consecutiveNoResponse, h.ejection = 0, 0
	h.failures -= failureGain * h.failures
}

func (h *health) recordFailure() { h.failures += failureGain * (1 - h.failures) }

// recordNoResponse records that a request was sent but no response was received.
func (h *health) recordNoResponse(now time.Time) {
	h.recordFailure()
	if h.consecutiveNoResponse++; h.consecutiveNoResponse >= maxConsecutiveNoResponse {
		h.eject(now)
	}
}

// recordUnreachable records that no connection could be established. This is stronger
// evidence than a lost response: the upstream is down or the network path is broken.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure()
	h.eject(now)
	h.possibleRestartUntil = now.Add(restartDetectionDelay)
}

func (h *health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, baseEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// Ejected returns the number of upstreams that this host has ejected because of failures.
func (t *Table) Ejected(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.byID {
		if !w.health.usable(now) {
			n++
		}
	}
	return n
}

func (h *health) observeServiceTime(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), maxSlowness)
	h.slowness += slownessGain * (ratio - h.slowness)
}
