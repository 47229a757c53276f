package front

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/place"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/share"
	"balsambarrow/internal/traffic"
)

// Log is where decisions are told.
type Log interface {
	Debug(kind string, pairs ...any)
	Info(kind string, pairs ...any)
	Warn(kind string, pairs ...any)
}

// RateLimiter admits customers' requests within their rates.
type RateLimiter interface {
	Admit(now time.Time, c *catalog.Customer) share.Decision
	// Undo gives the token of a request back that certainly did not run.
	Refund(customer string)
}

// Deps are what the front works with.
type Deps struct {
	State       func() *State
	Codec       traffic.Codec
	Pool        *h1.Pool
	Table       *place.Table
	RateLimiter RateLimiter
	RetryBudget *retry.WindowBudget
	Bounds      func() Bounds
	Log         Log
	// Observe is told of each answered request.
	Observe func(Observation)
	Now     func() time.Time
	// Refresh has the store looked at now. The channel is closed when something
	// newer is known; State then returns it.
	Refresh func() <-chan struct{}
	// Updates returns a channel that is closed when something newer is known.
	Updates func() <-chan struct{}
	// StartupTimeLeft is the time for which the host may still be about to learn what it needs
	// for its first requests; 0 or less: it is not.
	StartupTimeLeft func() time.Duration
	// DisableKeepAlive tells whether callers should not keep their connections.
	DisableKeepAlive func() bool
	// Tracer writes a span for each hop. Default nil: none.
	Tracer trace.Tracer
}

// Observation is how a request ended, for metrics.
type Observation struct {
	Route  string
	Status int
	// Cause is "" where an upstream's answer was given.
	Cause Cause
	Took  time.Duration
	// Bytes of the answer's body.
	Bytes int
	// Sends is the number of upstreams that were asked.
	Sends int
	// Latency is how the choice of the upstream that answered was borne out; nil where
	// none did.
	Latency *LatencyComparison
}

// LatencyComparison is what the choice of an upstream went by beside what came of it.
type LatencyComparison struct {
	// Expected is the time until the answer, ExpectedWait the part of it that was to
	// be spent in the upstream's queue.
	Expected, ExpectedQueueing time.Duration
	// Took is the time until the answer's header, and Waited the part of it beyond
	// the work and the way that were expected.
	Actual, ActualQueueing time.Duration
}

func newPlaced(c place.Choice, took time.Duration) *LatencyComparison {
	return &LatencyComparison{
		Expected: c.ExpectedLatency, ExpectedQueueing: c.ExpectedQueueing, Actual: took, ActualQueueing: max(took-(c.ExpectedLatency-c.ExpectedQueueing), 0),
	}
}

// Handler serves callers.
type Handler struct {
	Deps
	split *splitter
	// answerCount counts answers, for the sample of plain ones that is logged.
	answerCount atomic.Uint64
}

// New returns a handler.
func New(d Deps) *Handler { return &Handler{Deps: d, split: newSplitter()} }

// request is one caller's request on its way.
type request struct {
	traffic.Request
	http     *http.Request
	arrived  time.Time
	until    time.Time
	route    *catalog.Route
	customer *catalog.Customer
	service  string
	// over says that the customer asks for more than its rate.
	over     bool
	body     *body
	attempts attempts
}

// attempts is what happened at upstreams.
type attempts struct {
	sends int
	tried []string
	// mayHaveRun says that an upstream may have run the request.
	mayHaveRun bool
	shed       bool
	// longestWait is the longest queue that was met.
	longestWait time.Duration
	// placed is how the last choice was borne out by an answer.
	placed *LatencyComparison
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: h.Codec.ParseRequest(r), arrived: h.Now()}
	var end func()
	q.http, end = spans{h.Tracer}.entry(r, q.ID)
	defer end()
	if h.State().Leaving || h.DisableKeepAlive() {
		// The caller finds another host, or makes a new connection, for its next
		// request.
		w.Header().Set("Connection", "close")
	}
	refused := h.admit(w, q)
	if refused == nil {
		refused = h.serve(w, q)
	}
	if refused != nil {
		h.refuse(w, q, refused)
	}
}

