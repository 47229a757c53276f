package tcpreset

import "net"

const (
	// resetOnClose and orderlyClose are values of SO_LINGER, in seconds.
	resetOnClose = 0
	orderlyClose = -1
)

// Enable makes a connection end with a reset. It has no effect on connections other than TCP
// and TLS.
func Enable(c net.Conn) { setLinger(c, resetOnClose) }

// Disable makes a connection end with an orderly close.
func Disable(c net.Conn) { setLinger(c, orderlyClose) }

func setLinger(c net.Conn, seconds int) {
	for outer, ok := c.(interface{ NetConn() net.Conn }); ok; outer, ok = c.(interface{ NetConn() net.Conn }) {
		c = outer.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// The call fails only on a connection that has already ended.
		_ = tcp.SetLinger(seconds)
	}
}
