package front

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fairqueue"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/memory"
	"balsambarrow/internal/place"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/share"
	"balsambarrow/internal/suspect"
	"balsambarrow/internal/traffic"
)

// Log receives structured log events.
type Log interface {
	Debug(kind string, pairs ...any)
	Info(kind string, pairs ...any)
	Warn(kind string, pairs ...any)
}

// RateLimiter admits the requests of customers within their rates.
type RateLimiter interface {
	Admit(now time.Time, c *catalog.Customer) share.Decision
	// Refund returns the token of a request that certainly did not run.
	Refund(customer string)
}

// Deps are the dependencies of a Handler.
type Deps struct {
	State       func() *State
	Codec       traffic.Codec
	Pool        *h1.Pool
	Table       *place.Table
	RateLimiter RateLimiter
	RetryBudget *retry.WindowBudget
	Bounds      func() Bounds
	Log         Log
	// Observe is called at the end of each request, except for a streamed response.
	Observe func(Observation)
	// ObserveFailedAttempt is called after each attempt that did not answer the request, with
	// its outcome and the zone of the upstream.
	ObserveFailedAttempt func(outcome, zone string)
	// ObserveRetry is called after each attempt that did not answer the request, with the decision
	// whether the request is sent to another upstream.
	ObserveRetry func(RetryDecision)
	// ObserveLost is called for each response that did not arrive. It calls ended, with the instance of the
	// upstream, if that turns out to have ended, and returns once this is known or ctx has ended.
	// ObserveUpstreamEnd is called for each such end with the service. Both require Suspects; optional.
	ObserveLost        func(ctx context.Context, c place.Choice, ended func(instance uint64))
	ObserveUpstreamEnd func(service string)
	Now                func() time.Time
	// Memory bounds the bytes that callers make the host hold; nil: not bounded. ObserveMemory is
	// called for each event that concerns memory; optional.
	Memory        *memory.Budget
	ObserveMemory func(MemoryEvent)
	// Refresh triggers what a waiting request needs: an immediate confirmation of the state, or a copy
	// of upstreams if they are not known.
	Refresh func()
	// LoadUpstreams is called for each request while the upstreams are not known. It reports
	// whether they are being loaded.
	LoadUpstreams func() bool
	// Updates returns a channel that is closed when State returns a newer state.
	Updates func() <-chan struct{}
	// StartupTimeLeft is how long the host may still need to load the state that
	// its first requests require; 0 or less: the startup period is over.
	StartupTimeLeft func() time.Duration
	// Stop returns the planned stop of the host; the zero value while none has begun.
	Stop func() Stop
	// DisableKeepAlive reports whether connections of callers should be closed
	// after the response.
	DisableKeepAlive func() bool
	// Queues reports whether requests of a service that find no room wait at this host; nil: never.
	Queues func(service string) bool
	// ObserveQueue is called for each change in a queue; nil: not observed.
	ObserveQueue func(QueueEvent)
	// Tracer creates a span for each hop; nil disables tracing.
	Tracer trace.Tracer
	// Room shares the room of upstreams with the other hosts; nil: each host sends by what it knows.
	Room Room
	// Suspects bounds the number of upstreams that end under one request; nil: not bounded.
	Suspects *suspect.Tracker
}

// Stop is a planned stop of the host.
type Stop struct {
	// At is when the host stops answering requests.
	At time.Time
	// LearnedBy is when callers have learned of the stop, unless they keep an outdated response of the
	// directory.
	LearnedBy time.Time
}

// Begun reports whether the stop has begun.
func (s Stop) Begun() bool { return !s.At.IsZero() }

// Observation describes the end of a request, for metrics.
type Observation struct {
	Route  string
	Status int
	// Cause is "" if the response of an upstream was sent.
	Cause    Cause
	Duration time.Duration
	// Bytes is the size of the response body.
	Bytes int
	// Sends is the number of upstreams that the request was sent to, and Execution what the host knows about
	// whether one of them ran it.
	Sends     int
	Execution Execution
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Latency compares the expected and the actual latency of the upstream that
	// answered; nil if none did.
	Latency *LatencyComparison
}

