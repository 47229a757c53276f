package retry

import (
	"slices"
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
// without communication between them.
//
// A process does not know what its predecessor has used, and hosts that do not know of
// each other would use more than the slack. A host therefore uses its part only after it
// has been counted by the others for a full window, and splits the slack among the
// highest number of hosts that it has known in that window. All hosts that use their
// parts within a window then have been counted by each other at its beginning. It is safe for
// concurrent use.
type WindowBudget struct {
	length time.Duration
	ratio  float64

	mu    sync.Mutex
	share Share
	// shareFrom is when this host may begin to use its part of the slack.
	shareFrom time.Time
	// earlier are the numbers of hosts before that of share, oldest first.
	earlier  []hostCount
	services map[string]*buckets
}

// Share describes the part of a host in the slack of the fleet.
type Share struct {
	// Slack is the number of retries that all hosts together may make in one window beyond
	// the ratio.
	Slack float64
	// Hosts is the number of hosts that may use it, this one included.
	Hosts int
	// CountedUntil is until when the other hosts certainly count this one.
	CountedUntil time.Time
	// Unused is set if no other process can have used the slack. It matters only when this
	// host is first counted.
	Unused bool
}

// hostCount is a number of hosts that was known until a time.
type hostCount struct {
	hosts int
	until time.Time
}

// WindowState is the state of the budget of one service at this host.
type WindowState struct {
	// Requests and Retries are those in the window.
	Requests, Retries float64
	// Slack is the part that this host may use now, and Hosts the number of hosts among
	// which the slack is split.
	Slack float64
	Hosts int
	// Wait is how long this host must still wait before it may use its part.
	Wait time.Duration
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

// NewWindowBudget returns a budget with a window of the given length. It has no slack until
// SetShare is called.
func NewWindowBudget(length time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{length: length, ratio: ratio, services: map[string]*buckets{}}
}

// SetShare sets the share of this host as it knows it now.
func (w *WindowBudget) SetShare(now time.Time, s Share) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.Hosts = max(s.Hosts, 1)
	if !now.Before(w.share.CountedUntil) && now.Before(s.CountedUntil) {
		wait := w.counted()
		if s.Unused && w.shareFrom.IsZero() {
			wait = 0
		}
		w.shareFrom = now.Add(wait)
	}
	if w.share.Hosts != s.Hosts && w.share.Hosts > 0 {
		w.earlier = append(w.earlier, hostCount{w.share.Hosts, now})
	}
	w.share = s
}

// counted returns the time that the counts of a window span.
func (w *WindowBudget) counted() time.Duration { return w.length + w.length/bucketsPerWindow }

// hosts returns the highest number of hosts that this host has known in the window.
func (w *WindowBudget) hosts(now time.Time) int {
	w.earlier = slices.DeleteFunc(w.earlier, func(c hostCount) bool { return now.Sub(c.until) > w.counted() })
	most := w.share.Hosts
	for _, c := range w.earlier {
		most = max(most, c.hosts)
	}
	return most
}

// slack returns the part of the slack that this host may use.
func (w *WindowBudget) slack(now time.Time) float64 {
	if now.Before(w.shareFrom) || !now.Before(w.share.CountedUntil) {
		return 0
	}
	return w.share.Slack * slackFraction / float64(w.hosts(now))
}

// RecordRequest records the first attempt of a request.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucket(now, service).requests++
}

// AllowRetry takes one retry from the budget of the service. It returns false if
// the budget is exhausted. It is called when the retry is sent, since upstreams count
// it when it arrives.
func (w *WindowBudget) AllowRetry(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucket(now, service)
	if w.exhausted(now, service) {
		return false
	}
	current.retries++
	return true
}

// Exhausted reports whether the budget of the service allows no retry now.
func (w *WindowBudget) Exhausted(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exhausted(now, service)
}

func (w *WindowBudget) exhausted(now time.Time, service string) bool {
	requests, retries := w.counts(now, service)
	return retries+1 > requests*w.ratio*ratioFraction+w.slack(now)
}

// State returns the state of the budget of a service.
func (w *WindowBudget) State(now time.Time, service string) WindowState {
	w.mu.Lock()
	defer w.mu.Unlock()
	requests, retries := w.counts(now, service)
	return WindowState{
		Requests: requests, Retries: retries, Slack: w.slack(now), Hosts: w.hosts(now), Wait: max(w.shareFrom.Sub(now), 0),
	}
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
