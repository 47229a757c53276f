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

// Deps are the dependencies and settings of a Server.
type Deps struct {
	View     *view.Publisher
	Ledger   *quota.Ledger
	Postings *posting.Table
	// LocalHandler runs calls on the upstreams that this daemon handles.
	LocalHandler relay.Runner
	Relay        *relay.Client
	// MaxBodyBytes limits the size of a caller's request body.
	MaxBodyBytes int64
	// BodyTimeout limits the time to read a buffered body. The default of 15
	// seconds applies if it is 0.
	BodyTimeout time.Duration
	// RetryBudgets limits the requests that are sent to another handler after
	// they may have run. There is no limit if it is nil.
	RetryBudgets *retry.Budgets
	Tracer       trace.Tracer
	Log          *log.Logger
	// CheckStop refuses calls that a planned stop might abort. None is refused if it
	// is nil.
	CheckStop func(call *wire.Call) *wire.Problem
}

// Server handles the requests of the callers' listener.
type Server struct {
	Deps
	mux *http.ServeMux
}

// New returns a server that uses deps.
func New(deps Deps) *Server {
	if deps.BodyTimeout == 0 {
		deps.BodyTimeout = bodyTimeout
	}
	s := &Server{Deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/entries", s.serveEntries)
	s.mux.HandleFunc("/svc/", s.serveRequest)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// serveEntries responds with the entry hosts that the caller should use.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	snap := s.View.Load()
	if snap.Config == nil {
		noConfigurationProblem().Write(w)
		return
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	response := snap.Lookup.Entries(callerAddr(r), rng)
	w.Header().Set("Cache-Control", "max-age="+strconv.FormatInt(response.TTLMs/1000, 10))
	writeJSON(w, response)
}

func callerAddr(r *http.Request) netip.Addr {
	ap, _ := netip.ParseAddrPort(r.RemoteAddr)
	return ap.Addr().Unmap()
}

func noConfigurationProblem() *wire.Problem {
	return wire.NotRunProblem(wire.TypeNoConfiguration, "this daemon has no current configuration yet", time.Second)
}

// serveRequest handles a request to a service.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	ctx, span := s.Tracer.Start(telemetry.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	snap := s.View.Load()
	call, problem := s.readRequest(w, r, snap)
	if problem == nil {
		span.SetAttributes(attribute.String("service", call.Service), attribute.String("customer", call.Customer))
		var response *wire.Response
		response, problem = s.run(ctx, call, r.Header.Get(wire.HeaderIdempotencyKey))
		if problem == nil {
			response.Write(w)
			return
		}
		if !call.Safe() {
			problem = problem.Truthful()
		}
	}
	span.SetAttributes(attribute.String("problem", problem.Type))
	problem.Write(w)
}

// run runs a call. A call with a posting id runs at most once, unless its method
// is safe.
func (s *Server) run(ctx context.Context, call *wire.Call, idempotencyKey string) (*wire.Response, *wire.Problem) {
	if idempotencyKey == "" || call.Safe() {
		callCtx, cancel := call.WithDeadline(ctx)
		return cancelOnClose(cancel)(s.admit(callCtx, call))
	}
	return s.runPosting(ctx, call, idempotencyKey)
}

// admit takes a token of the customer's quota and runs the call. It refunds the
// token if the call certainly did not run.
func (s *Server) admit(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	if s.CheckStop != nil {
		if problem := s.CheckStop(call); problem != nil {
			return nil, problem
		}
	}
	if problem := s.takeQuota(ctx, call); problem != nil {
		return nil, problem
	}
	response, problem := s.runOnHandlers(ctx, call)
	if problem != nil && problem.Outcome == wire.OutcomeNotRun {
		s.Ledger.Refund(quota.CustomerQuota(call.Customer), 1, time.Now())
	}
	return response, problem
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = encodeJSON(w, v)
}
