package upstream

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is the error of a write to a connection that was sealed before
// the request was written.
var errSealed = errors.New("upstream: connection sealed before the request was written")

// countingConn counts the bytes written to a connection and can be sealed
// against further writes.
//
// It prevents a false not-run outcome: the transport can return an error
// while its write goroutine is about to write, so a request that is unwritten
// at that moment may still be written. The caller would receive not-run, and
// the upstream would run the request a moment later. Counting and sealing use
// one lock, so that after a seal with nothing written no byte of the request
// can be written.
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

func (c *countingConn) written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten
}

// seal prevents further writes and returns true, unless a write has been made
// or started since written returned offset.
func (c *countingConn) seal(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingWrites > 0 || c.bytesWritten != offset {
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

// connUse is the use of a connection by one request.
type connUse struct {
	obtained    bool
	conn        *countingConn
	startOffset int64
}

// start is called when the transport has chosen a connection.
func (u *connUse) start(conn net.Conn) {
	u.obtained = true
	if tlsConn, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tlsConn.NetConn()
	}
	counted, ok := conn.(*countingConn)
	if !ok {
		return
	}
	u.conn, u.startOffset = counted, counted.written()
}

// sealIfUnsent reports whether no byte of the request was written, and in
// that case ensures that none will be.
func (u *connUse) sealIfUnsent() bool {
	if !u.obtained {
		return true
	}
	return u.conn != nil && u.conn.seal(u.startOffset)
}
