package front

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// maxBufferedAnswer is the largest answer that is read to its end before the caller
// gets any of it. If it breaks off, an idempotent request can still be served
// by another upstream.
const maxBufferedAnswer = 1 << 20

// answerLogSample is how many plain answers go on one log line, so that a log shows
// what is usual at the time of a failure.
const answerLogSample = 64

// answer is an upstream's answer that was read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// receive reads an upstream's answer and gives it to the caller, if it is one.
func (h *Handler) receive(ctx context.Context, w http.ResponseWriter, q *request, c place.Choice, began time.Time, reply *h1.Response) (outcome, *answer) {
	said := h.Codec.ParseResponse(reply.Response)
	report := place.Report{
		TimeToHeader: h.Now().Sub(began), ConnectTime: reply.ConnectTime, Load: said.Load, HasLoad: said.HasLoad, ColdFor: said.ColdFor,
	}
	if problem := invalidAnswer(reply.Response, said); problem != "" {
		reply.Close(said.KeepAlive)
		return h.recordNoAnswer(ctx, q, c, &h1.InvalidResponseError{Problem: problem}), nil
	}
	kept, err := io.ReadAll(io.LimitReader(reply, maxBufferedAnswer+1))
	if err != nil {
		reply.Close(said.KeepAlive)
		return h.recordNoAnswer(ctx, q, c, err), nil
	}
	report.ResponseBytes = len(kept)
	a := &answer{status: reply.StatusCode, header: reply.Header, body: kept}
	if len(kept) > maxBufferedAnswer {
		err := h.stream(w, a, reply)
		reply.Close(said.KeepAlive)
		return h.streamed(ctx, q, c, report, err), nil
	}
	reply.Close(said.KeepAlive)
	return h.conclude(w, q, c, said, report, a)
}

// conclude decides what an answer that is here whole means.
func (h *Handler) conclude(w http.ResponseWriter, q *request, c place.Choice, said traffic.Response, report place.Report, a *answer) (outcome, *answer) {
	end := done
	switch {
	case said.Misdirected:
		report.Result, end = place.Misdirected, shed
	case said.NotRun:
		report.Result, end = place.Shed, shed
	case a.status >= http.StatusInternalServerError:
		report.Result, end = place.Failed, failed
	}
	h.Table.Done(h.Now(), c, report)
	q.attempts.placed = newPlaced(c, report.TimeToHeader)
	h.Log.Debug("upstream answered", "id", q.ID, "route", q.route.Name, "object", q.Object, "upstream", c.ID, "zone", c.Zone,
		"status", a.status, "took", report.TimeToHeader, "expected", c.ExpectedLatency, "expected_wait", c.ExpectedQueueing, "warm", c.Warm,
		"running", said.Load.Running, "waiting", said.Load.Waiting, "bytes", report.ResponseBytes)
	switch end {
	case done:
		h.writeAnswer(w, q, a)
	case shed:
		h.Log.Info("upstream refused", "id", q.ID, "upstream", c.ID, "status", a.status, "running", said.Load.Running,
			"waiting", said.Load.Waiting, "slots", said.Load.Slots, "expected_wait", c.ExpectedQueueing)
	case failed:
		h.Log.Info("upstream failed", "id", q.ID, "upstream", c.ID, "status", a.status)
	}
	return end, a
}

// invalidAnswer says what is wrong with an answer that cannot be the upstream's own.
func invalidAnswer(r *http.Response, said traffic.Response) string {
	switch {
	case said.Encoded:
		return "encoded body"
	case r.StatusCode/100 == 2 && !said.Signed:
		return "success without signature"
	case r.StatusCode/100 == 3:
		return "redirection"
	}
	return ""
}

// writeAnswer writes a whole answer to the caller.
func (h *Handler) writeAnswer(w http.ResponseWriter, q *request, a *answer) {
	moveHeader(w.Header(), a.header)
	if q.http.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	// A failed write means that the caller has left.
	_, _ = w.Write(a.body)
	took := h.Now().Sub(q.arrived)
	h.Observe(Observation{Route: q.route.Name, Status: a.status, Took: took, Bytes: len(a.body), Sends: q.attempts.sends, Latency: q.attempts.placed})
	late := q.route.TargetLatency > 0 && took > q.route.TargetLatency
	if q.attempts.sends > 1 || late || a.status >= http.StatusInternalServerError || h.answerCount.Add(1)%answerLogSample == 0 {
		h.Log.Info("answered", "id", q.ID, "route", q.route.Name, "status", a.status, "took", took,
			"target", q.route.TargetLatency, "sends", q.attempts.sends, "tried", q.attempts.tried, "expected", q.attempts.placed.Expected,
			"expected_wait", q.attempts.placed.ExpectedQueueing, "upstream_took", q.attempts.placed.Actual, "waited", q.attempts.placed.ActualQueueing)
	}
}

// stream passes a long answer on as it comes. If it breaks off, the caller's
// connection is broken off too: an answer that ends early must not look whole.
func (h *Handler) stream(w http.ResponseWriter, a *answer, rest io.Reader) error {
	moveHeader(w.Header(), a.header)
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		return &callerError{err}
	}
	_, err := io.Copy(callerWriter{w}, rest)
	return err
}

// streamed ends a request whose answer was passed on as it came.
func (h *Handler) streamed(ctx context.Context, q *request, c place.Choice, report place.Report, err error) outcome {
	var caller *callerError
	switch {
	case err == nil:
		h.Table.Done(h.Now(), c, report)
		return done
	case errors.As(err, &caller) || ctx.Err() != nil:
		h.Table.Done(h.Now(), c, place.Report{Result: place.Canceled})
	default:
		h.Table.Done(h.Now(), c, place.Report{Result: place.NoResponse})
	}
	h.Log.Info("answer broken off", "id", q.ID, "upstream", c.ID, "error", err)
	panic(http.ErrAbortHandler)
}

// callerError says that the caller did not take what was written.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "front: caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

type callerWriter struct{ w io.Writer }

// Write implements io.Writer.
func (c callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	if err != nil {
		return n, &callerError{err}
	}
	return n, nil
}

// moveHeader moves an upstream's headers but those of the connection to it: that
// it closes says nothing about the connection to the caller.
func moveHeader(to, from http.Header) {
	h1.RemoveHopByHop(from)
	maps.Copy(to, from)
}
