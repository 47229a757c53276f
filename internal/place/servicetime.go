package place

import "time"

const (
	// initialWork is assumed of warm work on a route without a target, before any
	// answer has come, and firstPart of its target on one that has.
	initialWork       = 150 * time.Millisecond
	initialTargetPart = 1.0 / 3
	// coldFactor is how many times as long as warm work cold work is reckoned to
	// take. A request that goes where it is cold takes the room of others, so the
	// placement errs on the side of affinity.
	coldFactor = 3.3
	// minAffinityGain is the ratio of cold to warm work from which affinity pays at all,
	// and gainSamples the number of either that shows it.
	minAffinityGain    = 1.25
	minAffinitySamples = 20
	// serviceTimeGain is the weight of one sample, so that a change of load shows within
	// seconds.
	serviceTimeGain = 0.05
	// restoredSamples is the weight of what was known before this process began.
	restoredSamples = 5
)

// serviceTime is the learned time that work of one route takes, at upstreams that are
// known to have handled the object lately and at others.
type serviceTime struct {
	// first is assumed of warm work until there are samples.
	initial    time.Duration
	warm, cold mean
}

// mean is a moving average, plain over the first samples.
type mean struct {
	value   time.Duration
	samples int
}

func (m *mean) observe(sample time.Duration) {
	m.samples++
	gain := max(serviceTimeGain, 1/float64(m.samples))
	m.value += time.Duration(gain * float64(sample-m.value))
}

func (m *mean) restore(known time.Duration) {
	if m.samples == 0 && known > 0 {
		m.value, m.samples = known, restoredSamples
	}
}

// setInitial sets what is assumed before any answer has come, from the time within
// which operators want one.
func (w *serviceTime) setInitial(target time.Duration) {
	if w.initial = time.Duration(initialTargetPart * float64(target)); target <= 0 {
		w.initial = initialWork
	}
}

// estimate is how long the work is reckoned to take.
func (w *serviceTime) estimate(warm bool) time.Duration {
	known := w.initial
	if w.warm.samples > 0 {
		known = w.warm.value
	}
	if warm || !w.gainsFromAffinity() {
		return known
	}
	return time.Duration(coldFactor * float64(known))
}

// affinityGain is what an upstream is reckoned to save on an object that it has handled
// lately; 0 if it saves nothing.
func (w *serviceTime) affinityGain() time.Duration { return w.estimate(false) - w.estimate(true) }

// gainsFromAffinity tells whether an upstream that has handled an object lately is faster with
// it, as far as is known.
func (w *serviceTime) gainsFromAffinity() bool {
	if w.warm.samples < minAffinitySamples || w.cold.samples < minAffinitySamples {
		return true
	}
	return float64(w.cold.value) >= minAffinityGain*float64(w.warm.value)
}

func (w *serviceTime) observe(took time.Duration, warm bool) {
	if warm {
		w.warm.observe(took)
		return
	}
	w.cold.observe(took)
}

// restore takes over what was known before, if nothing is known yet.
func (w *serviceTime) restore(r RouteState) {
	w.warm.restore(r.Warm)
	w.cold.restore(r.Cold)
}
