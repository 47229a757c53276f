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

// Bounds of what a peer may send.
const (
	// MaxMessageBytes bounds one message: a configuration value of a megabyte with
	// its list of changes fits. A longer one ends the connection.
	MaxMessageBytes = 4 << 20
	// silenceBound ends a connection on which nothing arrives: twice the time
	// for which the other side keeps an idle one.
	silenceBound = 2 * idleTime
)

// Serve answers peers' calls on a listener until ctx ends. Connections on
// which nothing arrives for silenceBound, a handshake included, are closed:
// otherwise whoever connects and stays silent holds memory for good.
func Serve(ctx context.Context, handler drpc.Handler, l net.Listener) error {
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}}
	return drpcserver.NewWithOptions(handler, options).Serve(ctx, l)
}

// Listener closes connections on which nothing arrives, and can close all. It
// goes below TLS, so that an unfinished handshake counts as silence.
type Listener struct {
	net.Listener
	silence time.Duration

	mu   sync.Mutex
	open map[*boundedConn]struct{}
}

// NewListener wraps a listener for peers.
func NewListener(l net.Listener) *Listener { return newListenerWithTimeout(l, silenceBound) }

func newListenerWithTimeout(l net.Listener, silence time.Duration) *Listener {
	return &Listener{Listener: l, silence: silence, open: map[*boundedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &boundedConn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
	return conn, nil
}

// CloseConns closes every connection: peers make new ones, by the certificates
// in force now. A call that is cut off counts as lost, as on any network.
func (l *Listener) CloseConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.Conn.Close()
	}
	clear(l.open)
}

type boundedConn struct {
	net.Conn
	listener *Listener
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.listener.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
