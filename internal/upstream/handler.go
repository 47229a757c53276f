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

// Handler gives out the room of the upstreams assigned to this daemon: a
// mutex around the pools, which hold the decisions. It is safe for concurrent
// use.
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

// Assign replaces the upstreams that this daemon handles. Requests that run
// on one that was taken away finish, and count again should it come back.
// shared tells that other daemons are about: one of them may have handled what
// is new here, and still run requests there.
func (h *Handler) Assign(c *config.Config, mine map[string]config.Upstream, shared bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.config = c
	for name, u := range mine {
		p := h.pool(u.Service)
		w := p.find(name)
		if w == nil {
			w = newWorker(name, u)
			p.workers = append(p.workers, w)
			if shared {
				w.takeover = NewTakeover(now)
			}
		}
		w.adopt(u, planOf(c, name), now)
	}
	for service, p := range h.pools {
		p.release(service, mine)
		if len(p.workers) == 0 && p.idle() {
			delete(h.pools, service)
			continue
		}
		h.serve(p, now)
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

func (p *pool) find(name string) *worker {
	i := slices.IndexFunc(p.workers, func(w *worker) bool { return w.name == name })
	if i < 0 {
		return nil
	}
	return p.workers[i]
}

// adopt takes an upstream's settings over.
func (w *worker) adopt(u config.Upstream, plan drain, now time.Time) {
	w.Upstream, w.released = u, false
	w.limit.SetSlots(u.Slots)
	w.drain.set(plan, w.running, now)
}

// release takes upstreams out that are no longer this daemon's, each once
// nothing runs on it: until then its requests count if it is assigned again.
func (p *pool) release(service string, mine map[string]config.Upstream) {
	p.workers = slices.DeleteFunc(p.workers, func(w *worker) bool {
		u, kept := mine[w.name]
		w.released = !kept || u.Service != service
		return w.released && w.running == 0
	})
}

// Acquire waits for room and returns a ticket, or the refusal.
func (h *Handler) Acquire(ctx context.Context, r Request) (*Ticket, *wire.Problem) {
	t, problem := h.enter(r, time.Now())
	if problem != nil || t.ready == nil {
		return t, problem
	}
	select {
	case <-t.ready:
	case <-ctx.Done():
	}
	return h.leave(t, time.Now())
}

// enter queues a request and starts it if it can start now.
func (h *Handler) enter(r Request, now time.Time) (*Ticket, *wire.Problem) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[r.Service]
	if p == nil || !slices.ContainsFunc(p.workers, func(w *worker) bool { return w.takesWork(now) }) {
		return nil, wire.Refuse(wire.TypeNoRoom, "no upstream of this service is handled here", 0)
	}
	t := newTicket(h, p, r, h.config.Customers[r.Customer].Weight)
	if refusal := p.offer(t, now); refusal != nil {
		return nil, refused(refusal)
	}
	h.serve(p, now)
	if t.late {
		return nil, lateProblem(p, t, now)
	}
	if t.worker == nil {
		t.ready = make(chan struct{})
	}
	return t, nil
}

// leave ends the wait of a request: it starts, was dropped, or gave up.
func (h *Handler) leave(t *Ticket, now time.Time) (*Ticket, *wire.Problem) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case t.worker != nil:
		return t, nil
	case !t.late:
		t.pool.queue.Remove(&t.item, now)
	}
	return nil, lateProblem(t.pool, t, now)
}

func refused(r *fairqueue.Refusal) *wire.Problem {
	if r.Reason == fairqueue.ReasonDeadline {
		return wire.Refuse(wire.TypeDeadline, r.Reason.String(), 0)
	}
	return wire.Refuse(wire.TypeNoRoom, r.Reason.String(), r.RetryAfter)
}

func lateProblem(p *pool, t *Ticket, now time.Time) *wire.Problem {
	return wire.Refuse(wire.TypeDeadline, "no upstream had room before the deadline", p.queue.RetryAfter(&t.item, now))
}

// serve starts what can start. The caller holds the mutex.
func (h *Handler) serve(p *pool, now time.Time) {
	p.serve(now, func(t *Ticket) { t.wake() }, func(t *Ticket) {
		t.late = true
		t.wake()
	})
}

func (t *Ticket) wake() {
	if t.ready != nil {
		close(t.ready)
	}
}

func (h *Handler) done(t *Ticket, r Result, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.pool.done(t, r, now)
	h.serve(t.pool, now)
}

// Headroom returns the room of each service handled here: Limit counts the
// adapted limits of the upstreams in use, Free what of it is not running and
// not waited for.
func (h *Handler) Headroom() map[string]membership.Headroom {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]membership.Headroom{}
	for service, p := range h.pools {
		if room, ok := p.headroom(now); ok {
			out[service] = room
		}
	}
	return out
}

func (p *pool) headroom(now time.Time) (membership.Headroom, bool) {
	room := membership.Headroom{Queued: p.queue.Len()}
	serves := false
	for _, w := range p.workers {
		serves = serves || w.takesWork(now)
		if w.free(now) == 0 && w.health.condition != healthy {
			continue
		}
		if w.takesWork(now) {
			room.Limit += w.advertised(now, w.room(now))
			room.Free += w.advertised(now, w.free(now))
		}
	}
	room.Free = max(room.Free-room.Queued, 0)
	return room, serves
}

// advertised is what others are told of n slots: less while the upstream
// warms up or drains, so that a move does not fill it with cold caches, but
// never nothing, or it would stay cold.
func (w *worker) advertised(now time.Time, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Ceil(float64(n) * w.part(now)))
}

// DrainStatus is the progress of the drain of one upstream.
type DrainStatus struct {
	Upstream string `json:"upstream"`
	Running  int    `json:"running"`
	// EmptyAfterMs is the time from when this handler learned of the drain
	// until the last request ended; -1 while some run.
	EmptyAfterMs int64 `json:"empty_after_ms"`
}

// Drains lists the upstreams handled here that are being emptied, by name.
func (h *Handler) Drains() []DrainStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []DrainStatus
	for _, p := range h.pools {
		for _, w := range p.workers {
			if w.drain.active {
				out = append(out, w.draining())
			}
		}
	}
	slices.SortFunc(out, func(a, b DrainStatus) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

func (w *worker) draining() DrainStatus {
	d := DrainStatus{Upstream: w.name, Running: w.running, EmptyAfterMs: -1}
	if !w.drain.emptied.IsZero() {
		d.EmptyAfterMs = w.drain.emptied.Sub(w.drain.began).Milliseconds()
	}
	return d
}
