package entryhost

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/clock"
)

// Guards against a host that runs out of file descriptors. A customer that sends far too much
// for ten seconds, each time on a new connection, leaves the connections of its refused
// requests open and idle. The host could then accept no callers and reach no upstream for the
// rest of the day, so connections that exceed the idle timeout must be closed.
func TestIdleCallerConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	c := newCallerConns()
	idle, idlePeer := net.Pipe()
	busy, busyPeer := net.Pipe()
	for _, conn := range []net.Conn{idle, busy} {
		c.track(conn, http.StateNew)
		c.track(conn, http.StateActive)
	}
	c.track(idle, http.StateIdle)
	g.Expect(c.count()).To(Equal(2))
	c.closeIdle(clock.Now().Add(time.Second), 2*time.Second)
	g.Expect(closed(idlePeer)).To(BeFalse(), "idle for less than the timeout")
	c.closeIdle(clock.Now().Add(3*time.Second), 2*time.Second)
	g.Expect(closed(idlePeer)).To(BeTrue())
	g.Expect(closed(busyPeer)).To(BeFalse(), "a request runs on it")
	c.track(idle, http.StateClosed)
	g.Expect(c.count()).To(Equal(1))
}

func closed(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		return true
	}
	_, err := c.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestNearDescriptorLimit(t *testing.T) {
	g := NewWithT(t)
	d := &Daemon{callerConns: newCallerConns()}
	d.settings.Store(&Settings{Capacity: Capacity{Descriptors: 4}})
	open := func() {
		c, _ := net.Pipe()
		d.callerConns.track(c, http.StateNew)
	}
	open()
	open()
	g.Expect(d.nearDescriptorLimit()).To(BeFalse())
	open()
	g.Expect(d.nearDescriptorLimit()).To(BeTrue())
	d.settings.Store(&Settings{})
	g.Expect(d.nearDescriptorLimit()).To(BeFalse(), "the limit is unknown")
}
