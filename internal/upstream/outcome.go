package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/header"
	"balsambarrow/internal/wire"
)

// Retry delays announced to refused callers.
const (
	// defaultRetryAfter is used if no better estimate is known.
	defaultRetryAfter = time.Second
	// maxRetryAfter limits the delay that an upstream may request.
	maxRetryAfter = time.Minute
)

// sendProblem returns the problem of a request for which the upstream sent no
// response, with the outcome that follows from whether the request was sent.
func sendProblem(ctx context.Context, sent bool, err error) *wire.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case !sent && ctx.Err() != nil:
		return wire.NotRunProblem(wire.TypeDeadline, "no connection before the deadline", defaultRetryAfter)
	case !sent:
		return wire.NotRunProblem(wire.TypeUpstreamFailed, "upstream unreachable", defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return wire.MayHaveRunProblem(wire.TypeTooLarge, "the body is too large; an upstream has seen a part of it")
	case ctx.Err() != nil:
		return wire.MayHaveRunProblem(wire.TypeDeadline, "no answer before the deadline")
	default:
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "connection to upstream broke: "+err.Error())
	}
}

// responseProblem returns the problem of a response that must not be
// forwarded, or nil.
func responseProblem(resp *http.Response) *wire.Problem {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "the upstream switched protocols unasked")
	case resp.StatusCode == http.StatusServiceUnavailable:
		return shedProblem(resp)
	case endsAtClose(resp):
		return wire.MayHaveRunProblem(wire.TypeUpstreamFailed, "the upstream's answer has no length and no chunks")
	}
	return nil
}

// endsAtClose reports whether the end of a response is marked only by the end
// of its connection. An upstream that crashes during a response closes the
// connection too, and a partial response would be taken for a complete one.
func endsAtClose(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// shedProblem returns the problem of a 503 response. The status does not show
// whether the upstream ran the request. The outcome is not-run only if the
// upstream declares it in the header wire.HeaderShed.
func shedProblem(resp *http.Response) *wire.Problem {
	p := wire.NotRunProblem(wire.TypeUpstreamShed, "the upstream shed the request", retryAfter(resp))
	if resp.Header.Get(wire.HeaderShed) != wire.ShedNotRun {
		p.Outcome = wire.OutcomeMayHaveRun
	}
	return p
}

// retryAfter returns the delay after which the caller of a shed request should retry.
func retryAfter(resp *http.Response) time.Duration {
	if d, err := parseRetryAfter(resp.Header); err == nil && d > 0 {
		return d
	}
	return defaultRetryAfter
}

// parseRetryAfter returns the delay that an upstream asks for, at most maxRetryAfter; 0 if it
// asks for none. The error is a *header.ValueError.
func parseRetryAfter(h http.Header) (time.Duration, error) {
	seconds, _, err := header.Number(h, "Retry-After")
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), err
}
