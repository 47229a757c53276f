package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
)

// maxBudget bounds what a peer may claim to be left of a caller's budget.
const maxBudget = time.Hour

// Runner runs a call here and now.
type Runner interface {
	Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem)
}

// Server answers other daemons' calls.
type Server struct {
	// HandleRunner runs a call on an upstream of this daemon's zone.
	HandleRunner Runner
	// PostingRunner runs a call whose posting id names this instance.
	PostingRunner Runner
	// MaxBodyBytes bounds a body; it is the callers' bound.
	MaxBodyBytes int64
	// PaceResponse bounds an answer's body on its way to the daemon that asked; nil
	// bounds nothing.
	PaceResponse func(ctx context.Context, from string, body io.ReadCloser) io.ReadCloser
}

// ServeHTTP implements http.Handler for /relay/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, problem := s.readCall(w, r)
	if problem != nil {
		problem.Write(w)
		return
	}
	ctx, cancel := call.WithDeadline(telemetry.Extract(r.Context(), r.Header))
	defer cancel()
	runner := s.HandleRunner
	if r.Header.Get(wire.HeaderRole) == wire.RolePosting {
		runner = s.PostingRunner
	}
	answer, problem := runner.Run(ctx, call)
	if problem != nil {
		problem.Write(w)
		return
	}
	if s.PaceResponse != nil {
		answer.Body = s.PaceResponse(ctx, r.Header.Get(wire.HeaderFrom), answer.Body)
	}
	answer.Write(w)
}

// boundBody gives a request's body until deadline to arrive.
//
// A peer that is paused in the middle of a body would hold this goroutine for
// as long as its connection stands; it shows as a growing number of them. Past
// the deadline nobody waits for the call any more.
//
// A request without a body gets no bound: net/http already reads ahead on its
// connection, to notice that the peer hangs up, and would take the bound's end
// for that. It shows as calls that are refused at once, not-run, because they
// came on a connection on which an earlier one had met its deadline: net/http
// keeps such a connection, with a context that has ended. Where there is a
// body, it lifts the bound at the body's end, before it reads ahead, and closes
// a connection whose body did not come in time.
func boundBody(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.Body == http.NoBody {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request) (*wire.Call, *wire.Problem) {
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/relay/"), "/")
	budget, err := strconv.ParseInt(r.Header.Get(wire.HeaderBudgetMs), 10, 64)
	if err != nil || service == "" {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, "relay: service or budget missing", 0)
	}
	if budget <= 0 {
		return nil, wire.NotRunProblem(wire.TypeDeadline, "budget spent before the handler", 0)
	}
	deadline := time.Now().Add(time.Duration(min(budget, maxBudget.Milliseconds())) * time.Millisecond)
	boundBody(w, r, deadline)
	body, err := wire.ReadBody(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes), r.ContentLength)
	if err != nil {
		return nil, wire.NotRunProblem(wire.TypeBadRequest, "relay: body broke off or is too large", 0)
	}
	call := &wire.Call{
		Service: service, Path: "/" + path, RawQuery: r.URL.RawQuery, Method: r.Method,
		Header: r.Header.Clone(), Body: body,
		Customer:  r.Header.Get(wire.HeaderCustomer),
		KeyDigest: r.Header.Get(wire.HeaderKeyDigest),
		Deadline:  deadline,
	}
	wire.SanitizeRequestHeaders(call.Header)
	return call, nil
}