// LatencyComparison compares the latency that was expected when an upstream was
// chosen with the latency that was measured.
type LatencyComparison struct {
	// Expected is the expected time until the response, and ExpectedQueueing the
	// part of it spent in the queue of the upstream.
	Expected, ExpectedQueueing time.Duration
	// Actual is the time until the response header, and ActualQueueing the part of
	// it that exceeds the expected service time and round-trip time.
	Actual, ActualQueueing time.Duration
	// Connect is the part of Actual spent connecting.
	Connect time.Duration
	// Warm is set if the object was expected to be warm at the upstream. Known is what this host
	// knew of the upstream's load, and Reported what the upstream reported with the response.
	Warm     bool
	Known    place.KnownLoad
	Reported traffic.Load
}

func compareLatency(c place.Choice, r place.Report) *LatencyComparison {
	return &LatencyComparison{
		Expected: c.ExpectedLatency, ExpectedQueueing: c.ExpectedQueueing, Actual: r.TimeToHeader,
		ActualQueueing: max(r.TimeToHeader-(c.ExpectedLatency-c.ExpectedQueueing), 0), Connect: r.ConnectTime,
		Warm: c.Warm, Known: c.Known, Reported: r.Load,
	}
}

// logPairs returns the comparison as pairs of a log event.
func (l *LatencyComparison) logPairs() []any {
	return []any{
		"expected", l.Expected, "expected_wait", l.ExpectedQueueing, "upstream_took", l.Actual, "waited", l.ActualQueueing, "connect", l.Connect, "warm", l.Warm,
		"known_load", l.Known.Requests, "known_own", l.Known.Own, "known_slowdown", l.Known.Slowdown, "expected_slowdown", l.Known.ExpectedSlowdown, "known_age", l.Known.ReportAge,
		"running", l.Reported.Running, "waiting", l.Reported.Waiting, "slots", l.Reported.Slots, "slowdown", l.Reported.Slowdown,
	}
}

// Handler serves callers.
type Handler struct {
	Deps
	splitter  *splitter
	latencies *latencies
	queues    *hostQueues
	// responseCount counts the responses to callers; see responseLogInterval.
	responseCount atomic.Uint64
}

// New returns a handler.
func New(d Deps) *Handler {
	return &Handler{
		Deps: d, splitter: newSplitter(), latencies: newLatencies(), queues: &hostQueues{services: map[string]*hostQueue{}, now: d.Now},
	}
}

// Running returns the requests that were sent to upstreams and have not been answered, oldest first.
func (h *Handler) Running() []RunningRequest { return h.latencies.list() }

// request is a caller's request while it is served.
type request struct {
	traffic.Request
	http    *http.Request
	arrived time.Time
	// state is the state by which the request was admitted; nil before.
	state *State
	// timeLimit is when the time that the caller and the route allow ends. deadline is when the
	// request is given up: at the time limit, or at the end of a planned stop.
	timeLimit time.Time
	deadline  time.Time
	route     *catalog.Route
	customer  *catalog.Customer
	service   string
	// fingerprint identifies equal requests; 0 until the request is sent.
	fingerprint suspect.Fingerprint
	// overRate is set if the demand of the customer exceeds its rate.
	overRate bool
	// queued is the entry of a request that was sent in the queue of its service; nil if it has none.
	// waited is how long the request has waited there.
	queued *fairqueue.HostRequest
	waited time.Duration
	body   *body
	// hold is what the request holds of the host's memory.
	hold     *memory.Hold
	attempts attempts
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: h.Codec.ParseRequest(r), arrived: h.Now()}
	var end func()
	q.http, end = hopTracer{h.Tracer}.startEntry(r, q.ID)
	defer end()
	defer func() { q.hold.Release() }()
	if h.Stop().Begun() || h.DisableKeepAlive() {
		// The caller then opens a new connection for its next request, to this host
		// or to another one.
		w.Header().Set("Connection", "close")
	}
	refused := h.admit(w, q)
	if refused == nil {
		refused = h.serve(w, q)
	}
	if refused != nil {
		h.refuse(w, q, q.attempts.truthful(refused))
	}
}

