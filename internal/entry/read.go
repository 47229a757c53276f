package entry

import (
	"net/http"
	"time"

	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// bodyTimeout bounds the reading of a body that is held in memory, 64 KiB at
// most: a caller on a bad line sends that in a few seconds, one that drips
// bytes holds a connection no longer than this.
const bodyTimeout = 15 * time.Second

// read checks the form of a request, authenticates it and takes its body over
// within bounded time.
func (s *Server) read(w http.ResponseWriter, r *http.Request, snap *view.Snapshot) (*wire.Call, *wire.Problem) {
	if problem := malformed(r); problem != nil {
		return nil, problem
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.BodyTimeout))
	call, problem := s.authenticate(w, r, snap)
	if problem != nil {
		return nil, problem
	}
	// A deadline left on a connection would end the request's context when it
	// passes, as if the caller had gone. A larger body is read while the call
	// runs, so it may take as long as that.
	var until time.Time
	if !call.Body.Buffered() {
		until = call.Deadline
	}
	_ = control.SetReadDeadline(until)
	return call, nil
}

// malformed refuses requests that cannot be passed on truthfully.
func malformed(r *http.Request) *wire.Problem {
	switch {
	case !r.ProtoAtLeast(1, 1):
		// Without chunks an answer of unknown length ends with its
		// connection: a part would pass for the whole.
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
