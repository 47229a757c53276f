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

// maxBudget limits the remaining time budget that a peer may send.
const maxBudget = time.Hour

// Runner runs calls on this daemon.
type Runner interface {
	Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem)
}

// Server serves the calls of other daemons.
type Server struct {
	// HandleRunner runs calls on the upstreams of this daemon's zone.
	HandleRunner Runner
	// PostingRunner runs calls whose posting id names this instance.
	PostingRunner Runner
	// MaxBodyBytes limits the size of a request body. It is the same limit as
	// for callers.
	MaxBodyBytes int64
	// PaceResponse limits the rate of a response body. Its parameter from is
	// the instance that sent the call and receives the response. There is no
	// limit if PaceResponse is nil.
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
	response, problem := runner.Run(ctx, call)
	if problem != nil {
		problem.Write(w)
		return
	}
	if s.PaceResponse != nil {
		response.Body = s.PaceResponse(ctx, r.Header.Get(wire.HeaderFrom), response.Body)
	}
	response.Write(w)
}

// setBodyDeadline sets a read deadline for the body of a request.
//
// Without the deadline, a peer that is paused while it sends a body would hold the
// goroutine of the request as long as the connection is open, and the number of
// goroutines would grow. After the deadline, no one waits for the call.
//
// A request without a body gets no read deadline. In that case net/http already
// reads from the connection in the background to detect that the peer closes it,
// and treats an expired read deadline as a closed connection. It then keeps the
// connection with a canceled context, so later calls on the same connection are
// immediately rejected as not-run. For a request with a body, net/http clears the
// deadline at the end of the body, before the background read, and closes a
// connection whose body did not arrive in time.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
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
	setBodyDeadline(w, r, deadline)
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
