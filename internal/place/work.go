package place

import "time"

const (
	// firstWork is assumed of warm work on a route without a target, before any
	// answer has come, and firstPart of its target on one that has.
	firstWork = 150 * time.Millisecond
	firstPart = 1.0 / 3
	// coldFactor is how many times as long as warm work cold work is reckoned to
	// take. A request that goes where it is cold takes the room of others, so the
	// placement errs on the side of affinity.
	coldFactor = 3.3
	// leastGain is the ratio of cold to warm work from which affinity pays at all,
	// and gainSamples the number of either that shows it.
	leastGain   = 1.25
	gainSamples = 20
	// workGain is the weight of one sample, so that a change of load shows within
	// seconds.
	workGain = 0.05
	// recalledSamples is the weight of what was known before this process began.
	recalledSamples = 5
)

// work is the learned time that work of one route takes, at upstreams that are
// known to have handled the object lately and at others.
type work struct {
	// first is assumed of warm work until there are samples.
	first      time.Duration
	warm, cold mean
}

// mean is a moving average, plain over the first samples.
type mean struct {
	value   time.Duration
	samples int
}

func (m *mean) learn(sample time.Duration) {
	m.samples++
	gain := max(workGain, 1/float64(m.samples))
	m.value += time.Duration(gain * float64(sample-m.value))
}

func (m *mean) recall(known time.Duration) {
	if m.samples == 0 && known > 0 {
		m.value, m.samples = known, recalledSamples
	}
}

// expect sets what is assumed before any answer has come, from the time within
// which operators want one.
func (w *work) expect(target time.Duration) {
	if w.first = time.Duration(firstPart * float64(target)); target <= 0 {
		w.first = firstWork
	}
}

// estimate is how long the work is reckoned to take.
func (w *work) estimate(warm bool) time.Duration {
	known := w.first
	if w.warm.samples > 0 {
		known = w.warm.value
	}
	if warm || !w.affine() {
		return known
	}
	return time.Duration(coldFactor * float64(known))
}

// gain is what an upstream is reckoned to save on an object that it has handled
// lately; 0 if it saves nothing.
func (w *work) gain() time.Duration { return w.estimate(false) - w.estimate(true) }

// affine tells whether an upstream that has handled an object lately is faster with
// it, as far as is known.
func (w *work) affine() bool {
	if w.warm.samples < gainSamples || w.cold.samples < gainSamples {
		return true
	}
	return float64(w.cold.value) >= leastGain*float64(w.warm.value)
}

func (w *work) learn(took time.Duration, warm bool) {
	if warm {
		w.warm.learn(took)
		return
	}
	w.cold.learn(took)
}

// recall takes over what was known before, if nothing is known yet.
func (w *work) recall(r RouteMemory) {
	w.warm.recall(r.Warm)
	w.cold.recall(r.Cold)
}
