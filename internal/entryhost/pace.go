package entryhost

import (
	"time"

	"balsambarrow/internal/follow"
)

// How often a host calls the store. Each call is paid for, and the store's rates
// grow more slowly than the fleet, so the hosts of a larger fleet call less
// often, between two bounds.
const (
	// A watch of the declarations confirms what is in force. How long it waits
	// is how old that may be; what is left of the bound on withdrawn keys is how
	// long keyed requests go on when the store is lost. With 2.5 s in place of
	// 1 s, ten hosts save 24 calls a second over all and refuse keyed requests
	// 1.5 s sooner.
	declaredShort   = time.Second
	declaredLong    = 2500 * time.Millisecond
	declaredPerHost = 40 * time.Millisecond
	// Heartbeats of upstreams come all the time and each would end a watch, so
	// watches are spaced. A draining upstream must be left within 2.5 s; until
	// then it still serves.
	upstreamsWait    = 5 * time.Second
	upstreamsShort   = 700 * time.Millisecond
	upstreamsLong    = 1500 * time.Millisecond
	upstreamsPerHost = 25 * time.Millisecond
)

func (d *Daemon) declaredPace() follow.Pace {
	return follow.Pace{Wait: d.scaled(declaredPerHost, declaredShort, declaredLong)}
}

func (d *Daemon) upstreamsPace() follow.Pace {
	return follow.Pace{Wait: upstreamsWait, Every: d.scaled(upstreamsPerHost, upstreamsShort, upstreamsLong)}
}

// scaled is a time that grows with the number of hosts, between two bounds.
func (d *Daemon) scaled(perHost, short, long time.Duration) time.Duration {
	return min(max(time.Duration(d.hosts.Load())*perHost, short), long)
}
