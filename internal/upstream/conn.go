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
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	pendingWrites int
	bytesWritten  int64
	sealed        bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.pendingWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.pendingWrites--
	c.bytesWritten += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *countingConn) writtenSoFar() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// seal stops further writes and reports true if none was made or begun since
// the count was mark.
func (c *countingConn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingWrites > 0 || c.bytesWritten != mark {
		return false
	}
	c.sealed = true
	return true
}

func countingDialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// connUse is one request's use of a connection.
type connUse struct {
	obtained    bool
	conn        *countingConn
	startOffset int64
}

// begin is called when the transport has chosen a connection.
func (u *connUse) begin(conn net.Conn) {
	u.obtained = true
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	counted, ok := conn.(*countingConn)
	if !ok {
		return
	}
	u.conn, u.startOffset = counted, counted.writtenSoFar()
}

// unsent tells whether no byte was written, and makes sure none will be.
func (u *connUse) sealIfUnsent() bool {
	if !u.obtained {
		return true
	}
	return u.conn != nil && u.conn.seal(u.startOffset)
}
