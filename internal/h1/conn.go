package h1

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"balsambarrow/internal/tcpreset"
)

// readBuffer is large enough to read a header and a small body in one call.
const readBuffer = 8 << 10

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*tcpreset.Conn
	// address is that of the upstream, remote that of the peer of the connection.
	address, remote string

	// header is what br reads from.
	header *headerReader
	br     *bufio.Reader
	// reused is set if the connection was not opened for its current request, and requests is the number of requests that
	// it has carried.
	reused   bool
	requests int64
	// The connection may be reused until idleTimeout after idleSince. The upstream keeps
	// it open for longer; see idleTimeoutMargin.
	idleSince   time.Time
	idleTimeout time.Duration
	// roundTrip is the time that establishing the connection took, which is about
	// one round trip.
	roundTrip time.Duration
	// idleTime is how long the connection was idle before its current request.
	idleTime time.Duration
}

// newConn returns a connection that ends with a reset unless closeOrderly is called, so that
// no part of an abandoned request reaches the upstream later.
func newConn(raw net.Conn, address string) *conn {
	tcpreset.Enable(raw)
	c := tcpreset.NewConn(raw)
	header := &headerReader{conn: c}
	return &conn{Conn: c, address: address, remote: c.RemoteAddr().String(), header: header, br: bufio.NewReaderSize(header, readBuffer)}
}

// relayed reports whether the connection leads to the upstream through another host.
func (c *conn) relayed() bool { return c.remote != c.address }

// closeOrderly closes a connection whose requests have all been answered.
func (c *conn) closeOrderly() {
	tcpreset.Disable(c.Conn)
	_ = c.Close()
}

// noPendingInput reports whether nothing has arrived on an idle connection: neither
// a close by the upstream nor data that belongs to no request. A request sent on a
// closed connection would be lost, and stray data would be taken for its response.
func (c *conn) noPendingInput() bool { return c.br.Buffered() == 0 && peek(c.NetConn()) == inputNone }

// ClosedByPeer reports whether the peer has closed the connection. It detects only
// a close that has arrived and that no read has returned yet.
func ClosedByPeer(c net.Conn) bool { return peek(c) == inputClosed }

// HasPendingInput reports whether bytes have arrived on a connection that no read has returned yet.
func HasPendingInput(c net.Conn) bool { return peek(c) == inputData }

// HasPendingConnection reports whether a connection waits to be accepted. Closing the listener resets it.
func HasPendingConnection(l net.Listener) bool {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = rc.Control(func(fd uintptr) {
		// On an error, pending is not positive.
		pending, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && pending > 0
}

// pendingInput is what has arrived on a connection and was not read yet.
type pendingInput int

const (
	inputNone pendingInput = iota
	inputData
	inputClosed
)

// peek returns the pending input of a connection without consuming it. It returns
// inputNone if the connection does not support this, and inputClosed if the
// connection is broken.
func peek(c net.Conn) pendingInput {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return inputNone
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return inputClosed
	}
	input := inputClosed
	// RawConn.Read would block until a concurrent read ends: the HTTP server reads
	// from a caller's connection as long as its request is handled. Control does not
	// block.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			input = inputNone
		case err == nil && n > 0:
			input = inputData
		}
	})
	if err != nil {
		return inputClosed
	}
	return input
}
