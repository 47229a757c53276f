package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
	"balsambarrow/internal/tunnel"
)

// outcome is the result of one attempt.
type outcome int

const (
	// outcomeAnswered: the caller has received the response.
	outcomeAnswered outcome = iota
	// outcomeUnsent: nothing of the request reached the upstream.
	outcomeUnsent
	// outcomeShed: the upstream refused the request and did not run it.
	outcomeShed
	// outcomeFailed: the upstream answered with a 5xx status; the response is kept.
	outcomeFailed
	// outcomeLost: the upstream may have run the request, but no usable response
	// arrived.
	outcomeLost
	// outcomeTimedOut: the time limit has passed, or the caller has disconnected.
	outcomeTimedOut
)

// serve sends the request to upstreams, one after another, until one answers or
// no further attempt is allowed.
func (h *Handler) serve(w http.ResponseWriter, q *request) *refusal {
	// The context ends when the caller disconnects; the upstream then stops its
	// work, too.
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(h.Now()))
	defer cancel()
	h.RetryBudget.RecordRequest(h.Now(), q.service)
	q.identify()
	answered := false
	defer func() { h.latencies.end(h.Now(), q, answered) }()
	var failure *response
	for unreachable := 0; ; {
		if callerDisconnected(q.http) {
			return h.finishUnserved(w, q, failure, &refusal{cause: CauseCallerLeft})
		}
		if refused := h.revalidateKey(q); refused != nil {
			return h.finishUnserved(w, q, failure, refused)
		}
		// Reading the body or an earlier attempt may have taken until after the stop began.
		if refused := h.checkStop(q); refused != nil {
			return h.finishUnserved(w, q, failure, refused)
		}
		end, resp, refused := h.attempt(ctx, w, q)
		if refused != nil {
			return h.finishUnserved(w, q, failure, refused)
		}
		switch end {
		case outcomeAnswered:
			answered = true
			return nil
		case outcomeTimedOut:
			return h.finishUnserved(w, q, failure, h.timeoutRefusal(q))
		case outcomeUnsent:
			unreachable++
		case outcomeFailed:
			failure = resp
		}
		if refused := h.checkRetry(q, end, unreachable); refused != nil {
			return h.finishUnserved(w, q, failure, refused)
		}
	}
}

// attempt sends the request to one upstream. A refusal means that it was not sent.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, q *request) (end outcome, resp *response, refused *refusal) {
	if refused = h.beginAttempt(ctx, q); refused != nil {
		return end, nil, refused
	}
	answered := false
	// A response that is cut off ends with a panic.
	defer func() { h.endAttempt(q, answered) }()
	choice, err := h.choose(ctx, q)
	if err != nil {
		return end, nil, h.placementRefusal(q, err)
	}
	if !h.allowSend(q) {
		h.done(q, choice, place.Report{Result: place.Canceled})
		return end, nil, h.unservedRefusal(q)
	}
	h.latencies.start(q)
	h.placeAttempt(q, choice)
	end, resp = h.send(ctx, w, q, choice)
	q.attempts.last().end = end.String()
	answered = end == outcomeAnswered || end == outcomeFailed
	if end != outcomeAnswered {
		h.ObserveFailedAttempt(end.String(), choice.Zone)
	}
	return end, resp, nil
}

func (h *Handler) placementQuery(q *request) place.Query {
	regions, restricted := h.allowedRegions(q)
	object := q.Object
	if !q.route.Affinity {
		object = ""
	}
	return place.Query{
		Service: q.service, Route: q.route.Name, Object: object, AllowedRegions: regions, RegionRestricted: restricted,
		Excluded: q.attempts.tried, Avoided: q.attempts.avoided, BodyBytes: q.body.bytes(), Priority: catalog.Priority(q.route, q.customer),
		OverRate: q.overRate, Target: q.route.TargetLatency, Remaining: q.deadline.Sub(h.Now()),
	}
}

