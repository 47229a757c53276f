package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"balsambarrow/internal/posting"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// Deps is what the request path works with.
type Deps struct {
	View     *view.Publisher
	Ledger   *quota.Ledger
	Postings *posting.Table
	// LocalHandler runs a call on an upstream that this daemon handles.
	LocalHandler relay.Runner
	Relay        *relay.Client
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64
	// BodyTimeout bounds the reading of a held body; 0: the default.
	BodyTimeout time.Duration
	// RetryBudgets bounds what is sent to another handler after it may have run;
	// nil: everything is.
	RetryBudgets *retry.Budgets
	Tracer       trace.Tracer
	Log          *log.Logger
}

// Server serves the callers' listener.
type Server struct {
	Deps
	mux *http.ServeMux
}

// New returns a server over deps.
func New(deps Deps) *Server {
	if deps.BodyTimeout == 0 {
		deps.BodyTimeout = bodyTimeout
	}
	s := &Server{Deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/entries", s.entries)
	s.mux.HandleFunc("/svc/", s.service)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	snap := s.View.Load()
	if snap.Config == nil {
		noConfiguration().Write(w)
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer := snap.Lookup.Entries(callerAddr(r), rng)
	w.Header().Set("Cache-Control", "max-age="+strconv.FormatInt(answer.TTLMs/1000, 10))
	writeJSON(w, answer)
}

func callerAddr(r *http.Request) netip.Addr {
	ap, _ := netip.ParseAddrPort(r.RemoteAddr)
	return ap.Addr().Unmap()
}

func noConfiguration() *wire.Problem {
	return wire.NotRunProblem(wire.TypeNoConfiguration, "this daemon has no current configuration yet", time.Second)
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	ctx, span := s.Tracer.Start(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	snap := s.View.Load()
	call, problem := s.read(w, r, snap)
	if problem == nil {
		span.SetAttributes(attribute.String("service", call.Service), attribute.String("customer", call.Customer))
		var answer *wire.Response
		answer, problem = s.serve(ctx, call, r.Header.Get(wire.HeaderIdempotencyKey))
		if problem == nil {
			answer.Write(w)
			return
		}
	}
	span.SetAttributes(attribute.String("problem", problem.Type))
	problem.Write(w)
}

// serve runs a call: by its posting id if it bears one.
func (s *Server) serve(ctx context.Context, call *wire.Call, idempotencyKey string) (*wire.Response, *wire.Problem) {
	if idempotencyKey == "" || call.Safe() {
		bounded, cancel := call.WithDeadline(ctx)
		return bindCancel(cancel)(s.admit(bounded, call))
	}
	return s.post(ctx, call, idempotencyKey)
}

// admit takes from the customer's quota and runs the call.
func (s *Server) admit(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	if problem := s.takeQuota(ctx, call); problem != nil {
		return nil, problem
	}
	answer, problem := s.steer(ctx, call)
	if problem != nil && problem.Outcome == wire.OutcomeNotRun {
		s.Ledger.Refund(quota.CustomerQuota(call.Customer), 1, time.Now())
	}
	return answer, problem
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = jsonEncode(w, v)
}
