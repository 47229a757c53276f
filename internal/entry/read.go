package entry

import (
	"net/http"
	"time"

	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// bodyTimeout limits the time to read a buffered body of at most 64 KiB. Callers
// on slow links send such a body in a few seconds. A caller that sends single
// bytes at long intervals can hold a connection only until this timeout.
const bodyTimeout = 15 * time.Second

// readRequest validates and authenticates a request and buffers its body, or the
// start of a large body, within BodyTimeout.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, snap *view.Snapshot) (*wire.Call, *wire.Problem) {
	if problem := validateRequest(r); problem != nil {
		return nil, problem
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.BodyTimeout))
	call, problem := s.authenticate(w, r, snap)
	if problem != nil {
		return nil, problem
	}
	// A read deadline that stays on the connection would cancel the context of
	// the request when it passes, as if the caller had disconnected. A larger
	// body is read while the call runs, so its deadline is that of the call.
	var readDeadline time.Time
	if !call.Body.Buffered() {
		readDeadline = call.Deadline
	}
	_ = control.SetReadDeadline(readDeadline)
	return call, nil
}

// validateRequest rejects requests that cannot be forwarded correctly.
func validateRequest(r *http.Request) *wire.Problem {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// HTTP/1.0 has no chunked encoding. A response of unknown length
		// would end when the connection closes, so the caller could not
		// detect a truncated response.
		return wire.NotRunProblem(wire.TypeBadRequest, "want HTTP/1.1", 0)
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return wire.NotRunProblem(wire.TypeBadRequest, "method not served", 0)
	case len(r.Header.Values(wire.HeaderIdempotencyKey)) > 1:
		return wire.NotRunProblem(wire.TypeBadRequest, "more than one "+wire.HeaderIdempotencyKey, 0)
	case len(r.Header.Values("Authorization")) > 1:
		return wire.NotRunProblem(wire.TypeBadRequest, "more than one Authorization", 0)
	}
	return nil
}