// admit checks the state of the host, the route, the key, the body size and the
// rate, and chooses the service. It returns nil if the request may be sent to an
// upstream.
func (h *Handler) admit(w http.ResponseWriter, q *request) *refusal {
	state := h.awaitState(q, h.StartupTimeLeft(), func() {}, func(s *State) bool { return !s.starting() })
	if state == nil {
		return unavailable(CauseNoConfiguration, retrySoon)
	}
	if !state.sufficesAt(q.arrived) {
		timeout := refreshTimeout
		if !state.UpstreamsKnown {
			if !h.LoadUpstreams() {
				return unavailable(CauseStandby, retrySoon).withReason(errNoActiveHost)
			}
			timeout = upstreamsTimeout
		}
		state = h.awaitState(q, timeout, h.Refresh, func(s *State) bool { return s.sufficesAt(h.Now()) })
		if state == nil {
			return unavailable(CauseStandby, retrySoon).withReason(h.State().insufficiency())
		}
	}
	if refused := checkHeader(q.http, state.Catalog.Limits); refused != nil {
		return refused
	}
	if refused := h.authorize(state, q); refused != nil {
		return refused
	}
	q.timeLimit = q.arrived.Add(timeBudget(q))
	q.deadline = q.timeLimit
	if refused := h.checkStop(q); refused != nil {
		return refused
	}
	if refused := h.admitRateAndBody(w, q, state.Catalog); refused != nil {
		return refused
	}
	q.service = h.splitter.service(q.route)
	return nil
}

// admitRateAndBody reads the body and checks the rate of the customer. The rate comes first if the
// host counts its memory and the body is large.
func (h *Handler) admitRateAndBody(w http.ResponseWriter, q *request, c *catalog.Catalog) *refusal {
	rateFirst := h.Memory != nil && arrivesLarge(q.http)
	if rateFirst {
		if refused := h.admitRate(q, c.Version); refused != nil {
			return refused
		}
	}
	if refused := h.readBody(w, q, c.Limits.MaxBodyBytes); refused != nil {
		if rateFirst && q.customer != nil {
			h.RateLimiter.Refund(q.customer.Name)
		}
		return refused
	}
	if rateFirst {
		return nil
	}
	return h.admitRate(q, c.Version)
}

// admitRate checks the rate of the customer.
func (h *Handler) admitRate(q *request, version uint64) *refusal {
	if q.customer == nil {
		return nil
	}
	v := h.RateLimiter.Admit(h.Now(), q.customer)
	if !v.Admitted {
		h.Log.Info("over rate", "id", q.ID, "customer", q.customer.Name, "rate", q.customer.Rate,
			"part", v.Fraction, "demand", v.Demand, "version", version)
		return &refusal{status: http.StatusTooManyRequests, cause: CauseOverRate, retryAfter: v.RetryAfter}
	}
	q.overRate = v.OverRate(q.customer.Rate)
	return nil
}

// awaitState waits until the state satisfies sufficient, and returns it; nil if
// that takes longer than timeout. It calls refresh for each state that does not. A
// standby host must confirm its state first, and a host that has just started loads
// it within some tenths of a second.
func (h *Handler) awaitState(q *request, timeout time.Duration, refresh func(), sufficient func(*State) bool) *State {
	if state := h.State(); sufficient(state) {
		return state
	}
	if timeout <= 0 {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		updated := h.Updates()
		if state := h.State(); sufficient(state) {
			return state
		}
		refresh()
		select {
		case <-updated:
		case <-timer.C:
			return nil
		case <-q.http.Context().Done():
			return nil
		}
	}
}

