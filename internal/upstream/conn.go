package upstream

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"balsambarrow/internal/tcpreset"
)

// errSealed is the error of a write to a connection that was sealed before
// the request was written.
var errSealed = errors.New("upstream: connection sealed before the request was written")

// countingConn counts the bytes written to a connection and can be sealed
// against further writes. If it is closed during a request, it ends with a
// reset, so that no part of the abandoned request reaches the upstream later.
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
	// uses is the number of requests that have used the connection, and inUse is
	// set until the last of them has received its complete response.
	uses  int
	inUse bool
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.mu.Lock()
	inUse := c.inUse
	c.mu.Unlock()
	if !inUse {
		tcpreset.Disable(c.Conn)
	}
	return c.Conn.Close()
}

// beginUse records that a request uses the connection, and returns its number.
func (c *countingConn) beginUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	c.inUse = true
	return c.uses
}

// endUse records that a request has received its complete response. The transport may
// have passed the connection on to the next request in the meantime.
func (c *countingConn) endUse(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == number {
		c.inUse = false
	}
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
		tcpreset.Enable(conn)
		return &countingConn{Conn: tcpreset.NewConn(conn)}, nil
	}
}

// connUse is the use of a connection by one request.
type connUse struct {
	obtained    bool
	conn        *countingConn
	number      int
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
	u.conn, u.startOffset, u.number = counted, counted.written(), counted.beginUse()
}

// finish is called when the complete response was read.
func (u *connUse) finish() {
	if u.conn != nil {
		u.conn.endUse(u.number)
	}
}

// responseBody calls use.finish at the end of the body.
type responseBody struct {
	io.ReadCloser
	use *connUse
}

// Read implements io.Reader.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.use.finish()
	}
	return n, err
}

// sealIfUnsent reports whether no byte of the request was written, and in
// that case ensures that none will be.
func (u *connUse) sealIfUnsent() bool {
	if !u.obtained {
		return true
	}
	return u.conn != nil && u.conn.seal(u.startOffset)
}
