package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UplinkFault is how an Uplink is interrupted.
type UplinkFault string

// Faults of an Uplink.
const (
	// UplinkWorks: no fault.
	UplinkWorks UplinkFault = ""
	// UplinkSilent holds back everything on open and new connections.
	UplinkSilent UplinkFault = "silent"
	// UplinkReset resets open connections when they are used, and refuses new ones.
	UplinkReset UplinkFault = "reset"
	// UplinkRefusesNew refuses new connections. Open ones work.
	UplinkRefusesNew UplinkFault = "refuses-new"
)

// UplinkFaults are all faults of an Uplink.
var UplinkFaults = []UplinkFault{UplinkSilent, UplinkReset, UplinkRefusesNew}

const (
	// uplinkPoll is the interval at which blocked calls check the state of an Uplink.
	uplinkPoll = 5 * time.Millisecond
	// uplinkTimeout is how long a silent connection lasts once it has unacknowledged data, like
	// TCP_USER_TIMEOUT.
	uplinkTimeout = time.Second
	// uplinkDialTimeout bounds connection attempts during a silent fault.
	uplinkDialTimeout = 600 * time.Millisecond
)

// Uplink stands in for the network between one entry host and all upstreams. It is safe for
// concurrent use.
type Uplink struct {
	mu    sync.Mutex
	fault UplinkFault
	// dials counts the connection attempts.
	dials int
}

// SetFault starts a fault, or ends it if the fault is UplinkWorks.
func (u *Uplink) SetFault(f UplinkFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault = f
}

func (u *Uplink) current() UplinkFault {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fault
}

// Dials returns the number of connection attempts so far.
func (u *Uplink) Dials() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dials
}

// Follow sets the fault that a file names, whenever the content changes, until ctx ends.
func (u *Uplink) Follow(ctx context.Context, path string) {
	for ctx.Err() == nil {
		if text, err := os.ReadFile(path); err == nil {
			u.SetFault(UplinkFault(text))
		}
		time.Sleep(uplinkPoll)
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with dial through the uplink.
func (u *Uplink) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return u.dial(ctx, dial, network, address)
	}
}

func (u *Uplink) dial(ctx context.Context, dial DialFunc, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, uplinkDialTimeout)
	defer cancel()
	u.mu.Lock()
	u.dials++
	u.mu.Unlock()
	for u.current() == UplinkSilent {
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-time.After(uplinkPoll):
		}
	}
	if u.current() != UplinkWorks {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &uplinkConn{Conn: c, uplink: u}, nil
}

// uplinkConn is a connection through an Uplink. It treats what is written during a silent fault
// like the send buffer of the operating system: it delivers the bytes when the fault has ended,
// unless the connection has been reset by then or has timed out.
type uplinkConn struct {
	net.Conn
	uplink *Uplink

	mu       sync.Mutex
	deadline time.Time
	// pending is the number of writes that wait for the end of a fault, and closing is set if the
	// connection is to be closed after them.
	pending int
	closing bool
	// broken is the error of all calls once the connection has failed.
	broken error
}

// NetConn returns the underlying connection.
func (c *uplinkConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *uplinkConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// CloseWrite ends the stream to the upstream.
func (c *uplinkConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// SetDeadline implements net.Conn.
func (c *uplinkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

func (c *uplinkConn) pastDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && time.Now().After(c.deadline)
}

func (c *uplinkConn) brokenError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *uplinkConn) fail(err error) {
	c.mu.Lock()
	c.broken = err
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn. Bytes that arrive during a silent fault are lost.
func (c *uplinkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && c.uplink.current() == UplinkSilent {
		began := time.Now()
		for c.uplink.current() == UplinkSilent && time.Since(began) < uplinkTimeout && !c.pastDeadline() {
			time.Sleep(uplinkPoll)
		}
		c.fail(syscall.ETIMEDOUT)
	}
	if broken := c.brokenError(); broken != nil {
		return 0, broken
	}
	return n, err
}

// Write implements net.Conn.
func (c *uplinkConn) Write(b []byte) (int, error) {
	switch c.uplink.current() {
	case UplinkReset:
		c.fail(syscall.ECONNRESET)
		return len(b), nil
	case UplinkSilent:
		c.mu.Lock()
		c.pending++
		c.mu.Unlock()
		go c.deliverLater(append([]byte(nil), b...))
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// deliverLater writes bytes at the end of a silent fault.
func (c *uplinkConn) deliverLater(b []byte) {
	began := time.Now()
	for c.uplink.current() == UplinkSilent && time.Since(began) < uplinkTimeout {
		time.Sleep(uplinkPoll)
	}
	switch c.uplink.current() {
	case UplinkSilent:
		c.fail(syscall.ETIMEDOUT)
	case UplinkReset:
		c.fail(syscall.ECONNRESET)
	default:
		// It fails if the connection has been reset.
		_, _ = c.Conn.Write(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending--; c.pending == 0 && c.closing {
		_ = c.Conn.Close()
	}
}

// Close implements net.Conn. An orderly close waits for pending writes.
func (c *uplinkConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 && c.broken == nil && !c.resetsOnClose() {
		c.closing = true
		return nil
	}
	return c.Conn.Close()
}

// resetsOnClose reports whether the connection ends with a reset (SO_LINGER).
func (c *uplinkConn) resetsOnClose() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	linger := 0
	if err := raw.Control(func(fd uintptr) { linger, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) }); err != nil {
		return true
	}
	return linger != 0
}