// authorize sets the route and the customer of the request. It denies a request
// only if the configuration is recent enough; see denyMaxAge.
func (h *Handler) authorize(state *State, q *request) *refusal {
	q.state = state
	age := state.configurationAge(q.arrived)
	deny := func(status int, cause Cause) *refusal {
		if age > denyMaxAge {
			return unavailable(CauseConfigurationStale, retrySoon)
		}
		return denied(status, cause)
	}
	q.route = state.Catalog.Route(q.http.Host, requestPath(q.http))
	if q.route == nil {
		return deny(http.StatusNotFound, CauseNoRoute)
	}
	if !state.Catalog.RequiresKeys || q.route.Public {
		return nil
	}
	if maxAge := h.Bounds().KeyMaxAge; maxAge > 0 && age > maxAge {
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

// revalidateKey checks the key again immediately before each attempt. Reading the
// body or an earlier attempt may have taken long, and the process may have been
// suspended in the meantime.
func (h *Handler) revalidateKey(q *request) *refusal {
	if q.customer == nil {
		return nil
	}
	state := h.State()
	if !state.Catalog.RequiresKeys {
		return nil
	}
	if maxAge := h.Bounds().KeyMaxAge; maxAge > 0 && state.configurationAge(h.Now()) > maxAge {
		return unavailable(CauseKeysStale, retrySoon)
	}
	if owner := state.Catalog.CustomerByKey(q.APIKey); owner == nil || owner.Name != q.customer.Name {
		return denied(http.StatusUnauthorized, CauseUnknownKey)
	}
	return nil
}

// checkStop refuses a request whose response might be cut off by a planned stop: its time limit ends
// after the stop. Another host can serve it. A caller that cannot know of the stop yet is served if
// recent requests of the route show that it needs far less.
func (h *Handler) checkStop(q *request) *refusal {
	stop := h.Stop()
	if !stop.Begun() || !q.timeLimit.After(stop.At) {
		return nil
	}
	now := h.Now()
	if bound, ok := h.latencies.bound(now, q.route.Name); ok && bound <= stop.At.Sub(now) && !q.arrived.After(stop.LearnedBy) {
		q.deadline = stop.At
		return nil
	}
	return unavailable(CauseStopping, retryElsewhere)
}

// timeBudget returns the time limit of the request: the shorter of those that
// the caller and the route specify.
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

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	// The request target has the absolute form, which clients send to proxies.
	if u, err := url.Parse(r.RequestURI); err == nil && u.Host != "" {
		return u.RequestURI()
	}
	return r.RequestURI
}

func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// refuse sends a refusal to the caller, or aborts the connection if the caller has
// disconnected.
func (h *Handler) refuse(w http.ResponseWriter, q *request, f *refusal) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	took := h.Now().Sub(q.arrived)
	h.Observe(Observation{
		Route: route, Status: f.status, Cause: f.cause, Duration: took, Sends: q.attempts.sends, Execution: q.attempts.execution, Idempotent: h.idempotent(q),
	})
	pairs := []any{
		"id", q.ID, "status", f.status, "cause", f.cause, "execution", q.attempts.execution, "sends", q.attempts.sends, "ends", q.attempts.ends(),
		"route", route, "service", q.service, "reason", f.reason, "retry_after", f.retryAfter, "took", took, "waited_at_host", q.waited,
		"tried", q.attempts.tried, "time_left", q.attempts.timeLeft,
	}
	h.logPromise(q, f.status, q.attempts.execution)
	h.Log.Info("refused", append(pairs, h.State().logPairs(h.Now())...)...)
	if f.cause == CauseCallerLeft {
		panic(http.ErrAbortHandler)
	}
	h.endBody(w, q)
	if f.retryAfter > 0 {
		// The caller retries on a new connection, so this one would stay open unused.
		w.Header().Set("Connection", "close")
		h.Codec.SetRetryAfter(w.Header(), f.retryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write([]byte(string(f.cause) + "\n"))
	h.drainBody(w, q)
}
