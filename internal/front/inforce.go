package front

import "balsambarrow/internal/catalog"

// routeInForce returns the route of a request by the version that is in force now; nil if that has none. A request may have
// waited for its body, in the queue or for an upstream since it was admitted.
func (h *Handler) routeInForce(q *request) *catalog.Route {
	if c := h.State().Catalog; c != nil && c != q.state.Catalog {
		return c.Route(q.http.Host, requestPath(q.http))
	}
	return q.route
}

// idempotent reports whether the request may run more than once. The caller may know the version that is in force now, and
// the host have learned of it later: both that version and the one that admitted the request must allow it.
func (h *Handler) idempotent(q *request) bool {
	if q.route == nil || !q.route.Kind.Idempotent() {
		return false
	}
	r := h.routeInForce(q)
	return r == nil || r.Kind.Idempotent()
}

// allowedRegions returns the regions that may run the request by the version that is in force now.
func (h *Handler) allowedRegions(q *request) (regions []string, restricted bool) {
	route, customer := q.route, q.customer
	if r := h.routeInForce(q); r != nil {
		route = r
	}
	if c := h.State().Catalog; customer != nil && c != q.state.Catalog {
		customer = c.CustomerByName(customer.Name)
	}
	return catalog.AllowedRegions(route, customer)
}