// unservedRefusal returns the refusal that is correct for the attempts so far.
func (h *Handler) unservedRefusal(q *request) *refusal {
	switch q.attempts.execution {
	case MayHaveRun:
		return &refusal{status: http.StatusBadGateway, cause: CauseResponseLost}
	case NotRun:
		if pause := h.Table.PauseLeft(h.Now(), h.placementQuery(q)); pause > 0 {
			return unavailable(CauseUpstreamsShed, spreadRetryAfter(pause))
		}
		return unavailable(CauseUpstreamsShed, q.attempts.longestQueueing/2+retrySoon)
	}
	if q.attempts.pathDown {
		// Another host may serve the caller at once.
		return unavailable(CausePathDown, retrySoon)
	}
	return unavailable(CauseUpstreamsUnreachable, retryCold)
}

// placementRefusal returns the refusal for a request for which no upstream could
// be chosen.
func (h *Handler) placementRefusal(q *request, err error) *refusal {
	var waited *waitError
	if errors.As(err, &waited) {
		return waited.refusal
	}
	if q.attempts.sends > 0 || len(q.attempts.tried) > 0 {
		return h.unservedRefusal(q)
	}
	var full *place.QueueLimitError
	if errors.As(err, &full) {
		return unavailable(CauseOverloaded, h.retryAfterQueue(full.ExpectedQueueing)).withReason(err)
	}
	var none *place.NoUpstreamError
	switch {
	case !errors.As(err, &none) || none.Reason == place.NotRegistered:
	case none.Reason == place.AllPaused:
		return unavailable(CauseNoUpstream, spreadRetryAfter(max(none.RetryAfter, retrySoon))).withReason(err)
	case none.Reason == place.AllRateLimited:
		return unavailable(CauseNoUpstream, spreadRetryAfter(retryCold)).withReason(err)
	default:
		return unavailable(CauseNoUpstream, retryCold).withReason(err)
	}
	return unavailable(CauseNoUpstream, 2*retryCold).withReason(err)
}

// spreadRetryAfter adds a random delay to a retry delay, so that callers refused together do not
// retry together: upstreams that were paused or limit their rate first take few requests.
func spreadRetryAfter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(retryCold)))
}

// retryAfterQueue returns the retry delay for a request that was refused because
// the queues are full. The minimum is the time in which half of the shortest queue
// is served, plus retrySoon. A random delay of up to the same length is added, so
// that callers refused together do not retry together.
func (h *Handler) retryAfterQueue(queueing time.Duration) time.Duration {
	base := queueing/2 + retrySoon
	return base + time.Duration(rand.Int64N(int64(base)))
}

// finishUnserved ends a request that no upstream answered and that is not tried
// again. A 5xx response of an upstream takes precedence over a refusal.
func (h *Handler) finishUnserved(w http.ResponseWriter, q *request, failure *response, refused *refusal) *refusal {
	if failure != nil {
		h.writeResponse(w, q, failure)
		return nil
	}
	if q.customer != nil && q.attempts.execution != MayHaveRun && impliesNotRun(refused.status) {
		h.RateLimiter.Refund(q.customer.Name)
	}
	return refused
}

// timeoutRefusal returns the refusal for a request whose time limit has passed or
// whose caller has disconnected.
func (h *Handler) timeoutRefusal(q *request) *refusal {
	mayHaveRun := q.attempts.execution == MayHaveRun
	if q.body.guard.stalled() {
		if mayHaveRun {
			return denied(http.StatusGatewayTimeout, CauseBodyStalled)
		}
		return denied(http.StatusRequestTimeout, CauseBodyStalled)
	}
	if q.http.Context().Err() != nil {
		return &refusal{cause: CauseCallerLeft}
	}
	refused := unavailable(CauseTimeout, retrySoon)
	if mayHaveRun {
		refused = &refusal{status: http.StatusGatewayTimeout, cause: CauseTimeout}
	}
	if q.deadline.Before(q.timeLimit) {
		return refused.withReason(errEndOfStop)
	}
	return refused
}

// errEndOfStop is the reason for CauseTimeout if the request ended before its time limit.
var errEndOfStop = errors.New("the planned stop has ended before the time limit")

