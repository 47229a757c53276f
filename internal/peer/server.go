package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Bounds of what a peer may send.
const (
	// MaxMessage bounds one message: a configuration value of a megabyte with
	// its list of changes fits. A longer one ends the connection.
	MaxMessage = 4 << 20
	// silenceBound ends a connection on which nothing arrives: twice the time
	// for which the other side keeps an idle one.
	silenceBound = 2 * idleTime
)

// Serve answers peers' calls on a listener until ctx ends. Connections on
// which nothing arrives for silenceBound, a handshake included, are closed:
// otherwise whoever connects and stays silent holds memory for good.
func Serve(ctx context.Context, handler drpc.Handler, l net.Listener) error {
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
	}}
	return drpcserver.NewWithOptions(handler, options).Serve(ctx, l)
}

// Bounded wraps a listener so that silent connections are closed. It goes
// below TLS, so that an unfinished handshake counts as silence.
func Bounded(l net.Listener) net.Listener { return boundedListener{Listener: l, silence: silenceBound} }

type boundedListener struct {
	net.Listener
	silence time.Duration
}

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: conn, silence: l.silence}, nil
}

type boundedConn struct {
	net.Conn
	silence time.Duration
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
