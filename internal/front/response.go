package front

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/memory"
	"balsambarrow/internal/place"
	"balsambarrow/internal/tcpreset"
	"balsambarrow/internal/traffic"
)

// maxBufferedResponse is the largest response body that is buffered completely
// before any of it is sent to the caller. If the upstream connection breaks
// before the end, an idempotent request can still be served by another upstream.
const maxBufferedResponse = 1 << 20

// responseLogInterval is the number of ordinary responses per logged one. The
// sample shows what is normal at the time of a failure.
const responseLogInterval = 64

// response is a completely buffered upstream response, or the buffered start of one. notRun is set if it states
// that the upstream did not run the request.
type response struct {
	status int
	notRun bool
	header http.Header
	body   []byte
}

// execution returns what the response says about the execution of its request.
func (r *response) execution() Execution {
	if r.notRun {
		return NotRun
	}
	return MayHaveRun
}

// receive reads the response of an upstream and, unless the upstream refused or
// failed, writes it to the caller.
func (h *Handler) receive(ctx context.Context, w http.ResponseWriter, q *request, c place.Choice, sentAt time.Time, upstream *h1.Response) (outcome, *response) {
	meta := h.Codec.ParseResponse(upstream.Response)
	report := place.Report{
		TimeToHeader: h.Now().Sub(sentAt), ConnectTime: upstream.ConnectTime, Relayed: upstream.Relay != "", Load: meta.Load, HasLoad: meta.HasLoad, ColdFor: meta.ColdFor,
		SlowdownInvalid: meta.LoadError != nil,
	}
	q.attempts.relay = upstream.Relay
	record := q.attempts.last()
	record.answered, record.status, record.statement = h.Now().Sub(q.arrived), upstream.StatusCode, meta.Statement
	h.observeAnnouncements(q, c, meta)
	if problem := invalidResponse(upstream.Response, meta); problem != "" {
		upstream.Close(meta.KeepAlive)
		return h.recordLost(ctx, q, c, &h1.InvalidResponseError{Problem: problem}), nil
	}
	buffered, complete, err := h.readResponse(q, upstream.ContentLength, upstream)
	if err != nil {
		upstream.Close(meta.KeepAlive)
		return h.recordLost(ctx, q, c, err), nil
	}
	report.ResponseBytes = len(buffered)
	resp := &response{status: upstream.StatusCode, notRun: meta.NotRun, header: upstream.Header, body: buffered}
	if !complete {
		err := h.stream(w, q, resp, upstream)
		upstream.Close(meta.KeepAlive)
		return h.finishStream(ctx, q, c, report, err), nil
	}
	upstream.Close(meta.KeepAlive)
	return h.finishBuffered(w, q, c, meta, report, resp)
}

// observeAnnouncements records what an upstream announces about itself, and logs changes. A
// value that cannot be used leaves the last one in force.
func (h *Handler) observeAnnouncements(q *request, c place.Choice, meta traffic.Response) {
	if meta.Misdirected {
		return // another upstream has responded
	}
	for _, err := range []error{meta.LoadError, meta.RateLimitError, meta.RetryAfterError, meta.LeavingError} {
		if err != nil {
			h.Log.Warn("upstream header invalid", "id", q.ID, "upstream", c.ID, "error", err)
		}
	}
	if meta.Leaving && h.Table.ObserveLeaving(c) {
		h.Log.Info("upstream leaving", "id", q.ID, "upstream", c.ID, "zone", c.Zone, "source", "response")
	}
	if meta.RetryAfterError == nil {
		h.Table.ObserveRetryAfter(h.Now(), c, meta.RetryAfter)
	}
	// A refusal without a limit does not say that the limit has ended.
	if meta.RateLimitError == nil && (meta.RateLimit.Limited || !meta.NotRun) && h.Table.ObserveRateLimit(h.Now(), c, meta.RateLimit) {
		h.Log.Info("upstream rate limit", "id", q.ID, "upstream", c.ID, "zone", c.Zone,
			"limited", meta.RateLimit.Limited, "per_second", meta.RateLimit.PerSecond, "source", "response")
	}
}

// finishBuffered determines the outcome of a completely buffered response,
// records it, and writes the response to the caller if the upstream answered.
func (h *Handler) finishBuffered(w http.ResponseWriter, q *request, c place.Choice, meta traffic.Response, report place.Report, resp *response) (outcome, *response) {
	end := outcomeAnswered
	switch {
	case meta.Misdirected:
		report.Result, end = place.Misdirected, outcomeShed
	case meta.NotRun:
		report.Result, end = place.Shed, outcomeShed
	case resp.status >= http.StatusInternalServerError:
		report.Result, end = place.Failed, outcomeFailed
	}
	h.done(q, c, report)
	q.attempts.last().end = end.String()
	q.attempts.latency = compareLatency(c, report)
	h.Log.Debug("upstream answered", "id", q.ID, "route", q.route.Name, "object", q.Object, "upstream", c.ID, "zone", c.Zone,
		"status", resp.status, "took", report.TimeToHeader, "expected", c.ExpectedLatency, "expected_wait", c.ExpectedQueueing, "warm", c.Warm,
		"running", meta.Load.Running, "waiting", meta.Load.Waiting, "bytes", report.ResponseBytes)
	switch end {
	case outcomeAnswered:
		h.latencies.attemptAnswered(h.Now(), q.route.Name, report.TimeToHeader)
		h.writeResponse(w, q, resp)
	case outcomeShed:
		h.Log.Info("upstream refused", "id", q.ID, "upstream", c.ID, "address", c.Address, "reused", report.ConnectTime == 0, "status", resp.status, "retry_after", meta.RetryAfter, "running", meta.Load.Running,
			"waiting", meta.Load.Waiting, "slots", meta.Load.Slots, "expected_wait", c.ExpectedQueueing)
	case outcomeFailed:
		h.Log.Info("upstream failed", "id", q.ID, "upstream", c.ID, "status", resp.status, "contradicts", meta.Contradicts)
	}
	return end, resp
}

