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
	"balsambarrow/internal/header"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
)

// maxAttempts is the maximum number of attempts for one call at one handler.
const maxAttempts = 2

// Runner runs calls on the upstreams that this daemon handles.
type Runner struct {
	Handler *Handler
	Client  *Client
	// KeyValid reports whether an API key is still valid for the customer. It
	// is checked again after the queueing delay: a request must not run if
	// its key was withdrawn while the request was queued.
	KeyValid func(digest config.Digest, customer string) bool
	Tracer   trace.Tracer
	// RetryBudgets limits the retries of each service. A nil value allows all
	// retries.
	RetryBudgets *retry.Budgets
}

// Run waits for a slot, sends the call, and returns the response when it
// begins.
func (r *Runner) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	ctx, span := r.Tracer.Start(ctx, "handler", trace.WithAttributes(
		attribute.String("service", call.Service), attribute.String("customer", call.Customer)))
	defer span.End()
	r.RetryBudgets.RecordRequest(call.Service)
	var problem *wire.Problem
	avoid := ""
	for range maxAttempts {
		var response *wire.Response
		var attemptProblem *wire.Problem
		response, avoid, attemptProblem = r.attempt(ctx, call, avoid)
		if attemptProblem == nil {
			return response, nil
		}
		span.AddEvent(attemptProblem.Type)
		if problem != nil && attemptProblem.Type == wire.TypeNoRoom {
			// No other upstream could be tried, so the earlier attempt is the answer.
			return nil, problem
		}
		problem = attemptProblem.MergeEarlier(problem)
		if !canRetry(call, attemptProblem, time.Now()) || !r.RetryBudgets.AllowRetryOn(call.Service, attemptProblem) {
			break
		}
	}
	return nil, problem
}

// canRetry reports whether a call may be sent to another upstream after the
// given problem of an attempt.
func canRetry(call *wire.Call, p *wire.Problem, now time.Time) bool {
	if p.Type != wire.TypeUpstreamFailed && p.Type != wire.TypeUpstreamShed {
		return false
	}
	return call.Body.CanSend() && retry.HasTime(now, call.Deadline) && (p.Outcome == wire.OutcomeNotRun || call.Safe())
}

// attempt sends the call to one upstream and returns the name of that upstream.
// avoid is the upstream of the previous attempt.
func (r *Runner) attempt(ctx context.Context, call *wire.Call, avoid string) (*wire.Response, string, *wire.Problem) {
	queuedAt := time.Now()
	ticket, problem := r.acquire(ctx, call, avoid)
	if problem != nil {
		return nil, avoid, problem
	}
	if !r.isKeyValid(call) {
		ticket.Done(Result{})
		return nil, ticket.Upstream, wire.NotRunProblem(wire.TypeUnknownKey, "the key was withdrawn", 0)
	}
	ctx, span := r.Tracer.Start(ctx, "upstream attempt", trace.WithAttributes(attribute.String("upstream", ticket.Upstream)))
	defer span.End()
	start := time.Now()
	req, err := r.newHTTPRequest(ctx, call, ticket.Address)
	if err != nil {
		ticket.Done(Result{})
		return nil, ticket.Upstream, wire.NotRunProblem(wire.TypeBadRequest, err.Error(), 0)
	}
	resp, sent, err := r.Client.Send(req) //nolint:bodyclose // the reader of the response closes it
	if err != nil {
		ticket.Done(Result{Failed: true, Abandoned: ctx.Err() != nil, Took: time.Since(start)})
		return nil, ticket.Upstream, sendProblem(ctx, sent, err)
	}
	body := &trackedBody{ReadCloser: resp.Body, ctx: ctx, ticket: ticket, start: start, firstByte: time.Since(start)}
	if body.shed = resp.StatusCode == http.StatusServiceUnavailable; body.shed {
		if body.retryAfter, err = parseRetryAfter(resp.Header); err != nil {
			span.RecordError(err)
		}
	}
	if body.load, _, err = header.Number(resp.Header, headerLoad); err != nil {
		span.RecordError(err)
	}
	body.failed = resp.StatusCode >= http.StatusInternalServerError
	if problem := responseProblem(resp); problem != nil {
		body.failed = true
		_ = body.Close()
		return nil, ticket.Upstream, problem
	}
	wire.RemoveInternalHeaders(resp.Header)
	resp.Header.Set(wire.HeaderQueuedMs, strconv.FormatInt(start.Sub(queuedAt).Milliseconds(), 10))
	return &wire.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, ticket.Upstream, nil
}

func (r *Runner) acquire(ctx context.Context, call *wire.Call, avoid string) (*Ticket, *wire.Problem) {
	_, span := r.Tracer.Start(ctx, "queue")
	defer span.End()
	return r.Handler.Acquire(ctx, newRequest(call, avoid))
}

func (r *Runner) isKeyValid(call *wire.Call) bool {
	digest, ok := config.ParseDigest(call.KeyDigest)
	return ok && r.KeyValid(digest, call.Customer)
}

func (r *Runner) newHTTPRequest(ctx context.Context, call *wire.Call, address string) (*http.Request, error) {
	req, err := call.NewRequest(ctx, "http://"+address)
	if err != nil {
		return nil, err
	}
	req.Header.Set(wire.HeaderCustomer, call.Customer)
	telemetry.Inject(ctx, req.Header)
	return req, nil
}

// trackedBody releases the slot when the response has ended.
type trackedBody struct {
	io.ReadCloser
	// ctx distinguishes a caller that disconnected from an upstream that
	// broke the connection.
	ctx       context.Context
	ticket    *Ticket
	start     time.Time
	firstByte time.Duration
	shed      bool
	// retryAfter is the pause that an upstream asks for when it sheds the request.
	retryAfter time.Duration
	// load is the load that the upstream reports.
	load   float64
	failed bool
	once   sync.Once
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
			Failed: b.failed, Shed: b.shed, RetryAfter: b.retryAfter, Load: b.load, Abandoned: b.failed && b.ctx.Err() != nil,
			Took: time.Since(b.start), FirstByte: b.firstByte,
		})
	})
	return err
}
