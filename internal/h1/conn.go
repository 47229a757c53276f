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
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, br: bufio.NewReaderSize(c, readBuffer)}
}

// silent tells whether nothing has arrived on an idle connection: neither the
// upstream's close nor bytes that belong to no request. A request sent on a
// closed connection would be lost, and the stray bytes would be taken for its
// answer.
func (c *conn) silent() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
