package standin

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// UplinkFault is how an Uplink is interrupted.
type UplinkFault string

// Faults of an Uplink.
const (
	// UplinkWorks: no fault.
	UplinkWorks UplinkFault = ""
	// UplinkSilent drops everything on open and new connections.
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

// uplinkConn is a connection through an Uplink.
type uplinkConn struct {
	net.Conn
	uplink *Uplink

	mu       sync.Mutex
	deadline time.Time
	// broken is the error of all reads once the connection has failed.
	broken error
}

// NetConn returns the underlying connection.
func (c *uplinkConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *uplinkConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

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

// awaitFailure blocks for as long as a silent fault blocks a call, and returns the error of the
// connection.
func (c *uplinkConn) awaitFailure() error {
	for began := time.Now(); c.uplink.current() == UplinkSilent && time.Since(began) < uplinkTimeout; time.Sleep(uplinkPoll) {
		if c.pastDeadline() {
			return os.ErrDeadlineExceeded
		}
	}
	if c.uplink.current() == UplinkReset {
		return syscall.ECONNRESET
	}
	return syscall.ETIMEDOUT
}

// Read implements net.Conn. Bytes that arrive during a silent fault are lost.
func (c *uplinkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	if err == nil && c.uplink.current() == UplinkSilent {
		return 0, c.awaitFailure()
	}
	return n, err
}

// Write implements net.Conn. Bytes that are written during a fault are accepted and lost, and
// the next read fails.
func (c *uplinkConn) Write(b []byte) (int, error) {
	if f := c.uplink.current(); f != UplinkSilent && f != UplinkReset {
		return c.Conn.Write(b)
	}
	go func() {
		err := c.awaitFailure()
		c.mu.Lock()
		c.broken = err
		c.mu.Unlock()
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}()
	return len(b), nil
}
