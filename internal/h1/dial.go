package h1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection whose other side has gone silent. A host without
// power or behind a partition answers nothing, and an open connection to it
// would hang until the caller's time is up.
const (
	// unackedFor is how long sent bytes may stay unacknowledged. Two lost
	// packets in a row are sent again within 0.6 s (0.2 s + 0.4 s); a third
	// loss in a row is rarer than a dead host.
	unackedFor = 1000 * time.Millisecond
	// probeAfter and probeEvery find a silent connection on which nothing is
	// being sent within about two seconds.
	probeAfter = 1000 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	probes     = 3
)

// Dialer opens TCP connections that notice a silent other side.
func Dialer(timeout time.Duration) DialFunc {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return boundUnacked(raw)
		},
	}
	return d.DialContext
}

// Listener makes accepted connections notice a silent other side.
func Listener() *net.ListenConfig {
	return &net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * probeAfter, Interval: probeAfter, Count: probes},
	}
}

func boundUnacked(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
