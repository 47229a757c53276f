package place

import "time"

const (
	// firstWork is assumed before any answer has come: between the 29 ms and
	// 290 ms that warm work takes at today's users.
	firstWork = 150 * time.Millisecond
	// coldFactor is how much longer an upstream works on an object that it has
	// not handled lately: it takes 0.3 of the cold time once it has.
	coldFactor = 3.3
	// workGain is the weight of one sample. Work spreads by 15%, so twenty
	// samples are enough, and a change of load shows within seconds.
	workGain = 0.05
)

// work is the learned time that warm work of one route takes.
type work struct {
	warm    time.Duration
	samples int
}

func (w *work) estimate(warm bool) time.Duration {
	d := w.warm
	if w.samples == 0 {
		d = firstWork
	}
	if warm {
		return d
	}
	return time.Duration(float64(d) * coldFactor)
}

func (w *work) learn(took time.Duration) {
	w.samples++
	gain := max(workGain, 1/float64(w.samples))
	w.warm += time.Duration(gain * float64(took-w.warm))
}

// recalledSamples is the weight of what was known before this process began.
const recalledSamples = 5

// recall takes over what was known before, if nothing is known yet.
func (w *work) recall(r RouteMemory) {
	if w.samples == 0 && r.Warm > 0 {
		w.warm, w.samples = r.Warm, recalledSamples
	}
}
