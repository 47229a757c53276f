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
	defaultRetry = time.Second
	// maxRetry bounds what an upstream may ask for.
	maxRetry = time.Minute
)

// failed tells what may be concluded where an upstream sent no answer.
func failed(ctx context.Context, sent bool, err error) *wire.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case !sent && ctx.Err() != nil:
		return wire.NotRunProblem(wire.TypeDeadline, "no connection before the deadline", defaultRetry)
	case !sent:
		return wire.NotRunProblem(wire.TypeUpstreamFailed, "upstream unreachable", defaultRetry)
	case errors.As(err, &tooLarge):
		return wire.MayHaveRunProblem(wire.TypeTooLarge, "the body is too large; an upstream has seen a part of it")
	case ctx.Err() != nil:
		return wire.MayHaveRunProblem(wire.TypeDeadline, "no answer before the deadline")
	default:
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "connection to upstream broke: "+err.Error())
	}
}

// unusable returns the problem of an answer that is not passed on, or nil.
func unusable(resp *http.Response) *wire.Problem {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "the upstream switched protocols unasked")
	case resp.StatusCode == http.StatusServiceUnavailable:
		return shed(resp)
	case unframed(resp):
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "the upstream's answer has no length and no chunks")
	}
	return nil
}

// unframed tells whether an answer ends where its connection does. An
// upstream that dies in the middle closes its connection too, and a part of
// the answer would pass for the whole.
func unframed(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// shed is the problem of an upstream that answered 503. That proves nothing
// about what it did with the request unless it declares so.
func shed(resp *http.Response) *wire.Problem {
	p := wire.NotRunProblem(wire.TypeUpstreamShed, "the upstream shed the request", retryAfter(resp))
	if resp.Header.Get(wire.HeaderShed) != wire.ShedNotRun {
		p.Outcome = wire.OutcomeMayHaveRun
	}
	return p
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetry
	}
	return min(time.Duration(seconds)*time.Second, maxRetry)
}