// send sends the request to one upstream and handles the response.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, q *request, c place.Choice) (end outcome, resp *response) {
	sentAt := h.Now()
	q.attempts.relay = ""
	q.attempts.tried = append(q.attempts.tried, c.ID)
	q.attempts.records = append(q.attempts.records, &attemptRecord{instance: c.ID, address: c.Address, begun: sentAt.Sub(q.arrived)})
	q.attempts.timeLeft = append(q.attempts.timeLeft, q.deadline.Sub(sentAt))
	q.attempts.longestQueueing = max(q.attempts.longestQueueing, c.ExpectedQueueing)
	limit, err := traffic.NewTimeLimit(q.deadline.Sub(sentAt))
	if err != nil {
		return h.recordUnsent(ctx, q, c, &h1.UnsentError{Address: c.Address, Cause: err})
	}
	out := h.upstreamRequest(q, c, limit)
	endSpan := hopTracer{h.Tracer}.startUpstream(ctx, out.Header, c)
	defer func() { endSpan(end, q.attempts.relay) }()
	upstream, err := h.Pool.Send(ctx, c.Address, out)
	var unsent *h1.UnsentError
	switch {
	case err == nil:
		q.attempts.sends++
		defer func() { q.attempts.execution = max(q.attempts.execution, executionAfter(end)) }()
		return h.receive(ctx, w, q, c, sentAt, upstream)
	case errors.As(err, &unsent):
		return h.recordUnsent(ctx, q, c, unsent)
	}
	q.attempts.sends++
	q.attempts.execution = MayHaveRun
	return h.recordLost(ctx, q, c, err), nil
}

func (h *Handler) upstreamRequest(q *request, c place.Choice, limit traffic.TimeLimit) *h1.Request {
	f := traffic.Forward{TimeLimit: limit, ExpectedInstance: c.ID, DropAPIKey: q.state.Catalog.RequiresKeys || h.State().Catalog.RequiresKeys}
	if q.customer != nil {
		f.Customer = q.customer.Name
	}
	header := h.Codec.ForwardHeader(q.http.Header, f)
	return &h1.Request{
		Method: q.http.Method, Target: requestTarget(q.http), Host: q.http.Host,
		Header: header, Body: q.body.reader(), Length: q.body.length, NonIdempotent: !h.idempotent(q),
		NewConnection: q.ID == "" || q.attempts.usedAddress(), Progress: &q.attempts.last().progress,
		Matches: func(r *http.Response) bool { return h.Codec.ParseResponse(r).ID == q.ID },
		Prepare: func() error {
			// Connecting has taken some of the time.
			limit, err := traffic.NewTimeLimit(q.deadline.Sub(h.Now()))
			if err == nil {
				h.Codec.SetTimeLimit(header, limit)
				q.attempts.timeLeft[len(q.attempts.timeLeft)-1] = limit.Duration()
			}
			return err
		},
	}
}

// recordUnsent records an attempt in which nothing reached the upstream.
func (h *Handler) recordUnsent(ctx context.Context, q *request, c place.Choice, err *h1.UnsentError) (outcome, *response) {
	report := place.Report{Result: place.Unreachable}
	var noPeer *tunnel.NoPeerError
	var noTime *traffic.NoTimeError
	switch {
	case ctx.Err() != nil || !err.DialFailed:
		report.Result = place.Canceled
	case errors.As(err, &noPeer):
		report.Result = place.PathDown
		q.attempts.pathDown = true
	}
	h.done(q, c, report)
	if ctx.Err() != nil || errors.As(err, &noTime) {
		return outcomeTimedOut, nil
	}
	h.Pool.CloseIdle(c.Address)
	h.Log.Info("upstream unreachable", "id", q.ID, "upstream", c.ID, "zone", c.Zone, "error", err)
	return outcomeUnsent, nil
}

// recordLost records an attempt that was sent and received no usable response.
func (h *Handler) recordLost(ctx context.Context, q *request, c place.Choice, err error) outcome {
	if ctx.Err() != nil {
		h.done(q, c, place.Report{Result: place.Canceled})
		return outcomeTimedOut
	}
	h.done(q, c, place.Report{Result: place.NoResponse})
	h.Log.Info("answer lost", "id", q.ID, "request", q.fingerprint, "upstream", c.ID, "zone", c.Zone, "took", h.Now().Sub(q.arrived), "error", err)
	h.observeLost(ctx, q, c, err)
	return outcomeLost
}
