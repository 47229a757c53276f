package upstream

import "time"

// Judging of upstreams by their own results.
const (
	// failureRate is the weight of one result in the share of failures: four
	// failures in a row, or half of the last ten, eject.
	failureSampleWeight = 0.2
	maxFailureRatio     = 0.5
	// slownessRate is the weight of one result in the slowness. At the limit,
	// a worker ten times slower is recognised after about ten answers.
	slownessSampleWeight = 0.1
	// slownessLimit lies between a cold cache (4x) and a sick worker (10x).
	maxSlowness = 6.5
	// slowByChance is more than the average of some ten service times varies by.
	slownessNoise = 2
	// minResults are needed before an upstream is judged.
	minResults = 5
)

// Ejection.
const (
	firstEjection = time.Second
	maxEjection   = 32 * time.Second
	// goodTrials in a row return an upstream to use.
	requiredTrials = 3
	// forgiveAfter without ejection, the next one is short again.
	ejectionResetAfter = time.Minute
	// maxEjectedPart bounds the ejected part of a service's upstreams here.
	// Where more look sick the cause is likely elsewhere (a customer's
	// requests, the network), and the rest would be overloaded. A sole
	// upstream is never ejected.
	maxEjectedFraction = 0.5
)

// Warming up.
const (
	// coldTrust is the trust in an upstream that has answered nothing yet: a
	// cold cache makes the first requests four times slower.
	slowStartWeight = 0.25
	// warmResults is how many answers it takes to full trust.
	slowStartResults = 64
)

// hintTrust is the trust left while the health or load endpoint complains,
// hintTime how long a complaint counts. Endpoints lag and mislead: they may
// lower an upstream's part of the traffic, never raise it and never eject.
const (
	warningWeight   = 0.5
	warningDuration = 5 * time.Second
)

// condition of an upstream.
type condition int

const (
	healthy condition = iota
	ejected
	// onTrial: it gets one request at a time.
	onTrial
)

// Health judges one upstream. It is pure and not safe for concurrent use.
//
// Load patterns: a worker ten times slower whose health endpoint says fine
// holds a share of all requests; one that fails at once always looks least
// loaded and draws nearly all traffic. Both are ejected by their results, and
// come back over trials. Without it: docs/UNDER-LOAD.md.
type Health struct {
	condition    condition
	failureRatio float64
	slowness     float64
	results      int
	ejectedUntil time.Time
	nextEjection time.Duration
	ejectedAt    time.Time
	passedTrials int
	warnedUntil  time.Time
	// cleared: since the ejection a probe was answered.
	probePassed bool
}

// NewHealth returns the health of an upstream of which nothing is known.
func NewHealth() *Health { return &Health{slowness: 1, nextEjection: firstEjection} }

// Succeeded notes an answer that took slowness times what was expected.
func (h *Health) RecordResponse(slowness float64) {
	h.results++
	h.failureRatio -= failureSampleWeight * h.failureRatio
	h.slowness += slownessSampleWeight * (slowness - h.slowness)
}

// Failed notes a failure.
func (h *Health) RecordFailure() {
	h.results++
	h.failureRatio += failureSampleWeight * (1 - h.failureRatio)
}

// Sick tells whether the upstream's results are so much worse than its peers'
// that it should be ejected. peerSlowness and peerFailures are theirs.
func (h *Health) ShouldEject(peerSlowness, peerFailures float64) bool {
	if h.results < minResults {
		return false
	}
	failing := h.failureRatio > maxFailureRatio && h.failureRatio > 2*peerFailures
	return failing || h.slowness > maxSlowness*max(peerSlowness, 1)
}

// Eject takes the upstream out of use for a while, twice as long each time.
func (h *Health) Eject(now time.Time) {
	if now.Sub(h.ejectedAt) > ejectionResetAfter+h.nextEjection {
		h.nextEjection = firstEjection
	}
	h.condition = ejected
	h.ejectedAt = now
	h.ejectedUntil = now.Add(h.nextEjection)
	h.nextEjection = min(2*h.nextEjection, maxEjection)
	h.passedTrials = 0
	h.probePassed = false
}

// TrialDue tells whether the upstream is to be tried now, and moves it to
// trial when its ejection ends. A request that must not be tried again
// elsewhere (safe is false) is risked only where a probe was answered:
// otherwise a service of postings would lose one at each trial.
func (h *Health) TrialDue(safe bool, now time.Time) bool {
	if h.condition == ejected && !now.Before(h.ejectedUntil) {
		h.condition = onTrial
	}
	return h.condition == onTrial && (safe || h.probePassed)
}

// Tried notes how a trial went, and tells whether the upstream is back.
func (h *Health) RecordTrial(ok bool, slowness, peerSlowness float64, now time.Time) bool {
	if !ok || slowness > maxSlowness*max(peerSlowness, 1) {
		h.Eject(now)
		return false
	}
	h.passedTrials++
	if h.passedTrials < requiredTrials {
		return false
	}
	h.condition = healthy
	h.failureRatio, h.slowness, h.results = 0, 1, 0
	return true
}

// Hint notes a complaint of the health or load endpoint.
func (h *Health) RecordWarning(now time.Time) { h.warnedUntil = now.Add(warningDuration) }

// Trust is the part of an equal share that the upstream should get while it
// warms up or its endpoints complain, 0 to 1.
func (h *Health) Weight(now time.Time) float64 {
	warm := min(1, float64(h.results)/slowStartResults)
	trust := slowStartWeight + (1-slowStartWeight)*warm
	if now.Before(h.warnedUntil) {
		trust *= warningWeight
	}
	return trust
}

// Slowness is how many times longer than usual the upstream needs; 1 where the
// difference may be chance: otherwise the one that was lucky last would get all
// requests of a quiet hour, and the others' caches would go cold.
func (h *Health) Slowness() float64 {
	if h.slowness < slownessNoise {
		return 1
	}
	return h.slowness
}
