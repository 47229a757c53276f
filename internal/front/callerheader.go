package front

import (
	"net"
	"net/http"
	"sync"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/memory"
)

// MaxHeaderBytes bounds the header of a request, whatever the configuration allows.
const MaxHeaderBytes = 64 << 10

// headerReading charges the header that a caller is sending to the budget. It is safe for concurrent
// use.
type headerReading struct {
	mu sync.Mutex
	// active is set while the server reads a header, and ended once the connection is closed.
	active, ended bool
	charge        memory.Header
	// uncharged is the number of bytes that were received and not charged yet.
	uncharged int64
}

// admitMore charges the bytes that were received, all of which belong to the header if the server asks
// for more. The error is a *memory.FullError.
func (h *headerReading) admitMore() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	bytes := h.uncharged
	h.uncharged = 0
	if !h.active || h.ended {
		return nil
	}
	return h.charge.Grow(bytes)
}

// received records that bytes were read. They may be the end of the header and a part of the body.
func (h *headerReading) received(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active {
		h.uncharged += int64(bytes)
	}
}

// setActive begins or ends the reading of a header. The charge of one that was read ends when the next
// one begins.
func (h *headerReading) setActive(active bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active, h.uncharged = active, 0
	if active {
		h.charge.Release()
	}
}

// end ends the charge when the connection is closed.
func (h *headerReading) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.charge.Release()
}

// TrackHeader is a ConnState hook of http.Server for connections of a MemoryListener.
func TrackHeader(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.header.setActive(false)
	case http.StateIdle:
		conn.header.setActive(true)
	}
}

// checkHeader refuses a request whose header is longer than the configuration allows.
func checkHeader(r *http.Request, limits catalog.Limits) *refusal {
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		return denied(http.StatusRequestHeaderFieldsTooLarge, CauseHeaderTooLarge)
	}
	return nil
}

// headerBytes returns the length of a header as it is usually written.
func headerBytes(r *http.Request) int {
	const lineEnd, separators = len("\r\n"), len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  ") + lineEnd + len("Host") + len(r.Host) + separators + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}
