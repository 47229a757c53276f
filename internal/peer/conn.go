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

// Bounds of the connections to other daemons.
const (
	// DialTimeout bounds the making of one connection: above two round trips
	// between the farthest regions (110 ms each), far below the time after
	// which a peer counts as gone.
	DialTimeout = time.Second
	// idleConns is how many idle connections are kept per peer. drpc carries
	// one call at a time on a connection.
	idleConns = 2
	idleTime  = 30 * time.Second
)

// ErrUnreachable says that no connection to the peer could be made; the call
// had no effect.
var ErrUnreachable = errors.New("peer: unreachable")

// Dialer opens a connection; tests use it to cut one daemon off another.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Conns opens and reuses connections to other daemons. It is safe for
// concurrent use.
type Conns struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	dial Dialer
	tls  func() *tls.Config
}

// NewConns returns connections made with dial (nil: net.Dialer) and, unless
// conf is nil, protected by TLS with what conf returns when one is made.
func NewConns(dial Dialer, conf func() *tls.Config) *Conns {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	opts := drpcpool.Options{Expiration: idleTime, KeyCapacity: idleConns}
	return &Conns{pool: drpcpool.New[string, drpcpool.Conn](opts), dial: dial, tls: conf}
}

// Conn returns a connection to the peers listener at address. It is made at the
// first call; a failure to make it is reported by that call.
func (c *Conns) Conn(ctx context.Context, address string) drpc.Conn {
	return c.pool.Get(ctx, address, c.open)
}

func (c *Conns) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if c.tls == nil {
		return drpcconn.New(raw), nil
	}
	secured := tls.Client(raw, c.tls())
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return drpcconn.New(secured), nil
}

// CloseIdle closes the idle connections; new ones take their place.
func (c *Conns) CloseIdle() { _ = c.pool.Close() }

// Close closes all idle connections.
func (c *Conns) Close() error { return c.pool.Close() }
