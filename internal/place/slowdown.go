package place

import (
	"math"
	"time"
)

const (
	// minSlowdown and maxSlowdown bound the slowdowns that are used.
	minSlowdown = 0.1
	maxSlowdown = 20.0
	// usualGain is the weight of one report in the usual slowdown of an upstream, and
	// serviceSlowdownGain in that of a service.
	usualGain           = 0.05
	serviceSlowdownGain = 0.01
	// defaultFade is the index in fadeTimes until reports show that another one predicts better.
	// defaultFadeLead is the sum of squared errors by which another one must be better.
	defaultFade     = 3
	defaultFadeLead = 2.0
	// fadeErrorDecay is the factor by which the earlier errors count less with each report.
	fadeErrorDecay = 0.998
	// maxFades is the age of a report, in time constants, after which it has no effect.
	maxFades = 6
	// sameReportTime is the difference between the times of two reports with the same value that may
	// be one report: the time that messages between hosts of a region take.
	sameReportTime = 50 * time.Millisecond
)

// fadeTimes are the time constants among which that of a service is selected.
var fadeTimes = [...]time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond,
}

// slowdown is how long work takes at an upstream, relative to the usual time, as reported by the
// upstream with its responses.
//
// Upstreams that share a machine with others are slow for moments that are shorter than the time
// between two reports. A report counts in full at first and then fades towards the usual slowdown
// of the upstream.
type slowdown struct {
	value      float64
	reportedAt time.Time
	// usual is the moving average of the reports; 0 if there are none.
	usual float64
}

// serviceSlowdown is what the reports of all upstreams of one service show. A nil
// *serviceSlowdown means that none has reported a slowdown.
type serviceSlowdown struct {
	mean    float64
	reports int
	// fadeErrors are the sums of squared errors of the predictions with each of fadeTimes.
	fadeErrors [len(fadeTimes)]float64
	fade       time.Duration
}

func newServiceSlowdown() *serviceSlowdown {
	s := &serviceSlowdown{mean: 1, fade: fadeTimes[defaultFade]}
	for i := range s.fadeErrors {
		if i != defaultFade {
			s.fadeErrors[i] = defaultFadeLead
		}
	}
	return s
}

// observeSlowdown applies the slowdown that an upstream reports with a response. A value that
// cannot be true has no effect and is counted.
func (t *Table) observeSlowdown(now time.Time, w *upstream, r Report) {
	value := r.Load.Slowdown
	if r.Result == Misdirected || !r.HasLoad || value == 0 && !r.SlowdownInvalid {
		return
	}
	if r.SlowdownInvalid || !(value > 0) || math.IsInf(value, 0) {
		t.invalidSlowdowns++
		return
	}
	t.applySlowdown(now, w, value)
}

// ObserveSlowdown records the slowdown that an instance of an upstream has reported to another host,
// unless this host has a later report. The owner of the upstream's room passes on the same report with
// each answer; its time differs by the time that the messages took.
func (t *Table) ObserveSlowdown(now time.Time, instance uint64, value float64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byInstanceKey(instance)
	if w == nil || !(value > 0) || math.IsInf(value, 1) {
		return
	}
	at, known := now.Add(-age), &w.slowdown
	same := known.usual != 0 && float32(known.value) == float32(limitSlowdown(value)) && at.Sub(known.reportedAt) < sameReportTime
	if at.After(known.reportedAt) && !same {
		t.applySlowdown(at, w, value)
	}
}

func limitSlowdown(value float64) float64 { return min(max(value, minSlowdown), maxSlowdown) }

// applySlowdown applies a slowdown that an upstream reported at a time.
func (t *Table) applySlowdown(at time.Time, w *upstream, value float64) {
	service := t.slowdowns[w.Service]
	if service == nil {
		service = newServiceSlowdown()
		t.slowdowns[w.Service] = service
	}
	service.observe(at, &w.slowdown, limitSlowdown(value))
}

func (s *serviceSlowdown) observe(now time.Time, w *slowdown, value float64) {
	s.reports++
	s.mean += max(serviceSlowdownGain, 1/float64(s.reports+1)) * (value - s.mean)
	if w.usual == 0 {
		w.usual = s.mean
	} else {
		s.learnFade(now.Sub(w.reportedAt), w.value-w.usual, value-w.usual)
	}
	w.usual += usualGain * (value - w.usual)
	w.value, w.reportedAt = value, now
}

// learnFade compares the deviations from the usual slowdown in two successive reports of an
// upstream, and selects the time constant that has predicted the later from the earlier ones best.
func (s *serviceSlowdown) learnFade(between time.Duration, earlier, later float64) {
	best := 0
	for i, fade := range fadeTimes {
		missed := later - earlier*remaining(between, fade)
		s.fadeErrors[i] = fadeErrorDecay*s.fadeErrors[i] + missed*missed
		if s.fadeErrors[i] < s.fadeErrors[best] {
			best = i
		}
	}
	s.fade = fadeTimes[best]
}

// remaining returns the part of a deviation that is left after some time.
func remaining(after, fade time.Duration) float64 {
	if after > maxFades*fade {
		return 0
	}
	return math.Exp(-float64(max(after, 0)) / float64(fade))
}

// expected returns the slowdown of an upstream that is expected at a time.
func (s *serviceSlowdown) expected(at time.Time, w *slowdown) float64 {
	switch {
	case s == nil:
		return 1
	case w.usual == 0:
		return s.mean
	}
	return w.usual + (w.value-w.usual)*remaining(at.Sub(w.reportedAt), s.fade)
}

// during returns the mean slowdown of an upstream while it ran a request that has just ended.
// atStart is the slowdown that was expected when the request was sent. From both ends of the
// request, the deviation fades towards its middle.
func (s *serviceSlowdown) during(now time.Time, w *slowdown, atStart float64, took time.Duration) float64 {
	if s == nil || w.usual == 0 || atStart == 0 {
		return 1
	}
	atEnd := s.expected(now, w)
	fades := float64(max(took, time.Millisecond)) / float64(s.fade)
	return w.usual + (atStart+atEnd-2*w.usual)*(1-math.Exp(-fades/2))/fades
}

// ReportsSlowdown reports whether upstreams of the service have reported how long work takes at
// present.
func (t *Table) ReportsSlowdown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slowdowns[service] != nil
}

// InvalidSlowdowns returns the number of reported slowdowns that could not be used.
func (t *Table) InvalidSlowdowns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.invalidSlowdowns
}
