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

// pause holds back what one side writes to another, as if the receiver were
// paused: its system takes the bytes, and it reads them when it goes on, even
// if the sender has closed meanwhile.
type pause struct {
	mu    sync.Mutex
	link  [2]string
	on    bool
	conns []*pausedConn
}

func (p *pause) wrap(link [2]string, conn net.Conn) net.Conn {
	if link != p.link {
		return conn
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &pausedConn{Conn: conn, pause: p}
	p.conns = append(p.conns, c)
	return c
}

func (p *pause) set(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.on = on
	for _, c := range p.conns {
		if !on {
			c.release()
		}
	}
}

type pausedConn struct {
	net.Conn
	pause  *pause
	held   []byte
	closed bool
}

func (c *pausedConn) Write(b []byte) (int, error) {
	c.pause.mu.Lock()
	defer c.pause.mu.Unlock()
	if !c.pause.on {
		return c.Conn.Write(b)
	}
	c.held = append(c.held, b...)
	return len(b), nil
}

func (c *pausedConn) Close() error {
	c.pause.mu.Lock()
	defer c.pause.mu.Unlock()
	c.closed = true
	if c.pause.on && len(c.held) > 0 {
		return nil
	}
	return c.Conn.Close()
}

// release is called under the pause's lock.
func (c *pausedConn) release() {
	if len(c.held) > 0 {
		_, _ = c.Conn.Write(c.held)
		c.held = nil
	}
	if c.closed {
		_ = c.Conn.Close()
	}
}

// The host that an id names is paused when a farmer's posting has just been
// sent to it. The farmer is told at the deadline that it may have run. The
// host goes on and runs what it finds in its socket, long after everybody has
// given up; who asks again gets that answer, and nothing runs twice.
func TestPausedOwnerRunsLateAndOnce(t *testing.T) {
	g := NewWithT(t)
	p := &pause{link: [2]string{"vt-1", "me-1"}}
	f, u := edgeFleetOn(t, p.wrap)
	w := ways[5] // enters at vt-1, names me-1
	soon := map[string]string{wire.HeaderTimeoutMs: "400"}
	p.set(true)
	r := f.send(w, "fine", "late", soon)
	g.Expect(r.Problem.Type).To(Equal(wire.TypeDeadline))
	g.Expect(r.Outcome).To(Equal(wire.OutcomeMayHaveRun))
	g.Expect(u.ran("late")).To(BeZero())

	p.set(false)
	g.Eventually(func() int { return u.ran("late") }, settle).Should(Equal(1))
	g.Eventually(func() wire.Outcome {
		return f.call("me-1", http.MethodPost, "posting/fine", "secret", map[string]string{
			standin.HeaderPosting: "late", wire.HeaderIdempotencyKey: f.id("me-1", "late"),
		}).Outcome
	}, settle).Should(Equal(wire.OutcomeRan))
	g.Expect(u.ran("late")).To(Equal(1))
}
