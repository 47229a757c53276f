package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/memory"
)

// largeBody is the size above which the rate of the customer is checked before the body is read, so
// that a customer over its rate does not make the host hold it, in bytes.
const largeBody = 32 << 10

// MemoryEvent is an event that concerns the memory of the host or of an upstream, for metrics.
type MemoryEvent string

// Events.
const (
	// EventRequestRefused: a request did not fit the budget.
	EventRequestRefused MemoryEvent = "request-refused"
	// EventBodyStalled: a caller was cut off because its body did not arrive.
	EventBodyStalled MemoryEvent = "body-stalled"
	// EventReaderStalled: a caller was cut off because it did not read its response.
	EventReaderStalled MemoryEvent = "reader-stalled"
	// EventResponseStreamed: a response was streamed because the budget did not allow buffering it.
	EventResponseStreamed MemoryEvent = "response-streamed"
	// EventConnectionRefused: a connection was closed because connections hold too much.
	EventConnectionRefused MemoryEvent = "connection-refused"
	// EventHeaderRefused: a connection was closed because the header that its caller sends did not fit
	// the budget.
	EventHeaderRefused MemoryEvent = "header-refused"
	// EventCrashBound: the bound of the bytes at the upstreams of a service was lowered.
	EventCrashBound MemoryEvent = "crash-bound"
)

// observeMemory counts an event.
func (h *Handler) observeMemory(e MemoryEvent) {
	if h.ObserveMemory != nil {
		h.ObserveMemory(e)
	}
}

// arrivesLarge reports whether the body of a request is large, or may become so.
func arrivesLarge(r *http.Request) bool { return r.ContentLength < 0 || r.ContentLength > largeBody }

// admitBytes charges the request and the part of its body that will be held to the budget.
func (h *Handler) admitBytes(q *request, hasBody bool) *refusal {
	r := memory.Request{Priority: catalog.Priority(q.route, q.customer), OverRate: q.overRate}
	switch length := q.http.ContentLength; {
	case !hasBody:
	case length < 0:
		r.UnknownLength, r.Body = true, initialBodyBuffer
	case length > maxBufferedBody:
		r.Body = maxBufferedBody + streamingBytes
	default:
		r.Body = length
	}
	hold, err := h.Memory.Admit(r)
	var full *memory.FullError
	if errors.As(err, &full) {
		return h.memoryRefusal(q, full)
	}
	q.hold = hold
	return nil
}

// growBody charges further bytes of the body. A body of unknown length that exceeds the buffer is
// streamed.
func (q *request) growBody(bytes int64) error {
	if q.http.ContentLength >= 0 {
		return nil // charged on admission
	}
	return q.hold.GrowBody(bytes)
}

// memoryRefusal returns the refusal of a request that does not fit the budget. Nothing of it was
// sent to an upstream.
func (h *Handler) memoryRefusal(q *request, full *memory.FullError) *refusal {
	h.observeMemory(EventRequestRefused)
	h.Log.Info("memory full", "id", q.ID, "kind", full.Kind, "bytes", full.Bytes, "held", full.Held, "limit", full.Limit,
		"length", q.http.ContentLength, "priority", catalog.Priority(q.route, q.customer), "over_rate", q.overRate)
	return unavailable(CauseMemoryFull, spreadRetryAfter(retrySoon)).withReason(full)
}

// readResponse reads a response up to maxBufferedResponse. If the budget does not allow that,
// complete is false although no more was read; the rest must be streamed.
func (h *Handler) readResponse(q *request, length int64, upstream io.Reader) (buffered []byte, complete bool, err error) {
	size := firstBuffer(length, memory.StreamBytes, maxBufferedResponse)
	if q.http.Method == http.MethodHead || q.hold.GrowResponse(size-memory.StreamBytes) != nil {
		size = memory.StreamBytes
	}
	buffered, err = readUpTo(upstream, make([]byte, 0, size), maxBufferedResponse+1, q.hold.GrowResponse)
	var full *memory.FullError
	if errors.As(err, &full) {
		h.observeMemory(EventResponseStreamed)
		h.Log.Info("response streamed", "id", q.ID, "length", length, "buffered", len(buffered), "held", full.Held, "limit", full.Limit)
		return buffered, false, nil
	}
	return buffered, len(buffered) <= maxBufferedResponse, err
}

// releaseBody ends the charge of a body that is not sent again.
func (q *request) releaseBody() {
	q.body.buffered = nil
	q.hold.ReleaseBody()
}

// drainLimit is how much of the body of a refused request is still read, in bytes. A caller that
// sends without reading sees the refusal only if its connection is not reset meanwhile.
const drainLimit = 1 << 20

// drainBody reads the rest of the body of a request that has been refused, for discardTime at most.
func (h *Handler) drainBody(w http.ResponseWriter, q *request) {
	if q.http.Body == nil || !arrivesLarge(q.http) || q.body != nil && (q.body.unread != nil || q.body.complete()) {
		return
	}
	// Errors mean that the caller has disconnected, or has sent nothing more.
	_ = http.NewResponseController(w).Flush()
	_, _ = io.CopyN(io.Discard, q.http.Body, drainLimit)
}

// endBody ends the reading of a body that has not arrived completely when the response to the
// request is written. The HTTP server would wait for the rest before it sends the response.
func (h *Handler) endBody(w http.ResponseWriter, q *request) {
	if q.http.Body == nil || q.http.Body == http.NoBody {
		return
	}
	if q.body != nil {
		q.body.guard.stop()
		if q.body.complete() {
			return
		}
	}
	if arrivesLarge(q.http) {
		w.Header().Set("Connection", "close")
	}
	if c, ok := q.http.Context().Value(callerConnKey{}).(net.Conn); ok {
		_ = c.SetReadDeadline(time.Now().Add(discardTime))
	}
}