// admit decides whether the request may be sent to an upstream at all.
func (h *Handler) admit(w http.ResponseWriter, q *request) *refusal {
	state := h.awaitState(q, h.StartupTimeLeft(), h.Updates, func(s *State) bool { return !s.starting() })
	if state == nil {
		return unavailable(CauseNoConfiguration, retrySoon)
	}
	if state.Standby && state.age(q.arrived) > standbyMaxAge {
		state = h.awaitState(q, refreshFor, h.Refresh, func(s *State) bool { return s.age(h.Now()) <= standbyMaxAge })
		if state == nil {
			return unavailable(CauseStandby, retrySoon)
		}
	}
	if refused := h.authorize(state, q); refused != nil {
		return refused
	}
	q.until = q.arrived.Add(timeBudget(q))
	body, refused := readBody(w, q.http, state.Catalog.Limits.MaxBodyBytes)
	if refused != nil {
		return refused
	}
	q.body = body
	if q.customer != nil {
		v := h.RateLimiter.Admit(h.Now(), q.customer)
		if !v.Admitted {
			h.Log.Info("over rate", "id", q.ID, "customer", q.customer.Name, "rate", q.customer.Rate,
				"part", v.Fraction, "demand", v.Demand, "version", state.Catalog.Version)
			return &refusal{status: http.StatusTooManyRequests, cause: CauseOverRate, retryAfter: v.RetryAfter}
		}
		q.over = v.OverRate(q.customer.Rate)
	}
	q.service = h.split.service(q.route)
	return nil
}

// awaitState waits until a state is known that will do for a request; nil if that takes
// longer than most. A host that stands by must look at the store first, and one that has
// just started knows within some tenths of a second what it needs.
func (h *Handler) awaitState(q *request, most time.Duration, next func() <-chan struct{}, will func(*State) bool) *State {
	if state := h.State(); will(state) {
		return state
	}
	if most <= 0 {
		return nil
	}
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	for {
		news := next()
		if state := h.State(); will(state) {
			return state
		}
		select {
		case <-news:
		case <-timeout.C:
			return nil
		case <-q.http.Context().Done():
			return nil
		}
	}
}

// authorize finds the route and the customer.
func (h *Handler) authorize(state *State, q *request) *refusal {
	age := state.age(q.arrived)
	deny := func(status int, cause Cause) *refusal {
		if age > denyMaxAge {
			return unavailable(CauseConfigurationStale, retrySoon)
		}
		return denied(status, cause)
	}
	q.route = state.Catalog.Route(q.http.Host, path(q.http))
	if q.route == nil {
		return deny(http.StatusNotFound, CauseNoRoute)
	}
	if !state.Catalog.RequiresKeys || q.route.Public {
		return nil
	}
	if bound := h.Bounds().KeyMaxAge; bound > 0 && age > bound {
		return unavailable(CauseKeysStale, retrySoon)
	}
	if q.APIKey == "" {
		return deny(http.StatusUnauthorized, CauseNoKey)
	}
	if q.customer = state.Catalog.CustomerByKey(q.APIKey); q.customer == nil {
		return deny(http.StatusUnauthorized, CauseUnknownKey)
	}
	return nil
}

// revalidateKey repeats the check of the key right before a send: the wait for a
// body or for another upstream may have been long, and the process may have
// been suspended.
func (h *Handler) revalidateKey(q *request) *refusal {
	if q.customer == nil {
		return nil
	}
	state := h.State()
	if bound := h.Bounds().KeyMaxAge; bound > 0 && state.age(h.Now()) > bound {
		return unavailable(CauseKeysStale, retrySoon)
	}
	if owner := state.Catalog.CustomerByKey(q.APIKey); owner == nil || owner.Name != q.customer.Name {
		return denied(http.StatusUnauthorized, CauseUnknownKey)
	}
	return nil
}

func timeBudget(q *request) time.Duration {
	d := q.TimeBudget
	if t := q.route.Timeout; t > 0 && (d == 0 || t < d) {
		d = t
	}
	if d == 0 {
		return defaultTimeBudget
	}
	return d
}

// target is the path and query exactly as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	// The absolute form, which proxies get.
	if u, err := url.Parse(r.RequestURI); err == nil && u.Host != "" {
		return u.RequestURI()
	}
	return r.RequestURI
}

func path(r *http.Request) string {
	p, _, _ := strings.Cut(target(r), "?")
	return p
}

func (h *Handler) version() uint64 {
	if c := h.State().Catalog; c != nil {
		return c.Version
	}
	return 0
}

func (h *Handler) refuse(w http.ResponseWriter, q *request, f *refusal) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	took := h.Now().Sub(q.arrived)
	h.Observe(Observation{Route: route, Status: f.status, Cause: f.cause, Took: took, Sends: q.attempts.sends})
	h.Log.Info("refused", "id", q.ID, "route", route, "service", q.service, "status", f.status, "cause", f.cause,
		"reason", f.reason, "retry_after", f.retryAfter, "took", took, "sends", q.attempts.sends, "tried", q.attempts.tried,
		"age", h.State().age(h.Now()), "version", h.version())
	if f.cause == CauseCallerLeft {
		panic(http.ErrAbortHandler)
	}
	if f.retryAfter > 0 {
		// It comes back on a new connection; this one would stay open for nothing.
		w.Header().Set("Connection", "close")
		h.Codec.SetRetryAfter(w.Header(), f.retryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	// A failed write means that the caller has left.
	_, _ = w.Write([]byte(string(f.cause) + "\n"))
}
