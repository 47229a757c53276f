package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Limits of the connections to other daemons.
const (
	// DialTimeout limits the time to establish one connection. It exceeds two
	// round trips between the farthest regions (110 ms each), and is much
	// shorter than the time after which a peer is no longer live.
	DialTimeout = time.Second
	// maxIdleConnsPerPeer is the number of idle connections kept per peer. A
	// drpc connection carries one call at a time.
	maxIdleConnsPerPeer = 2
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 30 * time.Second
)

// ErrUnreachable means that no connection to the peer could be established. The
// call had no effect.
var ErrUnreachable = errors.New("peer: unreachable")

// Dialer opens a network connection. Tests use it to isolate one daemon from
// another.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Conns establishes and reuses connections to other daemons. It is safe for
// concurrent use.
type Conns struct {
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	dial      Dialer
	tlsConfig func() *tls.Config
}

// NewConns returns a pool of connections that are established with dial, or
// with a net.Dialer if dial is nil. Unless tlsConfig is nil, they use TLS with
// the configuration that it returns when a connection is established.
func NewConns(dial Dialer, tlsConfig func() *tls.Config) *Conns {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	opts := drpcpool.Options{Expiration: idleConnTimeout, KeyCapacity: maxIdleConnsPerPeer}
	return &Conns{pool: drpcpool.New[string, drpcpool.Conn](opts), dial: dial, tlsConfig: tlsConfig}
}

// Conn returns a connection to the peers listener at address. The connection is
// established by the first call on it, which returns the error if that fails.
func (c *Conns) Conn(ctx context.Context, address string) drpc.Conn {
	return c.pool.Get(ctx, address, c.open)
}

func (c *Conns) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	tcpConn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if c.tlsConfig == nil {
		return drpcconn.New(tcpConn), nil
	}
	tlsConn := tls.Client(tcpConn, c.tlsConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return drpcconn.New(tlsConn), nil
}

// CloseIdle closes the idle connections. Later calls establish new ones.
func (c *Conns) CloseIdle() { _ = c.pool.Close() }

// Close closes all idle connections.
func (c *Conns) Close() error { return c.pool.Close() }
