package h1

import (
	"context"
	"net"
	"time"
)

// preconnectTTL is how long an unused preconnected connection stays open.
const preconnectTTL = 3 * time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PreconnectDialer dials one address and uses a connection that was opened in
// advance for the first call of Dial.
type PreconnectDialer struct {
	dial DialFunc
	// opened holds the preconnected connection until it is used or closed.
	opened chan net.Conn
}

// Preconnect opens a connection to an address in the background, so that the second
// call of a starting process need not wait until a connection is established. If
// the connection is not used within preconnectTTL, it is closed.
func Preconnect(ctx context.Context, dial DialFunc, address string) *PreconnectDialer {
	d := &PreconnectDialer{dial: dial, opened: make(chan net.Conn, 1)}
	go func() {
		c, err := dial(ctx, "tcp", address)
		if err != nil {
			return
		}
		d.opened <- c
		time.AfterFunc(preconnectTTL, func() {
			select {
			case c := <-d.opened:
				_ = c.Close()
			default:
			}
		})
	}()
	return d
}

// Dial returns the preconnected connection if it is available, and opens a new
// connection otherwise.
func (d *PreconnectDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case c := <-d.opened:
		return c, nil
	default:
		return d.dial(ctx, network, address)
	}
}
