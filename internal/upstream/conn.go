package upstream

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed says that a connection was given up before the request was
// written.
var errSealed = errors.New("upstream: connection given up")

// countedConn counts what is written on a connection, and can be sealed.
//
// The failure it guards against: the transport returns an error while its
// write goroutine is about to write, so "nothing was written yet" does not
// mean that nothing will be. The caller would read not-run, and the upstream
// would run the request a moment later. Sealing and counting happen under one
// lock, so after a seal that found nothing written nothing can be.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	pending int
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pending++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.pending--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops further writes and reports true if none was made or begun since
// the count was mark.
func (c *countedConn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

func countedDialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// connUse is one request's use of a connection.
type connUse struct {
	got  bool
	conn *countedConn
	mark int64
}

// begin is called when the transport has chosen a connection.
func (u *connUse) begin(conn net.Conn) {
	u.got = true
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	counted, ok := conn.(*countedConn)
	if !ok {
		return
	}
	u.conn, u.mark = counted, counted.count()
}

// unsent tells whether no byte was written, and makes sure none will be.
func (u *connUse) unsent() bool {
	if !u.got {
		return true
	}
	return u.conn != nil && u.conn.seal(u.mark)
}
