package upstream

import "time"

// Outlier detection based on the results of requests.
const (
	// failureSampleWeight is the weight of one result in the moving average
	// of failures. With it, an upstream is ejected after four failures in a
	// row or if half of the last ten results are failures.
	failureSampleWeight = 0.2
	maxFailureRatio     = 0.5
	// slownessSampleWeight is the weight of one result in the moving average
	// of the slowness. With it, an upstream that is ten times slower exceeds
	// maxSlowness after about ten responses.
	slownessSampleWeight = 0.1
	// maxSlowness lies between the slowdown by a cold cache (4x) and by a
	// fault (10x).
	maxSlowness = 6.5
	// slownessNoise exceeds the random variation of the mean of about ten
	// service times.
	slownessNoise = 2
	// minResults is the number of results required before an upstream may be
	// ejected.
	minResults = 5
)

// Parameters of the ejection of outliers.
const (
	firstEjection = time.Second
	maxEjection   = 32 * time.Second
	// requiredTrials is the number of consecutive successful trial requests
	// that end an ejection.
	requiredTrials = 3
	// ejectionResetAfter is the time without an ejection after which the next
	// one has the duration firstEjection again.
	ejectionResetAfter = time.Minute
	// maxEjectedFraction is the largest fraction of a service's upstreams at
	// this handler that may be ejected. If more upstreams look unhealthy, the
	// cause is probably elsewhere (the requests of a customer, the network),
	// and the remaining upstreams would be overloaded. A single upstream is
	// never ejected.
	maxEjectedFraction = 0.5
)

// Parameters of the slow start.
const (
	// slowStartWeight is the initial weight of an upstream without results: a
	// cold cache makes the first requests four times slower.
	slowStartWeight = 0.25
	// slowStartResults is the number of results after which the weight is 1.
	slowStartResults = 64
)

// Effect of warnings from the health and load endpoints. Endpoints lag and can
// be wrong: a warning lowers the traffic of an upstream, but endpoints never
// raise the traffic and never eject an upstream.
const (
	// warningWeight is the factor applied to the weight after a warning.
	warningWeight = 0.5
	// warningDuration is how long a warning applies.
	warningDuration = 5 * time.Second
)

// condition is the state of an upstream in outlier detection.
type condition int

const (
	healthy condition = iota
	ejected
	// onTrial upstreams receive one trial request at a time.
	onTrial
)

// Health is the outlier detection for one upstream. It has no side effects
// and is not safe for concurrent use.
//
// It handles two faults that health endpoints miss: an upstream that is ten
// times slower while its health endpoint reports success keeps its share of
// all requests, and one that fails immediately always has the lowest load and
// attracts nearly all traffic. Both are ejected because of their results, and
// return after successful trial requests. docs/UNDER-LOAD.md shows the effect
// of these faults without ejection.
type Health struct {
	condition    condition
	failureRatio float64
	slowness     float64
	results      int
	ejectedUntil time.Time
	// nextEjection is the duration of the next ejection.
	nextEjection time.Duration
	ejectedAt    time.Time
	passedTrials int
	warnedUntil  time.Time
	// probePassed is true if a probe has succeeded since the ejection.
	probePassed bool
}

// NewHealth returns the health of an upstream without results.
func NewHealth() *Health { return &Health{slowness: 1, nextEjection: firstEjection} }

// RecordResponse records a response that took slowness times the expected
// time.
func (h *Health) RecordResponse(slowness float64) {
	h.results++
	h.failureRatio -= failureSampleWeight * h.failureRatio
	h.slowness += slownessSampleWeight * (slowness - h.slowness)
}

// RecordFailure records a failed request.
func (h *Health) RecordFailure() {
	h.results++
	h.failureRatio += failureSampleWeight * (1 - h.failureRatio)
}

// ShouldEject reports whether the results of the upstream are so much worse
// than those of its peers that it should be ejected. peerSlowness and
// peerFailures are the median slowness and mean failure ratio of the peers.
func (h *Health) ShouldEject(peerSlowness, peerFailures float64) bool {
	if h.results < minResults {
		return false
	}
	failing := h.failureRatio > maxFailureRatio && h.failureRatio > 2*peerFailures
	return failing || h.slowness > maxSlowness*max(peerSlowness, 1)
}

// Eject takes the upstream out of use. The duration doubles with each
// ejection up to maxEjection.
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

// TrialDue reports whether the upstream may receive a trial request now. It
// sets the condition of the upstream to onTrial once the ejection time has
// passed. A request that must not be retried elsewhere (safe is false) is used
// as a trial only after a successful probe: otherwise a service of postings
// would lose a request with each failed trial.
func (h *Health) TrialDue(safe bool, now time.Time) bool {
	if h.condition == ejected && !now.Before(h.ejectedUntil) {
		h.condition = onTrial
	}
	return h.condition == onTrial && (safe || h.probePassed)
}

// RecordTrial records the result of a trial request and reports whether the
// upstream is back in use.
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

// RecordWarning records a warning from the health or load endpoint.
func (h *Health) RecordWarning(now time.Time) { h.warnedUntil = now.Add(warningDuration) }

// Weight returns the fraction of an equal share of the traffic that the
// upstream should receive, from 0 to 1. It is less than 1 during slow start
// and after a warning.
func (h *Health) Weight(now time.Time) float64 {
	progress := min(1, float64(h.results)/slowStartResults)
	weight := slowStartWeight + (1-slowStartWeight)*progress
	if now.Before(h.warnedUntil) {
		weight *= warningWeight
	}
	return weight
}

// Slowness returns how many times longer than usual the upstream takes. It
// returns 1 if the difference may be random: otherwise the upstream with the
// lowest value would receive all requests while traffic is low, and the
// caches of the others would become cold.
func (h *Health) Slowness() float64 {
	if h.slowness < slownessNoise {
		return 1
	}
	return h.slowness
}
