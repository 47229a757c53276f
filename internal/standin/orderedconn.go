package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

// FailureOrder is which call on a connection is the first to meet its failure, such as a reset by the peer. The kernel
// reports a failure to that call only.
type FailureOrder string

// Orders of calls.
const (
	ReadFirst  FailureOrder = "read first"
	WriteFirst FailureOrder = "write first"
	// WriteReturnsLate means that a write is first, and returns after the read.
	WriteReturnsLate FailureOrder = "write first, returns late"
)

// FailureOrders are all orders.
var FailureOrders = []FailureOrder{ReadFirst, WriteFirst, WriteReturnsLate}

// lateReturn is how long a late write takes to return.
const lateReturn = 20 * time.Millisecond

// orderedConn is a connection on which calls meet a failure in a given order. The first read and the first two writes do
// not wait.
type orderedConn struct {
	*net.TCPConn
	order FailureOrder
	// readFailed and writeFailed are closed when a read or a write has returned an error.
	readFailed, writeFailed func()
	afterRead, afterWrite   <-chan struct{}
	reads, writes           int
}

// OrderedDialer returns a function that opens connections with dial, on which calls meet a failure in a given order. dial has to
// return a *net.TCPConn.
func OrderedDialer(dial func(ctx context.Context, network, address string) (net.Conn, error), order FailureOrder) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		afterRead, afterWrite := make(chan struct{}), make(chan struct{})
		return &orderedConn{
			TCPConn: raw.(*net.TCPConn), order: order, afterRead: afterRead, afterWrite: afterWrite,
			readFailed: sync.OnceFunc(func() { close(afterRead) }), writeFailed: sync.OnceFunc(func() { close(afterWrite) }),
		}, nil
	}
}

// NetConn returns the connection that c uses.
func (c *orderedConn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn.
func (c *orderedConn) Read(b []byte) (int, error) {
	c.reads++
	if c.order != ReadFirst && c.reads > 1 {
		<-c.afterWrite
	}
	n, err := c.TCPConn.Read(b)
	if err != nil {
		c.readFailed()
	}
	return n, err
}

// Write implements net.Conn.
func (c *orderedConn) Write(b []byte) (int, error) {
	c.writes++
	if c.order == ReadFirst && c.writes > 2 {
		<-c.afterRead
	}
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.writeFailed()
		if c.order == WriteReturnsLate {
			time.Sleep(lateReturn)
		}
	}
	return n, err
}
