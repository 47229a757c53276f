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
)

const (
	// maxUnsent bounds how many upstreams that cannot be reached are tried
	// beyond the attempts of the route. They have seen nothing.
	maxUnsent = 2
)

// outcome is how one send ended.
type outcome int

const (
	// done: the caller has its answer.
	done outcome = iota
	// unsent: nothing reached the upstream.
	unsent
	// shed: the upstream refused, and has not run the request.
	shed
	// failed: the upstream answered that it failed; the answer is kept.
	failed
	// lost: the upstream may have run the request, and no usable answer came.
	lost
	// late: the time is up, or the caller has left.
	late
)

// serve sends the request to upstreams until one answers.
func (h *Handler) serve(w http.ResponseWriter, q *request) *refusal {
	// The caller's leaving ends the context, and with it the upstream's work.
	ctx, cancel := context.WithTimeout(q.http.Context(), q.until.Sub(h.Now()))
	defer cancel()
	h.RetryBudget.RecordRequest(h.Now(), q.service)
	var kept *answer
	for unreached := 0; ; {
		if callerGone(q.http) {
			return h.finishUnserved(w, q, kept, &refusal{cause: CauseCallerLeft})
		}
		if refused := h.revalidateKey(q); refused != nil {
			return h.finishUnserved(w, q, kept, refused)
		}
		choice, err := h.Table.Choose(h.Now(), h.query(q))
		if err != nil {
			return h.finishUnserved(w, q, kept, h.placementRefusal(q, err))
		}
		end, a := h.send(ctx, w, q, choice)
		switch end {
		case done:
			return nil
		case late:
			return h.timedOut(q)
		case unsent:
			unreached++
		case failed:
			kept = a
		case lost:
			q.attempts.mayHaveRun = true
		case shed:
			q.attempts.shed = true
		}
		if refused := h.mayRetry(q, end, unreached); refused != nil {
			return h.finishUnserved(w, q, kept, refused)
		}
	}
}

func (h *Handler) query(q *request) place.Query {
	homes, bound := catalog.AllowedRegions(q.route, q.customer)
	object := q.Object
	if !q.route.Affinity {
		object = ""
	}
	return place.Query{
		Service: q.service, Route: q.route.Name, Object: object, AllowedRegions: homes, RegionRestricted: bound,
		Excluded: q.attempts.tried, BodyBytes: len(q.body.buffered), Priority: catalog.Priority(q.route, q.customer),
		OverRate: q.over, Target: q.route.TargetLatency, Remaining: q.until.Sub(h.Now()),
	}
}

// mayRetry tells whether the request may go to another upstream after a send
// that ended without an answer; nil: it may.
func (h *Handler) mayRetry(q *request, end outcome, unreached int) *refusal {
	why := q.notServed()
	if end == unsent {
		if unreached > maxUnsent || !q.body.repeatable() {
			return why
		}
		return nil
	}
	if end != shed && !q.route.Kind.Idempotent() || !q.body.repeatable() {
		return why
	}
	if q.attempts.sends >= q.route.MaxAttempts || !h.RetryBudget.AllowRetry(h.Now(), q.service) {
		return why
	}
	return nil
}

// notServed is the refusal that is true of what has happened so far.
func (q *request) notServed() *refusal {
	switch {
	case q.attempts.mayHaveRun:
		return &refusal{status: http.StatusBadGateway, cause: CauseResponseLost}
	case q.attempts.shed:
		return unavailable(CauseUpstreamsShed, q.attempts.longestWait/2+retrySoon)
	}
	return unavailable(CauseUpstreamsUnreachable, retryCold)
}

func (h *Handler) placementRefusal(q *request, err error) *refusal {
	if q.attempts.sends > 0 || len(q.attempts.tried) > 0 {
		return q.notServed()
	}
	var full *place.QueueLimitError
	if errors.As(err, &full) {
		return unavailable(CauseOverloaded, h.retryAfterQueue(full.ExpectedQueueing)).withReason(err)
	}
	var none *place.NoUpstreamError
	if errors.As(err, &none) && none.Reason != place.NotRegistered {
		return unavailable(CauseNoUpstream, retryCold).withReason(err)
	}
	return unavailable(CauseNoUpstream, 2*retryCold).withReason(err)
}

