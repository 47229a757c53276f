package daemon_test

import (
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/wire"
)

// linkPause buffers the data written from one host to another, as if the receiver
// were suspended: its kernel accepts the data, and the process reads the data when
// it resumes, even if the sender has closed the connection meanwhile.
type linkPause struct {
	mu     sync.Mutex
	link   [2]string
	paused bool
	conns  []*pausedConn
}

func (p *linkPause) wrap(link [2]string, conn net.Conn) net.Conn {
	if link != p.link {
		return conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &pausedConn{Conn: conn, pause: p}
	p.conns = append(p.conns, c)
	return c
}

func (p *linkPause) setPaused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = on
	for _, c := range p.conns {
		if !on {
			c.flush()
		}
	}
}

type pausedConn struct {
	net.Conn
	pause   *linkPause
	pending []byte
	closed  bool
}

func (c *pausedConn) Write(b []byte) (int, error) {
	c.pause.mu.Lock()
	defer c.pause.mu.Unlock()
	if !c.pause.paused {
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	return len(b), nil
}

func (c *pausedConn) Close() error {
	c.pause.mu.Lock()
	defer c.pause.mu.Unlock()
	c.closed = true
	if c.pause.paused && len(c.pending) > 0 {
		return nil
	}
	return c.Conn.Close()
}

// flush sends the buffered data. The caller holds the lock of the linkPause.
func (c *pausedConn) flush() {
	if len(c.pending) > 0 {
		_, _ = c.Conn.Write(c.pending)
		c.pending = nil
	}
	if c.closed {
		_ = c.Conn.Close()
	}
}

// Guards against running a posting twice after its owner was suspended. The owner is
// suspended when a posting has just been sent to it, and at the deadline the caller
// gets the outcome may-have-run. The owner resumes and runs the posting from its
// socket buffer, after all deadlines. A retry must get that response, and the posting
// must run once.
func TestPausedOwnerRunsThePostingOnce(t *testing.T) {
	g := NewWithT(t)
	p := &linkPause{link: [2]string{"vt-1", "me-1"}}
	f, u := startFaultyUpstreamFleetWrapped(t, p.wrap)
	form := requestForms[5] // sent to vt-1, owned by me-1
	shortTimeout := map[string]string{wire.HeaderTimeoutMs: "400"}
	p.setPaused(true)
	r := f.send(form, "fine", "late", shortTimeout)
	g.Expect(r.Problem.Type).To(Equal(wire.TypeDeadline))
	g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun))
	g.Expect(u.runCount("late")).To(BeZero())

	p.setPaused(false)
	g.Eventually(func() int { return u.runCount("late") }, settleTimeout).Should(Equal(1))
	g.Eventually(func() wire.Outcome {
		return f.call("me-1", http.MethodPost, "posting/fine", "secret", map[string]string{
			standin.HeaderPosting: "late", wire.HeaderIdempotencyKey: f.postingID("me-1", "late"),
		}).Outcome
	}, settleTimeout).Should(Equal(wire.OutcomeRan))
	g.Expect(u.runCount("late")).To(Equal(1))
}
