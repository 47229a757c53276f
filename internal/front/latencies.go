package front

import (
	"slices"
	"sync"
	"time"
)

const (
	// latencyWindow is how long the latency of a request counts after its end.
	latencyWindow = 10 * time.Second
	// latencySafetyFactor is by how much the next request of a route may exceed the longest recent
	// latency.
	latencySafetyFactor = 3
)

// latencies tracks how long requests that were sent to upstreams take, by route. It is safe for
// concurrent use.
type latencies struct {
	mu      sync.Mutex
	running map[*request]struct{}
	routes  map[string]*routeLatency
}

// routeLatency is the latency of the requests of a route in the current half of latencyWindow and
// in the previous one. answeredAt is when the last request was answered by an upstream.
type routeLatency struct {
	half              int64
	current, previous latencyRange
	answeredAt        time.Time
}

// latencyRange holds the longest latency of requests, from their arrival, and the shortest one of
// attempts that were answered; 0 if there was none.
type latencyRange struct {
	longest, shortestAttempt time.Duration
}

func newLatencies() *latencies {
	return &latencies{running: map[*request]struct{}{}, routes: map[string]*routeLatency{}}
}

func (l *routeLatency) advance(now time.Time) {
	half := now.UnixNano() / int64(latencyWindow/2)
	switch half - l.half {
	case 0:
		return
	case 1:
		l.current, l.previous = latencyRange{}, l.current
	default:
		l.current, l.previous = latencyRange{}, latencyRange{}
	}
	l.half = half
}

// route returns the latency of a route as of now.
func (l *latencies) route(now time.Time, name string) *routeLatency {
	r := l.routes[name]
	if r == nil {
		r = &routeLatency{}
		l.routes[name] = r
	}
	r.advance(now)
	return r
}

// start records that a request is about to be sent to an upstream.
func (l *latencies) start(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[q] = struct{}{}
}

// end records that a request has been answered or given up. It does nothing for a request that was
// not sent.
func (l *latencies) end(now time.Time, q *request, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.running[q]; !ok {
		return
	}
	delete(l.running, q)
	route := l.route(now, q.route.Name)
	route.current.longest = max(route.current.longest, now.Sub(q.arrived))
	if answered {
		route.answeredAt = now
	}
}

// attemptAnswered records how long an upstream took to answer a request of a route.
func (l *latencies) attemptAnswered(now time.Time, route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.route(now, route)
	r.current.shortestAttempt = shorter(r.current.shortestAttempt, took)
}

// shortestAttempt returns the shortest time in which an upstream has recently answered a request of
// a route; 0 if none has.
func (l *latencies) shortestAttempt(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.route(now, route)
	return shorter(r.current.shortestAttempt, r.previous.shortestAttempt)
}

// shorter returns the shorter of two durations, of which 0 is unknown.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// bound returns the latency that the next request of a route is not expected to exceed: a multiple
// of the longest one of the recent and of the running requests. ok is false if no request of the
// route was answered recently.
func (l *latencies) bound(now time.Time, route string) (d time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.route(now, route)
	if now.Sub(recent.answeredAt) >= latencyWindow {
		return 0, false
	}
	longest := max(recent.current.longest, recent.previous.longest)
	for q := range l.running {
		if q.route.Name == route {
			longest = max(longest, now.Sub(q.arrived))
		}
	}
	return latencySafetyFactor * longest, true
}

// RunningRequest is a request that was sent to an upstream and has not been answered.
type RunningRequest struct {
	ID      string
	Route   string
	Arrived time.Time
	// Deadline is when the request is given up.
	Deadline time.Time
}

func (l *latencies) list() []RunningRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]RunningRequest, 0, len(l.running))
	for q := range l.running {
		out = append(out, RunningRequest{q.ID, q.route.Name, q.arrived, q.deadline})
	}
	slices.SortFunc(out, func(a, b RunningRequest) int { return a.Arrived.Compare(b.Arrived) })
	return out
}