// retryAfterQueue is when a request that found no room is told to come back: when half of
// what waits now is done, spread over as long again, so that those who are
// refused together do not return together.
func (h *Handler) retryAfterQueue(wait time.Duration) time.Duration {
	base := wait/2 + retrySoon
	return base + time.Duration(rand.Int64N(int64(base)))
}

// finishUnserved ends a request that no further upstream is asked for. An upstream's
// own failure goes before a refusal, and a doubt before a promise.
func (h *Handler) finishUnserved(w http.ResponseWriter, q *request, kept *answer, refused *refusal) *refusal {
	if kept != nil {
		h.writeAnswer(w, q, kept)
		return nil
	}
	if q.attempts.mayHaveRun && saysNotRun(refused.status) {
		refused = &refusal{status: http.StatusBadGateway, cause: refused.cause}
	}
	if q.customer != nil && saysNotRun(refused.status) {
		h.RateLimiter.Refund(q.customer.Name)
	}
	return refused
}

// saysNotRun tells whether a status says that the request has not run.
func saysNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusUnauthorized
}

// timedOut is the answer to a request whose time is up.
func (h *Handler) timedOut(q *request) *refusal {
	if q.http.Context().Err() != nil {
		return &refusal{cause: CauseCallerLeft}
	}
	if q.attempts.sends > 0 {
		return &refusal{status: http.StatusGatewayTimeout, cause: CauseTimeout}
	}
	return unavailable(CauseTimeout, retrySoon)
}

// send sends the request to one upstream.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, q *request, c place.Choice) (end outcome, kept *answer) {
	began := h.Now()
	q.attempts.tried = append(q.attempts.tried, c.ID)
	q.attempts.longestWait = max(q.attempts.longestWait, c.ExpectedQueueing)
	out := h.outgoing(q, c, began)
	ended := spans{h.Tracer}.upstream(ctx, out.Header, c)
	defer func() { ended(end) }()
	reply, err := h.Pool.Send(ctx, c.Address, out)
	var unsentError *h1.UnsentError
	switch {
	case err == nil:
		q.attempts.sends++
		return h.receive(ctx, w, q, c, began, reply)
	case errors.As(err, &unsentError):
		return h.notSent(ctx, q, c, unsentError)
	}
	q.attempts.sends++
	return h.recordNoAnswer(ctx, q, c, err), nil
}

func (h *Handler) outgoing(q *request, c place.Choice, now time.Time) *h1.Request {
	f := traffic.Forward{Remaining: q.until.Sub(now), ExpectedInstance: c.ID, DropAPIKey: h.State().Catalog.RequiresKeys}
	if q.customer != nil {
		f.Customer = q.customer.Name
	}
	return &h1.Request{
		Method: q.http.Method, Target: target(q.http), Host: q.http.Host,
		Header: h.Codec.ForwardHeader(q.http.Header, f), Body: q.body.reader(), Length: q.body.length, NonIdempotent: !q.route.Kind.Idempotent(),
		Matches: func(r *http.Response) bool { return h.Codec.ParseResponse(r).ID == q.ID },
	}
}

func (h *Handler) notSent(ctx context.Context, q *request, c place.Choice, err *h1.UnsentError) (outcome, *answer) {
	report := place.Report{Result: place.Unreachable}
	if ctx.Err() != nil || !err.DialFailed {
		report.Result = place.Canceled
	}
	h.Table.Done(h.Now(), c, report)
	if ctx.Err() != nil {
		return late, nil
	}
	h.Pool.CloseIdle(c.Address)
	h.Log.Info("upstream unreachable", "id", q.ID, "upstream", c.ID, "zone", c.Zone, "error", err)
	return unsent, nil
}

// recordNoAnswer notes that the answer of an upstream is lost.
func (h *Handler) recordNoAnswer(ctx context.Context, q *request, c place.Choice, err error) outcome {
	if ctx.Err() != nil {
		h.Table.Done(h.Now(), c, place.Report{Result: place.Canceled})
		return late
	}
	h.Table.Done(h.Now(), c, place.Report{Result: place.NoResponse})
	h.Log.Info("answer lost", "id", q.ID, "upstream", c.ID, "zone", c.Zone, "took", h.Now().Sub(q.arrived), "error", err)
	return lost
}
