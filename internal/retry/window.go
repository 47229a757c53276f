package retry

import (
	"sync"
	"time"
)

// WindowBudget limits the retries of each service over all hosts: within any
// interval of the window's length, the number of retries is at most a ratio of the
// requests for the service, plus a fixed slack.
//
// Without this limit, retries by hosts and by callers multiply the requests while
// upstreams shed requests or lose responses, and overloaded upstreams stay
// overloaded. Each host applies the ratio to the requests that it sent itself and
// uses its part of the slack, so that the limit holds for the sum over all hosts
// without communication between them. It is safe for concurrent use.
type WindowBudget struct {
	length    time.Duration
	ratio     float64
	startedAt time.Time

	mu sync.Mutex
	// slack is the part of this host, and hosts the number of hosts among which it is split.
	slack    float64
	hosts    int
	services map[string]*buckets
}

// WindowState is the state of the budget of one service at this host.
type WindowState struct {
	// Requests and Retries are those in the window.
	Requests, Retries float64
	// Slack is the part of this host, and Hosts the number of hosts among which it is split.
	Slack float64
	Hosts int
	// Age is the time for which this process has counted.
	Age time.Duration
}

const (
	// bucketsPerWindow is the resolution of the sliding window. The window starts
	// up to one bucket late, so one additional bucket is counted.
	bucketsPerWindow = 20
	// ratioFraction and slackFraction are the parts of the ratio and of the slack
	// that are used. The rest is a margin for the case that the count of hosts
	// misses a host for some seconds.
	ratioFraction = 0.9
	slackFraction = 0.7
)

// bucket counts the attempts in one part of the window.
type bucket struct {
	number   int64
	requests float64
	retries  float64
}

type buckets [bucketsPerWindow + 1]bucket

// NewWindowBudget returns the budget of a process that starts at the given time, with a window
// of the given length.
func NewWindowBudget(startedAt time.Time, length time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{length: length, ratio: ratio, startedAt: startedAt, services: map[string]*buckets{}}
}

// SetSlack sets the number of retries that all hosts together may make in one
// window beyond the ratio, and the number of hosts among which it is split.
func (w *WindowBudget) SetSlack(slack float64, hosts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = max(hosts, 1)
	w.slack = slack * slackFraction / float64(w.hosts)
}

// RecordRequest records the first attempt of a request.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket(now, service).requests++
}

// AllowRetry takes one retry from the budget of the service. It returns false if
// the budget is exhausted.
func (w *WindowBudget) AllowRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucket(now, service)
	requests, retries := w.counts(now, service)
	if retries+1 > requests*w.ratio*ratioFraction+w.slack {
		return false
	}
	current.retries++
	return true
}

// State returns the state of the budget of a service.
func (w *WindowBudget) State(now time.Time, service string) WindowState {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, retries := w.counts(now, service)
	return WindowState{Requests: requests, Retries: retries, Slack: w.slack, Hosts: w.hosts, Age: now.Sub(w.startedAt)}
}

// counts returns the requests and the retries in the window.
func (w *WindowBudget) counts(now time.Time, service string) (requests, retries float64) {
	all := w.services[service]
	if all == nil {
		return 0, 0
	}
	oldest := w.bucketNumber(now) - bucketsPerWindow
	for _, b := range all {
		if b.number >= oldest {
			requests += b.requests
			retries += b.retries
		}
	}
	return requests, retries
}

func (w *WindowBudget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / (int64(w.length) / bucketsPerWindow)
}

// bucket returns the current bucket of the service, and clears it first if it
// still holds the counts of an earlier window.
func (w *WindowBudget) bucket(now time.Time, service string) *bucket {
	all := w.services[service]
	if all == nil {
		all = &buckets{}
		w.services[service] = all
	}
	n := w.bucketNumber(now)
	b := &all[n%int64(len(all))]
	if b.number != n {
		*b = bucket{number: n}
	}
	return b
}
