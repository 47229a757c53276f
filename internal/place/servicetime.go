package place

import "time"

const (
	// initialServiceTime is the assumed warm service time on a route without a target until
	// a response is received. initialTargetPart is the part of the target assumed on
	// a route that has one.
	initialServiceTime = 150 * time.Millisecond
	initialTargetPart  = 1.0 / 3
	// coldFactor is the assumed ratio of cold to warm service time. Cold work displaces
	// other requests, so the assumption errs on the side of affinity.
	coldFactor = 3.3
	// minAffinityGain is the ratio of cold to warm service time from which affinity is
	// used. minAffinitySamples is the number of samples of each that must confirm it.
	minAffinityGain    = 1.25
	minAffinitySamples = 20
	// serviceTimeGain is the weight of one sample, chosen so that a change of load shows
	// within seconds.
	serviceTimeGain = 0.05
	// restoredSamples is the weight, in samples, of a mean restored at startup.
	restoredSamples = 5
)

// serviceTime is the learned service time of a route, separately for upstreams where the
// object is known to be warm and for others.
type serviceTime struct {
	// initial is the assumed warm service time until there are samples.
	initial    time.Duration
	warm, cold mean
}

// mean is an exponential moving average, or the arithmetic mean of the first samples.
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

// setInitial derives the initial service time from the latency target.
func (s *serviceTime) setInitial(target time.Duration) {
	if s.initial = time.Duration(initialTargetPart * float64(target)); target <= 0 {
		s.initial = initialServiceTime
	}
}

// estimate returns the expected service time.
func (s *serviceTime) estimate(warm bool) time.Duration {
	known := s.initial
	if s.warm.samples > 0 {
		known = s.warm.value
	}
	if warm || !s.gainsFromAffinity() {
		return known
	}
	return time.Duration(coldFactor * float64(known))
}

// affinityGain is the time that an upstream is expected to save on an object that is
// warm there; 0 if none.
func (s *serviceTime) affinityGain() time.Duration { return s.estimate(false) - s.estimate(true) }

// gainsFromAffinity reports whether warm requests are faster, according to the samples so far.
func (s *serviceTime) gainsFromAffinity() bool {
	if s.warm.samples < minAffinitySamples || s.cold.samples < minAffinitySamples {
		return true
	}
	return float64(s.cold.value) >= minAffinityGain*float64(s.warm.value)
}

func (s *serviceTime) observe(took time.Duration, warm bool) {
	if warm {
		s.warm.observe(took)
		return
	}
	s.cold.observe(took)
}

// restore applies restored means where there are no samples yet.
func (s *serviceTime) restore(r RouteState) {
	s.warm.restore(r.Warm)
	s.cold.restore(r.Cold)
}
