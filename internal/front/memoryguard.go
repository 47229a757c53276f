package front

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/memory"
)

// discardTime is how long the rest of the body of a request that has been answered is still read.
// Callers that send without reading see the response only if the connection is not reset meanwhile.
const discardTime = 300 * time.Millisecond

// minCheckInterval is the least time between two checks of a caller.
const minCheckInterval = 50 * time.Millisecond

// bodyGuard ends the reading of a body whose caller is slower than the pace that the budget
// demands, or needs longer than the time limit of the request. A nil bodyGuard does nothing.
type bodyGuard struct {
	h    *Handler
	q    *request
	conn net.Conn
	body io.Reader
	// reading is set while the body is waited for, and received counts its bytes since the last
	// check.
	reading  atomic.Bool
	received atomic.Int64
	// complete is set once the end of the body was read.
	complete atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	checked time.Time
	stall   memory.Stall
	// streaming is set once the body is forwarded as it arrives: the time limit of the request then
	// ends the attempt.
	streaming bool
	stopped   bool
	ended     bool
}

// guardBody returns a reader of the body of a request that watches the caller.
func (h *Handler) guardBody(q *request) io.Reader {
	conn, ok := q.http.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return q.http.Body
	}
	g := &bodyGuard{h: h, q: q, conn: conn, body: q.http.Body}
	q.body.guard = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checked = h.Now()
	g.timer = time.AfterFunc(g.nextCheck(g.checked), g.check)
	return g
}

// Read implements io.Reader.
func (g *bodyGuard) Read(b []byte) (int, error) {
	g.reading.Store(true)
	n, err := g.body.Read(b)
	g.reading.Store(false)
	g.received.Add(int64(n))
	if errors.Is(err, io.EOF) {
		g.complete.Store(true)
		g.stop()
	}
	return n, err
}

// nextCheck returns the time until the next check.
func (g *bodyGuard) nextCheck(now time.Time) time.Duration {
	if g.streaming {
		return memory.CheckInterval
	}
	return min(memory.CheckInterval, max(g.q.timeLimit.Sub(now), minCheckInterval))
}

// check ends the reading if the caller has stalled. A body of which bytes wait in the kernel does
// not wait for the caller: the process itself was slow.
func (g *bodyGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	now, waited := g.h.Now(), time.Duration(0)
	if g.reading.Load() && !h1.HasPendingInput(g.conn) {
		waited = now.Sub(g.checked)
	}
	g.checked = now
	pace := g.h.Memory.Pace()
	received := g.received.Swap(0)
	late := !g.streaming && waited > 0 && !now.Before(g.q.timeLimit)
	if !g.stall.Observe(waited, received, pace) && !late {
		g.timer.Reset(g.nextCheck(now))
		return
	}
	g.stopped, g.ended = true, true
	g.h.observeMemory(EventBodyStalled)
	g.h.Log.Info("body stalled", "id", g.q.ID, "length", g.q.http.ContentLength, "waited", g.stall.Waited(), "late", late,
		"streaming", g.streaming, "window", pace.Window, "window_bytes", pace.Bytes)
	_ = g.conn.SetReadDeadline(time.Unix(1, 0))
}

// startStreaming tells the guard that the rest of the body is forwarded as it arrives.
func (g *bodyGuard) startStreaming() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streaming = true
}

// stop ends the watch. Afterwards the guard does not touch the connection.
func (g *bodyGuard) stop() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// stalled reports whether the guard has ended the reading.
func (g *bodyGuard) stalled() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}
