package front

import (
	"context"
	"errors"
	"time"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/place"
	"balsambarrow/internal/suspect"
)

// maxVerdictWait is how long a request waits for the end of equal ones that are in flight, if upstreams
// have ended under it. It waits a quarter of the time left at most.
const maxVerdictWait = 500 * time.Millisecond

// identify sets the fingerprint of the request. Its body is complete, or will be forwarded as it arrives.
func (q *request) identify() {
	identity := suspect.Identity{
		Service: q.service, Method: q.http.Method, Host: q.http.Host, Target: requestTarget(q.http), Object: q.Object,
		Body: q.body.buffered, BodyLength: q.body.length,
	}
	if q.customer != nil {
		identity.Customer = q.customer.Name
	}
	q.fingerprint = identity.Fingerprint()
}

// beginAttempt begins an attempt of the request, unless too many upstreams have ended under it.
func (h *Handler) beginAttempt(ctx context.Context, q *request) *refusal {
	if h.Suspects == nil {
		return nil
	}
	a, err := h.Suspects.Begin(h.Now(), q.fingerprint, q.deadline)
	if err != nil {
		var refused *refusal
		if a, refused = h.awaitVerdict(ctx, q); refused != nil {
			return refused
		}
	}
	q.attempts.current, q.attempts.avoided = a, h.Suspects.Occupied(h.Now(), a)
	return nil
}

// awaitVerdict begins an attempt of a suspect. While equal requests are in flight at as many upstreams
// as may end, it waits until one of them is answered.
func (h *Handler) awaitVerdict(ctx context.Context, q *request) (suspect.Attempt, *refusal) {
	timeout := time.NewTimer(min(maxVerdictWait, q.deadline.Sub(h.Now())/4))
	defer timeout.Stop()
	for {
		updated := h.Suspects.Updated()
		a, err := h.Suspects.Begin(h.Now(), q.fingerprint, q.deadline)
		if err == nil {
			return a, nil
		}
		var refused *suspect.RefusedError
		if errors.As(err, &refused) {
			return a, unavailable(CauseEndsUpstreams, refused.RetryAfter).withReason(err)
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return a, h.timeoutRefusal(q)
		case <-timeout.C:
			return a, unavailable(CauseEndsUpstreams, spreadRetryAfter(retryCold)).withReason(err)
		}
	}
}

// placeAttempt records the upstream that was chosen for the current attempt.
func (h *Handler) placeAttempt(q *request, c place.Choice) {
	if h.Suspects != nil {
		_, instance := h.Table.Instance(c)
		h.Suspects.Placed(&q.attempts.current, instance)
	}
}

// endAttempt ends the current attempt of the request.
func (h *Handler) endAttempt(q *request, answered bool) {
	if h.Suspects != nil {
		h.Suspects.Done(h.Now(), q.attempts.current, answered)
	}
}

// observeLost finds out whether the upstream that did not answer has ended.
func (h *Handler) observeLost(ctx context.Context, q *request, c place.Choice, err error) {
	var invalid *h1.InvalidResponseError
	if h.ObserveLost == nil || errors.As(err, &invalid) || q.attempts.relay != "" {
		return
	}
	customer := ""
	if q.customer != nil {
		customer = q.customer.Name
	}
	pairs := []any{"id", q.ID, "request", q.fingerprint, "route", q.route.Name, "service", q.service, "customer", customer, "upstream", c.ID, "zone", c.Zone}
	service, attempt := q.service, q.attempts.current
	h.ObserveLost(ctx, c, func(instance uint64) {
		ends, refusedFor := h.Suspects.UpstreamEnded(h.Now(), attempt, instance)
		h.ObserveUpstreamEnd(service)
		h.Log.Info("upstream ended", append(pairs, "ends", ends)...)
		if refusedFor > 0 {
			h.Log.Warn("request refused by all hosts", append(pairs, "ends", ends, "refused_for", refusedFor)...)
		}
	})
}
