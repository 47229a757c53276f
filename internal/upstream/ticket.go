package upstream

import (
	"time"

	"balsambarrow/internal/fairqueue"
)

// Request asks for room at one upstream of a service.
type Request struct {
	Service  string
	Customer string
	Deadline time.Time
	// Key is a hash of the caller's key: a customer's keys share its part.
	Key uint64
	// Kind is a hash of what tells kinds of work apart, such as method and
	// path prefix; how long each takes is learned.
	Kind uint64
	// Safe: the request may be tried again after it may have run.
	Safe bool
	// Avoid names the upstream that an earlier attempt failed on.
	Avoid string
}

// Result is how a dispatched request ended, as the handler saw it. The zero
// value says that nothing was sent.
type Result struct {
	// Failed: no whole answer, or a server error.
	Failed bool
	// Shed: the upstream refused the work.
	Shed bool
	// Abandoned: the caller gave up or its deadline passed; no fault of the
	// upstream unless it took many times what was expected.
	Abandoned bool
	// Took is the time from dispatch to the end of the answer.
	Took time.Duration
	// FirstByte is the time from dispatch until the answer began; 0: as Took.
	FirstByte time.Duration
}

type resultKind int

const (
	resultUnsent resultKind = iota
	resultResponded
	resultFailed
	resultShed
	resultAbandoned
)

func (r Result) kind() resultKind {
	switch {
	case r.Shed:
		return resultShed
	case r.Abandoned:
		return resultAbandoned
	case r.Failed:
		return resultFailed
	case r.Took <= 0:
		return resultUnsent
	}
	return resultResponded
}

// answer is the time until the answer began.
func (r Result) responseTime() time.Duration {
	if r.FirstByte > 0 {
		return r.FirstByte
	}
	return r.Took
}

// Ticket is the right to run one request on one upstream. Done must be called
// once.
type Ticket struct {
	// Upstream is its name, Address where it listens.
	Upstream string
	Address  string

	handler  *Handler
	pool     *pool
	upstream *upstreamState
	item     fairqueue.Item
	kind     uint64
	// expected is the time until the answer begins; 0: not known.
	expectedResponseTime time.Duration
	safe                 bool
	trial                bool
	avoid                string
	// ready is closed when a waiting request starts or is refused.
	ready chan struct{}
	// late: it left the queue because it could not be done in time.
	expired bool
}

func newTicket(h *Handler, p *pool, r Request, weight float64) *Ticket {
	t := &Ticket{handler: h, pool: p, kind: r.Kind, safe: r.Safe, avoid: r.Avoid}
	t.item = fairqueue.Item{
		Customer: r.Customer, Key: r.Key, Weight: weight, Deadline: r.Deadline, Value: t,
	}
	return t
}

// Done gives the room back and takes the result into account.
func (t *Ticket) Done(r Result) { t.handler.done(t, r, time.Now()) }
