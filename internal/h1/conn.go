package h1

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer holds a header and a small answer in one read.
const readBuffer = 8 << 10

// conn is one connection to an upstream; it carries one request at a time.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// kept says that a request was answered on it before.
	kept bool
	// idleSince and keepFor say until when the upstream keeps it.
	idleSince time.Time
	keepFor   time.Duration
	// roundTrip is how long it took to be made: the way there and back.
	roundTrip time.Duration
	// rested is how long it was idle before the request that it carries.
	rested time.Duration
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, br: bufio.NewReaderSize(c, readBuffer)}
}

// silent tells whether nothing has arrived on an idle connection: neither the
// upstream's close nor bytes that belong to no request. A request sent on a
// closed connection would be lost, and the stray bytes would be taken for its
// answer.
func (c *conn) silent() bool { return c.br.Buffered() == 0 && peek(c.Conn) == nothingCame }

// ClosedByPeer tells whether the other side has closed a connection, as far as that has
// arrived and nobody has read it yet.
func ClosedByPeer(c net.Conn) bool { return peek(c) == closeCame }

// arrival is what has arrived on a connection and is not read yet.
type arrival int

const (
	nothingCame arrival = iota
	bytesCame
	closeCame
)

// peek looks at a connection without reading from it. One that cannot be looked
// at counts as quiet, and one that is broken as closed.
func peek(c net.Conn) arrival {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return nothingCame
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return closeCame
	}
	came := closeCame
	// Control and not Read, which waits for whoever is reading: a server reads from
	// a caller's connection all the while that its request is handled.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			came = nothingCame
		case err == nil && n > 0:
			came = bytesCame
		}
	})
	if err != nil {
		return closeCame
	}
	return came
}
