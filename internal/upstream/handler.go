package upstream

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/fairqueue"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/wire"
)

// Handler grants requests the slots of the upstreams assigned to this daemon.
// It guards the pools, which make the decisions, with a mutex. It is safe for
// concurrent use.
type Handler struct {
	mu     sync.Mutex
	pools  map[string]*pool
	config *config.Config
	rng    *rand.Rand
}

// NewHandler returns a handler without upstreams.
func NewHandler() *Handler {
	return &Handler{
		pools: map[string]*pool{}, config: &config.Config{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Assign replaces the set of upstreams that this daemon handles. Requests
// running on a removed upstream finish, and are counted again if the upstream
// is assigned to this daemon again. hasPeers reports whether there are
// other daemons: one of them may have handled a newly assigned upstream and may
// still run requests on it.
func (h *Handler) Assign(c *config.Config, assigned map[string]config.Upstream, hasPeers bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.config = c
	for name, u := range assigned {
		p := h.pool(u.Service)
		s := p.find(name)
		if s == nil {
			s = newUpstreamState(name, u)
			p.upstreams = append(p.upstreams, s)
			if hasPeers {
				s.takeover = NewTakeover(now)
			}
		}
		s.configure(u, plannedDrain(c, name), now)
	}
	for service, p := range h.pools {
		p.removeUnassigned(service, assigned)
		if len(p.upstreams) == 0 && p.isIdle() {
			delete(h.pools, service)
			continue
		}
		h.dispatch(p, now)
	}
}

func (h *Handler) pool(service string) *pool {
	p := h.pools[service]
	if p == nil {
		p = newPool(h.config.Services[service], h.rng)
		h.pools[service] = p
	}
	return p
}

func (p *pool) find(name string) *upstreamState {
	i := slices.IndexFunc(p.upstreams, func(s *upstreamState) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return p.upstreams[i]
}

// configure applies the configuration of the upstream.
func (s *upstreamState) configure(u config.Upstream, plan drain, now time.Time) {
	s.Upstream, s.released = u, false
	s.limit.SetSlots(u.Slots)
	s.drain.apply(plan, s.running, now)
}

// removeUnassigned removes the upstreams that are no longer assigned to this
// daemon. An upstream with running requests stays until they finish, so that
// they count if it is assigned again.
func (p *pool) removeUnassigned(service string, assigned map[string]config.Upstream) {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(s *upstreamState) bool {
		u, isAssigned := assigned[s.name]
		s.released = !isAssigned || u.Service != service
		return s.released && s.running == 0
	})
}

// Acquire waits for a slot and returns a ticket, or the problem if the
// request is refused.
func (h *Handler) Acquire(ctx context.Context, r Request) (*Ticket, *wire.Problem) {
	t, problem := h.enqueue(r, time.Now())
	if problem != nil || t.ready == nil {
		return t, problem
	}
	select {
	case <-t.ready:
	case <-ctx.Done():
	}
	return h.endWait(t, time.Now())
}

// enqueue queues a request and starts it if a slot is free.
func (h *Handler) enqueue(r Request, now time.Time) (*Ticket, *wire.Problem) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[r.Service]
	if p == nil || !slices.ContainsFunc(p.upstreams, func(s *upstreamState) bool { return s.acceptsRequests(now) }) {
		return nil, wire.NotRunProblem(wire.TypeNoRoom, "no upstream of this service is handled here", 0)
	}
	if end := p.firstPauseEnd(now); !end.IsZero() {
		return nil, pausedProblem(end, now)
	}
	t := newTicket(h, p, r, h.config.Customers[r.Customer].Weight)
	if refusal := p.enqueue(t, now); refusal != nil {
		return nil, refusalProblem(refusal)
	}
	h.dispatch(p, now)
	if t.expired {
		return nil, expiredProblem(p, t, now)
	}
	if t.upstream == nil {
		t.ready = make(chan struct{})
	}
	return t, nil
}

// endWait returns the result of a wait: the ticket of a started request, or
// the problem of one that expired in the queue or was canceled.
func (h *Handler) endWait(t *Ticket, now time.Time) (*Ticket, *wire.Problem) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case t.upstream != nil:
		return t, nil
	case !t.expired:
		delete(t.pool.waiting, t)
		t.pool.queue.Remove(&t.item, now)
	}
	return nil, expiredProblem(t.pool, t, now)
}

