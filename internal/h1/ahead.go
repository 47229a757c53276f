package h1

import (
	"context"
	"net"
	"time"
)

// aheadFor is how long a connection that was opened ahead is kept.
const aheadFor = 3 * time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PreconnectDialer has a connection to one address opened before it is asked for, so that the second
// call of a process that starts does not wait for it.
type PreconnectDialer struct {
	dial   DialFunc
	opened chan net.Conn
}

// Preconnect opens a connection to an address in the background. If nobody asks for it
// within aheadFor, it is closed.
func Preconnect(ctx context.Context, dial DialFunc, address string) *PreconnectDialer {
	a := &PreconnectDialer{dial: dial, opened: make(chan net.Conn, 1)}
	go func() {
		c, err := dial(ctx, "tcp", address)
		if err != nil {
			return
		}
		a.opened <- c
		time.AfterFunc(aheadFor, func() {
			select {
			case c := <-a.opened:
				_ = c.Close()
			default:
			}
		})
	}()
	return a
}

// Dial returns the connection that was opened ahead, or opens one.
func (a *PreconnectDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case c := <-a.opened:
		return c, nil
	default:
		return a.dial(ctx, network, address)
	}
}
