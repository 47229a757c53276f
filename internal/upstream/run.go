package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/config"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
)

// maxAttempts bounds the upstreams tried for one call at one handler.
const maxAttempts = 2

// Runner runs calls on the upstreams that this daemon handles.
type Runner struct {
	Handler *Handler
	Client  *Client
	// KeyValid tells whether a key is still the customer's. It is asked again
	// after the queue: a key withdrawn while a request waits must not run.
	KeyValid func(digest config.Digest, customer string) bool
	Tracer   trace.Tracer
	// RetryBudgets limits the retries of each service. A nil value allows all
	// retries.
	RetryBudgets *retry.Budgets
}

// Run waits for room, sends the call, and returns the answer as it begins.
func (r *Runner) Run(ctx context.Context, call *wire.Call) (*wire.Answer, *wire.Problem) {
	ctx, span := r.Tracer.Start(ctx, "handler", trace.WithAttributes(
		attribute.String("service", call.Service), attribute.String("customer", call.Customer)))
	defer span.End()
	r.RetryBudgets.RecordRequest(call.Service)
	var problem *wire.Problem
	avoid := ""
	for range maxAttempts {
		var answer *wire.Answer
		var latest *wire.Problem
		answer, avoid, latest = r.attempt(ctx, call, avoid)
		if latest == nil {
			return answer, nil
		}
		span.AddEvent(latest.Type)
		problem = latest.After(problem)
		if !repeatable(call, latest) || !r.RetryBudgets.AllowRetryOn(call.Service, latest) {
			break
		}
	}
	return nil, problem
}

// repeatable tells whether a call may be sent to another upstream after the
// problem that one attempt met.
func repeatable(call *wire.Call, p *wire.Problem) bool {
	if p.Type != wire.TypeUpstreamFailed && p.Type != wire.TypeUpstreamShed {
		return false
	}
	return call.Body.Sendable() && (p.Outcome == wire.OutcomeNotRun || call.Safe())
}

// attempt sends the call to one upstream and names it; avoid is the one that
// the attempt before met.
func (r *Runner) attempt(ctx context.Context, call *wire.Call, avoid string) (*wire.Answer, string, *wire.Problem) {
	asked := time.Now()
	ticket, problem := r.acquire(ctx, call, avoid)
	if problem != nil {
		return nil, avoid, problem
	}
	if !r.keyValid(call) {
		ticket.Done(Result{})
		return nil, ticket.Upstream, wire.Refuse(wire.TypeUnknownKey, "the key was withdrawn", 0)
	}
	ctx, span := r.Tracer.Start(ctx, "upstream attempt", trace.WithAttributes(attribute.String("upstream", ticket.Upstream)))
	defer span.End()
	start := time.Now()
	req, err := r.request(ctx, call, ticket.Address)
	if err != nil {
		ticket.Done(Result{})
		return nil, ticket.Upstream, wire.Refuse(wire.TypeBadRequest, err.Error(), 0)
	}
	resp, sent, err := r.Client.Send(req) //nolint:bodyclose // the answer's reader closes it
	if err != nil {
		ticket.Done(Result{Failed: true, Abandoned: ctx.Err() != nil, Took: time.Since(start)})
		return nil, ticket.Upstream, failed(ctx, sent, err)
	}
	body := &trackedBody{ReadCloser: resp.Body, ctx: ctx, ticket: ticket, start: start, firstByte: time.Since(start)}
	body.shed = resp.StatusCode == http.StatusServiceUnavailable
	body.failed = resp.StatusCode >= http.StatusInternalServerError
	if problem := unusable(resp); problem != nil {
		body.failed = true
		_ = body.Close()
		return nil, ticket.Upstream, problem
	}
	wire.StripOwn(resp.Header)
	resp.Header.Set(wire.HeaderQueuedMs, strconv.FormatInt(start.Sub(asked).Milliseconds(), 10))
	return &wire.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, ticket.Upstream, nil
}

func (r *Runner) acquire(ctx context.Context, call *wire.Call, avoid string) (*Ticket, *wire.Problem) {
	_, span := r.Tracer.Start(ctx, "queue")
	defer span.End()
	return r.Handler.Acquire(ctx, requestOf(call, avoid))
}

func (r *Runner) keyValid(call *wire.Call) bool {
	digest, ok := config.ParseDigest(call.KeyDigest)
	return ok && r.KeyValid(digest, call.Customer)
}

func (r *Runner) request(ctx context.Context, call *wire.Call, address string) (*http.Request, error) {
	req, err := call.Request(ctx, "http://"+address)
	if err != nil {
		return nil, err
	}
	req.Header.Set(wire.HeaderCustomer, call.Customer)
	telemetry.Inject(ctx, req.Header)
	return req, nil
}

// trackedBody gives the room back when the answer has ended.
type trackedBody struct {
	io.ReadCloser
	// ctx tells a caller that gave up from an upstream that broke off.
	ctx       context.Context
	ticket    *Ticket
	start     time.Time
	firstByte time.Duration
	shed      bool
	failed    bool
	once      sync.Once
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failed = true
	}
	return n, err
}

func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.ticket.Done(Result{
			Failed: b.failed, Shed: b.shed, Abandoned: b.failed && b.ctx.Err() != nil,
			Took: time.Since(b.start), FirstByte: b.firstByte,
		})
	})
	return err
}
