package upstream

import (
	"time"

	"balsambarrow/internal/fairqueue"
)

// Request is a request for a slot at an upstream of a service.
type Request struct {
	Service  string
	Customer string
	Deadline time.Time
	// Key is a hash of the API key. The keys of a customer share its
	// capacity.
	Key uint64
	// Kind is a hash of what distinguishes kinds of requests, such as method
	// and path prefix. Service times are estimated by kind.
	Kind uint64
	// Safe is true if the request may be retried after it may have run.
	Safe bool
	// Avoid names the upstream on which an earlier attempt failed.
	Avoid string
}

// Result is the result of a dispatched request as seen by the handler. The
// zero value means that nothing was sent.
type Result struct {
	// Failed is true if there was no complete response, or a server error.
	Failed bool
	// Shed is true if the upstream shed the request.
	Shed bool
	// RetryAfter is how long an upstream that shed the request wants no other; 0 if it does
	// not say.
	RetryAfter time.Duration
	// Load is the fraction of its slots that the upstream reports as used; 0 if it reports none.
	Load float64
	// Abandoned is true if the caller disconnected or the deadline passed. It
	// counts against the upstream only after many times the expected response
	// time.
	Abandoned bool
	// Took is the time from dispatch to the end of the response.
	Took time.Duration
	// FirstByte is the time from dispatch to the start of the response; 0
	// means Took.
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

// responseTime returns the time from dispatch to the start of the response.
func (r Result) responseTime() time.Duration {
	if r.FirstByte > 0 {
		return r.FirstByte
	}
	return r.Took
}

// Ticket is the right to run one request on one upstream. Done must be called
// once.
type Ticket struct {
	// Upstream is the name of the upstream, Address its network address.
	Upstream string
	Address  string

	handler  *Handler
	pool     *pool
	upstream *upstreamState
	item     fairqueue.Item
	kind     uint64
	// expectedResponseTime is the expected time until the response begins; 0
	// if unknown.
	expectedResponseTime time.Duration
	safe                 bool
	trial                bool
	avoid                string
	// ready is closed when a queued request starts or expires.
	ready chan struct{}
	// expired is true if the request left the queue because it could not meet
	// its deadline.
	expired bool
	// pausedUntil is set if the request expired because all upstreams are paused until then.
	pausedUntil time.Time
}

func newTicket(h *Handler, p *pool, r Request, weight float64) *Ticket {
	t := &Ticket{handler: h, pool: p, kind: r.Kind, safe: r.Safe, avoid: r.Avoid}
	t.item = fairqueue.Item{
		Customer: r.Customer, Key: r.Key, Weight: weight, Deadline: r.Deadline, Value: t,
	}
	return t
}

// Done releases the slot and records the result.
func (t *Ticket) Done(r Result) { t.handler.finish(t, r, time.Now()) }
