package h1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP timeouts for unresponsive peers. A host that has lost power or is separated
// by a network partition sends nothing, not even a reset, and a request on an open
// connection to it would hang until the caller's time limit.
const (
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may remain
	// unacknowledged. Two consecutive packet losses are retransmitted within 0.6 s
	// (0.2 s + 0.4 s); a third consecutive loss is rarer than a dead host.
	userTimeout = 1000 * time.Millisecond
	// The keep-alive probes detect an unresponsive peer on a connection without
	// outgoing data within about two seconds.
	keepAliveIdle     = 1000 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
)

// Dialer returns a function that opens TCP connections which detect unresponsive
// peers.
func Dialer(timeout time.Duration) DialFunc {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw)
		},
	}
	return d.DialContext
}

// Listener returns a listener configuration with which accepted connections detect
// unresponsive peers.
func Listener() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveProbes},
	}
}

func setUserTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
