package front

import (
	"context"
	"errors"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/place"
	"balsambarrow/internal/suspect"
)

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

// observeLost finds out whether the upstream that did not answer has ended.
func (h *Handler) observeLost(ctx context.Context, q *request, c place.Choice, err error) {
	var invalid *h1.InvalidResponseError
	if h.ObserveLost == nil || errors.As(err, &invalid) || q.attempts.relay != "" {
		return
	}
	id, service, route, fingerprint := q.ID, q.service, q.route.Name, q.fingerprint
	h.ObserveLost(ctx, c, func(instance uint64) {
		h.ObserveUpstreamEnd(service)
		h.Log.Info("upstream ended", "id", id, "request", fingerprint, "route", route, "service", service, "upstream", c.ID, "zone", c.Zone)
	})
}
