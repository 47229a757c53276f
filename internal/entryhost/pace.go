package entryhost

import (
	"time"

	"balsambarrow/internal/follow"
)

// How often a host calls the store. Each call is paid for, and the store's rates
// grow more slowly than the fleet, so the hosts of a larger fleet call less
// often, between two bounds.
//
// Heartbeats of upstreams come all the time and each would end a watch, so
// watches are spaced. A watch also confirms the configuration, whose age is then
// at most the space and an answer's time; what is left of the bound on withdrawn
// keys is how long keyed requests go on when the store is lost. A draining
// upstream must be left within 2.5 s; until then it still serves.
const (
	storeWait    = 1500 * time.Millisecond
	storeShort   = 700 * time.Millisecond
	storeLong    = 1500 * time.Millisecond
	storePerHost = 25 * time.Millisecond
	// storeStandby is the space between looks of a host that takes no callers:
	// well below the 20 s that the store keeps history for.
	storeStandby = 8 * time.Second
)

func (d *Daemon) storePace() follow.Pace {
	if d.standby.Load() {
		return follow.Pace{Wait: storeWait, Every: storeStandby}
	}
	every := min(max(time.Duration(d.hosts.Load())*storePerHost, storeShort), storeLong)
	return follow.Pace{Wait: storeWait, Every: every}
}

// refresh has the store looked at now, and returns a channel that is closed when
// there is a new state.
func (d *Daemon) refresh() <-chan struct{} {
	news := d.fresh.next()
	d.lookNow()
	return news
}

// lookNow has the store looked at without waiting for the next turn.
func (d *Daemon) lookNow() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}
