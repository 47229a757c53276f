package place

import "time"

const (
	// failureGain is the weight of one request in an upstream's failure rate:
	// half of what is remembered is of the last four requests.
	failureGain = 0.15
	// failureCost is what a failed request costs the caller: it starts again,
	// after a pause, somewhere cold.
	failureCost = 1500 * time.Millisecond
	// lostInRow ejects an upstream whose answers are lost: one in a hundred
	// random losses of one in five answers is three in a row.
	lostInRow = 3
	// ejectFirst and ejectMost bound how long an upstream is left alone. A
	// crashed one is back after three to five seconds.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// doubtFor is how long an upstream that could not be reached may have
	// started again without this host's knowing: a heartbeat comes every
	// 1.5 s, so three are missing then.
	doubtFor = 5 * time.Second
	// slowGain is the weight of one sample of an upstream's slowness.
	slowGain = 0.2
	slowMost = 20.0
)

// health is what this host has met at one upstream.
type health struct {
	// failures is the rate of requests that ended badly, 0 to 1.
	failures float64
	lost     int
	ejected  time.Time
	pause    time.Duration
	// doubt: it was out of reach, and may have started again, cold, since.
	doubt time.Time
	// slowness is the time it takes relative to the others; 1 is usual.
	slowness float64
}

func newHealth() health { return health{slowness: 1} }

func (h *health) usable(now time.Time) bool { return !now.Before(h.ejected) }

// failedSince tells whether it was ejected, or its ejection ended, within a span.
func (h *health) failedSince(now time.Time, span time.Duration) bool {
	return !h.ejected.IsZero() && now.Sub(h.ejected) < span
}

func (h *health) doubtful(now time.Time) bool { return now.Before(h.doubt) }

func (h *health) good() {
	h.lost, h.pause = 0, 0
	h.failures -= failureGain * h.failures
}

func (h *health) bad() { h.failures += failureGain * (1 - h.failures) }

// noAnswer notes that a request was sent and its answer lost.
func (h *health) noAnswer(now time.Time) {
	h.bad()
	if h.lost++; h.lost >= lostInRow {
		h.eject(now)
	}
}

// unreachable notes that no connection could be made. It says more than a lost
// answer: the upstream does not run, or nothing reaches it.
func (h *health) unreachable(now time.Time) {
	h.bad()
	h.eject(now)
	h.doubt = now.Add(doubtFor)
}

func (h *health) eject(now time.Time) {
	h.pause = min(max(2*h.pause, ejectFirst), ejectMost)
	h.ejected = now.Add(h.pause)
}

func (h *health) learnSpeed(took, usual time.Duration) {
	if usual <= 0 {
		return
	}
	ratio := min(float64(took)/float64(usual), slowMost)
	h.slowness += slowGain * (ratio - h.slowness)
}
