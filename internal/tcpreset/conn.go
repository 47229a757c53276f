package tcpreset

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose Read returns io.EOF only at the end of the peer's stream.
//
// The kernel reports the failure of a TCP connection, such as a reset, to one call only. If that call is a Write,
// a Read that follows it returns io.EOF, as it does at the end of a stream.
type Conn struct {
	net.Conn
	// writing is held by a Write until it has recorded its error.
	writing sync.Mutex
	// failure is the first error that the kernel has reported; nil: none.
	failure atomic.Pointer[error]
}

// NewConn returns a Conn that uses c. All calls on the connection have to go through the Conn. On connections other than
// TCP, it changes nothing.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection that c uses.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the stream to the peer.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.record(err)
	if errors.Is(err, io.EOF) {
		if failure := c.Failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.record(err)
	return n, err
}

// Failure returns the error with which the connection has failed; nil if it has not, or not before the peer's stream had
// ended. Bytes that arrived before the failure can still be read.
func (c *Conn) Failure() error {
	if pending, closed := c.pendingError(); closed {
		// A Write that has met the failure may not have recorded it yet. On a closed connection it returns at once.
		c.writing.Lock()
		defer c.writing.Unlock()
		c.record(pending)
	}
	if failure := c.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// record keeps the first error of the connection itself. After the end of the peer's stream, the kernel reports a reset as
// EPIPE.
func (c *Conn) record(err error) {
	if err == nil {
		return
	}
	var errno syscall.Errno
	if failure := err; errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure.CompareAndSwap(nil, &failure)
	}
}

// pendingError reports whether the kernel has closed the connection, and takes the error that no call has met yet.
func (c *Conn) pendingError() (pending error, closed bool) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		if closed = infoErr == nil && info.State == unix.BPF_TCP_CLOSE; !closed {
			return
		}
		if errno, optErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); optErr == nil && errno != 0 {
			pending = syscall.Errno(errno)
		}
	})
	return pending, closed && err == nil
}