// invalidResponse returns what is wrong with a response that the upstream itself
// cannot have generated; "" if the response is valid.
func invalidResponse(r *http.Response, meta traffic.Response) string {
	switch {
	case meta.Encoded:
		return "encoded body"
	case r.StatusCode/100 == 2 && !meta.Signed:
		return "success without signature"
	case r.StatusCode/100 == 3:
		return "redirection"
	case r.StatusCode < http.StatusBadRequest && meta.NotRun:
		return "success that states it did not run"
	}
	return ""
}

// writeResponse writes a buffered response to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, q *request, resp *response) {
	h.withdrawPromise(q, resp)
	h.logPromise(q, resp.status, resp.execution())
	h.endBody(w, q)
	q.releaseBody()
	moveHeader(w.Header(), resp.header)
	if q.http.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	w.WriteHeader(resp.status)
	_, err := w.Write(resp.body)
	var slow *SlowReaderError
	if errors.As(err, &slow) {
		h.Log.Info("response cut", "id", q.ID, "bytes", len(resp.body), "waited", slow.Waited)
	}
	// Other errors mean that the caller has disconnected.
	now := h.Now()
	took := now.Sub(q.arrived)
	h.Observe(Observation{
		Route: q.route.Name, Status: resp.status, Duration: took, Bytes: len(resp.body), Sends: q.attempts.sends, Execution: MayHaveRun, Idempotent: h.idempotent(q),
		Latency: q.attempts.latency,
	})
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if q.attempts.sends > 1 || late || q.state.unusualAge(q.arrived, now) || q.attempts.relay != "" || resp.status >= http.StatusInternalServerError || traffic.PromisesNotRun(resp.status) || h.responseCount.Add(1)%responseLogInterval == 0 {
		pairs := []any{
			"id", q.ID, "status", resp.status, "sends", q.attempts.sends, "ends", q.attempts.ends(), "route", q.route.Name, "took", took,
			"target", q.route.TargetLatency, "waited_at_host", q.waited, "tried", q.attempts.tried, "time_left", q.attempts.timeLeft, "relay", q.attempts.relay,
		}
		pairs = append(pairs, q.state.logPairs(now)...)
		h.Log.Info("answered", append(pairs, q.attempts.latency.logPairs()...)...)
	}
}

// stream forwards a response that exceeds maxBufferedResponse as it arrives.
func (h *Handler) stream(w http.ResponseWriter, q *request, start *response, rest io.Reader) error {
	h.withdrawPromise(q, start)
	h.logPromise(q, start.status, start.execution())
	h.endBody(w, q)
	q.releaseBody()
	moveHeader(w.Header(), start.header)
	conn := q.closeDelimited(w.Header())
	if conn != nil {
		tcpreset.Enable(conn)
	}
	w.WriteHeader(start.status)
	if _, err := w.Write(start.body); err != nil {
		return &callerError{err}
	}
	start.body = nil
	q.hold.ReleaseResponse()
	_, err := io.CopyBuffer(callerWriter{w}, rest, make([]byte, memory.StreamBytes))
	if err == nil && conn != nil {
		tcpreset.Disable(conn)
	}
	return err
}

// closeDelimited returns the connection of the caller if the orderly end of the connection is what tells the caller that
// the response is complete; else nil.
func (q *request) closeDelimited(header http.Header) net.Conn {
	if q.http.ProtoAtLeast(1, 1) || header.Get("Content-Length") != "" {
		return nil
	}
	c, _ := q.http.Context().Value(callerConnKey{}).(net.Conn)
	return c
}

// finishStream records the outcome of a streamed response. If the response was
// interrupted, finishStream aborts the connection to the caller, so that the
// caller cannot take the truncated response for a complete one.
func (h *Handler) finishStream(ctx context.Context, q *request, c place.Choice, report place.Report, err error) outcome {
	var caller *callerError
	switch {
	case err == nil:
		h.done(q, c, report)
		h.latencies.attemptAnswered(h.Now(), q.route.Name, report.TimeToHeader)
		return outcomeAnswered
	case errors.As(err, &caller) || ctx.Err() != nil:
		h.done(q, c, place.Report{Result: place.Canceled})
	default:
		h.done(q, c, place.Report{Result: place.NoResponse})
		h.observeLost(ctx, q, c, err)
	}
	h.Log.Info("response aborted", "id", q.ID, "upstream", c.ID, "error", err)
	panic(http.ErrAbortHandler)
}

// callerError is an error in writing to the caller.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "front: write to caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// callerWriter marks write errors as errors of the caller's connection.
type callerWriter struct{ w io.Writer }

// Write implements io.Writer.
func (c callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, &callerError{err}
	}
	return n, nil
}

// moveHeader copies the end-to-end headers of an upstream response. Hop-by-hop
// headers are removed, since they concern only the connection to the upstream:
// an upstream that closes its connection does not require this host to close
// the caller's.
func moveHeader(to, from http.Header) {
	h1.RemoveHopByHop(from)
	maps.Copy(to, from)
}
