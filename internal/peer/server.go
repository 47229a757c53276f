package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits on what a peer may send.
const (
	// MaxMessageBytes is the maximum size of one message. A configuration value
	// of 1 MB with its list of changes fits. A larger message terminates the
	// connection.
	MaxMessageBytes = 4 << 20
	// serverIdleTimeout is the time without received data after which a
	// connection is closed. It is twice the time for which a client keeps an
	// idle connection.
	serverIdleTimeout = 2 * idleConnTimeout
)

// Serve handles calls of peers on a listener until ctx ends. The listener must
// be based on a Listener, which closes idle connections: Serve itself sets no
// timeout.
func Serve(ctx context.Context, handler drpc.Handler, l net.Listener) error {
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}}
	return drpcserver.NewWithOptions(handler, options).Serve(ctx, l)
}

// Listener closes connections on which no data arrives, and can close all of
// its connections. Without the timeout, a client that connects and sends
// nothing would occupy memory permanently. A Listener must be placed below TLS,
// so that the timeout also covers an unfinished handshake.
type Listener struct {
	net.Listener
	idleTimeout time.Duration

	mu    sync.Mutex
	conns map[*timeoutConn]struct{}
}

// NewListener wraps a listener for peers, with a timeout of serverIdleTimeout.
func NewListener(l net.Listener) *Listener { return newListenerWithTimeout(l, serverIdleTimeout) }

func newListenerWithTimeout(l net.Listener, idleTimeout time.Duration) *Listener {
	return &Listener{Listener: l, idleTimeout: idleTimeout, conns: map[*timeoutConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	tcpConn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &timeoutConn{Conn: tcpConn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// CloseConns closes every connection, so that peers establish new ones with the
// current certificates. A call in progress fails with an unknown outcome, as
// after any network failure.
func (l *Listener) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
	clear(l.conns)
}

// timeoutConn sets a deadline for every read and write.
type timeoutConn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *timeoutConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *timeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.listener.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
