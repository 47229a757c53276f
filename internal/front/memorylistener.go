package front

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"balsambarrow/internal/memory"
	"balsambarrow/internal/tcpreset"
)

// SlowReaderError reports that a caller did not read its response. Waited is how long the caller
// was waited for.
type SlowReaderError struct{ Waited time.Duration }

func (e *SlowReaderError) Error() string {
	return "front: caller has not read its response for " + e.Waited.String()
}

// MemoryListener charges the connections of callers to a budget, and ends those whose callers do
// not read.
type MemoryListener struct {
	net.Listener
	Budget  *memory.Budget
	Observe func(MemoryEvent)
	// MakeRoom closes an idle connection, if there is one, and reports whether it did.
	MakeRoom func() bool
}

// Accept implements net.Listener. It closes connections that do not fit the budget: nothing of a
// request was read from them.
func (l *MemoryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if l.Budget.OpenConnection() == nil || l.MakeRoom() && l.Budget.OpenConnection() == nil {
			return newCallerConn(tcp, l), nil
		}
		l.Observe(EventConnectionRefused)
		_ = tcp.Close()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	listener *MemoryListener
	closing  sync.Once
	// stall is that of the caller as a reader. Only one write is made at a time.
	stall  memory.Stall
	header headerReading
}

func newCallerConn(c *net.TCPConn, l *MemoryListener) *callerConn {
	return &callerConn{TCPConn: c, listener: l, header: headerReading{active: true, charge: memory.Header{Budget: l.Budget}}}
}

// NetConn returns the underlying connection.
func (c *callerConn) NetConn() net.Conn { return c.TCPConn }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closing.Do(func() {
		c.listener.Budget.CloseConnection()
		c.header.end()
	})
	return c.TCPConn.Close()
}

// Read implements net.Conn. It returns a *net.OpError, upon which the server closes the connection
// without a response, if a header does not fit the budget: nothing of its request was handled.
func (c *callerConn) Read(b []byte) (int, error) {
	if full := c.header.admitMore(); full != nil {
		c.listener.Observe(EventHeaderRefused)
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: full}
	}
	n, err := c.TCPConn.Read(b)
	c.header.received(n)
	return n, err
}

// Write implements net.Conn. It returns a *SlowReaderError, and resets the connection, if the caller
// is slower than the pace of the budget.
func (c *callerConn) Write(b []byte) (int, error) {
	written := 0
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	for {
		// An error would also end the write.
		_ = c.SetWriteDeadline(time.Now().Add(memory.CheckInterval))
		n, err := c.TCPConn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if c.stall.Waited() > 0 {
				c.stall.Observe(0, int64(n), c.listener.Budget.Pace())
			}
			return written, err
		}
		if c.stall.Observe(memory.CheckInterval, int64(n), c.listener.Budget.Pace()) {
			c.listener.Observe(EventReaderStalled)
			tcpreset.Enable(c.TCPConn)
			_ = c.Close()
			return written, &SlowReaderError{c.stall.Waited()}
		}
	}
}
