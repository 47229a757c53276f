package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/wire"
)

// Times after which a refused caller may come back.
const (
	// defaultRetry is used where nothing better is known.
	defaultRetryAfter = time.Second
	// maxRetry bounds what an upstream may ask for.
	maxRetryAfter = time.Minute
)

// failed tells what may be concluded where an upstream sent no answer.
func sendProblem(ctx context.Context, sent bool, err error) *wire.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case !sent && ctx.Err() != nil:
		return wire.Refuse(wire.TypeDeadline, "no connection before the deadline", defaultRetryAfter)
	case !sent:
		return wire.Refuse(wire.TypeUpstreamFailed, "upstream unreachable", defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return wire.Doubt(wire.TypeTooLarge, "the body is too large; an upstream has seen a part of it")
	case ctx.Err() != nil:
		return wire.Doubt(wire.TypeDeadline, "no answer before the deadline")
	default:
		return wire.Doubt(wire.TypeUpstreamFailed, "connection to upstream broke: "+err.Error())
	}
}

// unusable returns the problem of an answer that is not passed on, or nil.
func responseProblem(resp *http.Response) *wire.Problem {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return wire.Doubt(wire.TypeUpstreamFailed, "the upstream switched protocols unasked")
	case resp.StatusCode == http.StatusServiceUnavailable:
		return shedProblem(resp)
	case endsAtClose(resp):
		return wire.Doubt(wire.TypeUpstreamFailed, "the upstream's answer has no length and no chunks")
	}
	return nil
}

// unframed tells whether an answer ends where its connection does. An
// upstream that dies in the middle closes its connection too, and a part of
// the answer would pass for the whole.
func endsAtClose(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// shed is the problem of an upstream that answered 503. That proves nothing
// about what it did with the request unless it declares so.
func shedProblem(resp *http.Response) *wire.Problem {
	p := wire.Refuse(wire.TypeUpstreamShed, "the upstream shed the request", retryAfter(resp))
	if resp.Header.Get(wire.HeaderShed) != wire.ShedNotRun {
		p.Outcome = wire.OutcomeMayHaveRun
	}
	return p
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
