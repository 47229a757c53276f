package place

import "time"

const (
	// failureGain is the weight of one request in an upstream's failure rate.
	failureGain = 0.15
	// failureCost is what a failed request costs the caller: it starts again,
	// after a pause, somewhere cold.
	failureCost = 1500 * time.Millisecond
	// maxUnanswered answers that are lost in a row eject an upstream.
	maxConsecutiveNoResponse = 3
	// baseEjection and ejectMost bound how long an upstream is left alone. A
	// crashed one is back after three to five seconds.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// restartDoubt is how long an upstream that could not be reached may have
	// started again without this host's knowing: a heartbeat comes every
	// 1.5 s, so three are missing then.
	restartDetectionDelay = 5 * time.Second
	// speedGain is the weight of one sample of an upstream's slowness.
	slownessGain = 0.2
	maxSlowness  = 20.0
)

// health is what this host has met at one upstream.
type health struct {
	// failures is the rate of requests that ended badly, 0 to 1.
	failures              float64
	consecutiveNoResponse int
	ejectedUntil          time.Time
	ejection              time.Duration
	// restartDoubtUntil: it was out of reach, and may have started again, cold, since.
	possibleRestartUntil time.Time
	// slowness is the time it takes relative to the others; 1 is usual.
	slowness float64
}

func newHealth() health { return health{slowness: 1} }

func (h *health) usable(now time.Time) bool { return !now.Before(h.ejectedUntil) }

// failedSince tells whether it was ejected, or its ejection ended, within a span.
func (h *health) failedSince(now time.Time, span time.Duration) bool {
	return !h.ejectedUntil.IsZero() && now.Sub(h.ejectedUntil) < span
}

func (h *health) mayHaveRestarted(now time.Time) bool { return now.Before(h.possibleRestartUntil) }

func (h *health) recordSuccess() {
	h.consecutiveNoResponse, h.ejection = 0, 0
	h.failures -= failureGain * h.failures
}

func (h *health) recordFailure() { h.failures += failureGain * (1 - h.failures) }

// recordNoAnswer notes that a request was sent and its answer lost.
func (h *health) recordNoResponse(now time.Time) {
	h.recordFailure()
	if h.consecutiveNoResponse++; h.consecutiveNoResponse >= maxConsecutiveNoResponse {
		h.eject(now)
	}
}

// recordUnreachable notes that no connection could be made. It says more than a lost
// answer: the upstream does not run, or nothing reaches it.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure()
	h.eject(now)
	h.possibleRestartUntil = now.Add(restartDetectionDelay)
}

func (h *health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, baseEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

func (h *health) observeServiceTime(took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(float64(took)/float64(usual), maxSlowness)
	h.slowness += slownessGain * (ratio - h.slowness)
}
