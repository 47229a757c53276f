package retry

import (
	"sync"
	"time"
)

// WindowBudget bounds the tries again of each service over the fleet: in any span of
// its length, no more than ratio of the requests for the service, and a slack.
//
// Load pattern: upstreams that shed or lose answers while callers retry as
// well. Without a bound each request becomes several, and upstreams that are
// full stay full. Each host keeps the ratio for the requests that it sent
// itself, and its part of the slack, so the sum over all hosts holds without a
// message between them. It is safe for concurrent use.
type WindowBudget struct {
	length time.Duration
	ratio  float64

	mu       sync.Mutex
	slack    float64
	services map[string]*slots
}

const (
	// slotsPerWindow is how finely a window slides. A window begins up to a
	// slot late, so one slot more is counted.
	slotsPerWindow = 20
	// ratioPart and slackPart of what is allowed are used: a member may be
	// missing in the count of hosts for some seconds.
	ratioPart = 0.9
	slackPart = 0.7
)

type slot struct {
	number int64
	first  float64
	again  float64
}

type slots [slotsPerWindow + 1]slot

// NewWindowBudget returns a budget for spans of the given length.
func NewWindowBudget(length time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{length: length, ratio: ratio, services: map[string]*slots{}}
}

// SetSlack says what the whole fleet may try again beyond the ratio in one
// span, and among how many hosts that is split.
func (w *WindowBudget) SetSlack(slack float64, hosts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack * slackPart / float64(max(hosts, 1))
}

// RecordRequest notes a request that is sent for the first time.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(now, service).first++
}

// AllowRetry takes one try again; false if the budget is spent.
func (w *WindowBudget) AllowRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.slot(now, service)
	oldest := w.number(now) - slotsPerWindow
	var first, again float64
	for _, s := range w.services[service] {
		if s.number >= oldest {
			first += s.first
			again += s.again
		}
	}
	if again+1 > first*w.ratio*ratioPart+w.slack {
		return false
	}
	current.again++
	return true
}

func (w *WindowBudget) number(now time.Time) int64 {
	return now.UnixNano() / (int64(w.length) / slotsPerWindow)
}

func (w *WindowBudget) slot(now time.Time, service string) *slot {
	all := w.services[service]
	if all == nil {
		all = &slots{}
		w.services[service] = all
	}
	n := w.number(now)
	s := &all[n%int64(len(all))]
	if s.number != n {
		*s = slot{number: n}
	}
	return s
}