func refusalProblem(r *fairqueue.Refusal) *wire.Problem {
	if r.Reason == fairqueue.ReasonDeadline {
		return wire.NotRunProblem(wire.TypeDeadline, r.Reason.String(), 0)
	}
	return wire.NotRunProblem(wire.TypeNoRoom, r.Reason.String(), r.RetryAfter)
}

func expiredProblem(p *pool, t *Ticket, now time.Time) *wire.Problem {
	if !t.pausedUntil.IsZero() {
		return pausedProblem(t.pausedUntil, now)
	}
	return wire.NotRunProblem(wire.TypeDeadline, "no upstream had room before the deadline", p.queue.RetryAfter(&t.item, now))
}

// dispatch starts the requests that can start now. The caller holds the
// mutex.
func (h *Handler) dispatch(p *pool, now time.Time) {
	p.dispatch(now, func(t *Ticket) { t.signalReady() }, func(t *Ticket) {
		t.expired = true
		t.signalReady()
	})
}

func (t *Ticket) signalReady() {
	if t.ready != nil {
		close(t.ready)
	}
}

func (h *Handler) finish(t *Ticket, r Result, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.pool.finish(t, r, now)
	h.dispatch(t.pool, now)
	if r.RetryAfter > 0 {
		// Requests that are queued at the end of the pause have no other occasion to start.
		time.AfterFunc(r.RetryAfter, func() { h.resume(t.pool) })
	}
}

// resume starts queued requests after a pause.
func (h *Handler) resume(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatch(p, time.Now())
}

// Headroom returns the capacity of each service handled here. Limit is the
// sum of the current concurrency limits of the upstreams in use; Free is the
// part of it that neither running nor queued requests need.
func (h *Handler) Headroom() map[string]membership.Headroom {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	services := map[string]membership.Headroom{}
	for service, p := range h.pools {
		if headroom, ok := p.headroom(now); ok {
			services[service] = headroom
		}
	}
	return services
}

func (p *pool) headroom(now time.Time) (membership.Headroom, bool) {
	headroom := membership.Headroom{Queued: p.queue.Len()}
	accepts := false
	for _, s := range p.upstreams {
		accepts = accepts || s.acceptsRequests(now)
		if s.freeSlots(now) == 0 && s.health.condition != healthy {
			continue
		}
		if s.acceptsRequests(now) && !s.paused(now) {
			headroom.Limit += s.advertisedSlots(now, s.slotLimit(now))
			headroom.Free += s.advertisedSlots(now, s.freeSlots(now))
		}
	}
	headroom.Free = max(headroom.Free-headroom.Queued, 0)
	return headroom, accepts
}

// advertisedSlots returns the number of n slots to report to other daemons.
// It is lower while the upstream is in slow start or drains, so that traffic
// moved here does not overload cold caches, but at least 1, because an
// upstream without traffic would stay cold.
func (s *upstreamState) advertisedSlots(now time.Time, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Ceil(float64(n) * s.trafficFraction(now)))
}

// DrainStatus is the progress of the drain of one upstream.
type DrainStatus struct {
	Upstream string `json:"upstream"`
	Running  int    `json:"running"`
	// EmptyAfterMs is the time from when this handler learned of the drain
	// until the last request ended, or -1 while requests are running.
	EmptyAfterMs int64 `json:"empty_after_ms"`
}

// Drains returns the status of the drained upstreams handled here, sorted by
// name.
func (h *Handler) Drains() []DrainStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var statuses []DrainStatus
	for _, p := range h.pools {
		for _, s := range p.upstreams {
			if s.drain.active {
				statuses = append(statuses, s.drainStatus())
			}
		}
	}
	slices.SortFunc(statuses, func(a, b DrainStatus) int { return strings.Compare(a.Upstream, b.Upstream) })
	return statuses
}

func (s *upstreamState) drainStatus() DrainStatus {
	d := DrainStatus{Upstream: s.name, Running: s.running, EmptyAfterMs: -1}
	if !s.drain.emptiedAt.IsZero() {
		d.EmptyAfterMs = s.drain.emptiedAt.Sub(s.drain.learnedAt).Milliseconds()
	}
	return d
}
