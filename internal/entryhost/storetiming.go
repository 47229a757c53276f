package entryhost

import (
	"time"

	"balsambarrow/internal/follow"
)

// How often a host reads the store.
//
// A change ends a watch at once, and changes come in bursts, so there is a minimum interval
// between watches. A watch that ends without a change confirms the state. The age of the
// confirmed state is therefore at most the watch timeout plus the interval plus the response
// time of the store. The rest of the bound on withdrawn API keys is how long requests with a
// key are still served after the store is lost. A draining upstream must get no new requests
// after 2.5 s.
const (
	// storeWatchTimeout is how long a watch waits for a change. Together with
	// watcherReadInterval it stays below readStoreAge, from which other hosts read the store
	// themselves.
	storeWatchTimeout = 700 * time.Millisecond
	// watcherReadInterval is the interval between reads of the host that watches the store for
	// its region.
	watcherReadInterval = 700 * time.Millisecond
	// maxRejectedBackoff is the longest pause between calls of a host that the store rejects,
	// while the host is a standby or a peer confirms its state. Each call costs money, and the
	// registration, which expires meanwhile, is renewed by separate calls.
	maxRejectedBackoff = 2 * time.Second
	// minReadInterval is the least interval between reads of the other hosts. They then know a
	// change after at most two seconds: a read by the watcher, its heartbeat, and this
	// interval.
	minReadInterval = 1200 * time.Millisecond
	// confirmedReadInterval is the interval between reads of the other hosts while the watcher
	// confirms their state. A read whose start revision the store has already compacted costs
	// one listing.
	confirmedReadInterval = 5 * time.Minute
)

func (d *Daemon) storeTiming() follow.Timing {
	if d.watches.Load() {
		return follow.Timing{WatchTimeout: storeWatchTimeout, Interval: watcherReadInterval, MinInterval: watcherReadInterval}
	}
	timing := follow.Timing{WatchTimeout: storeWatchTimeout, Interval: confirmedReadInterval, MinInterval: minReadInterval}
	state := d.state.Load()
	if state.Standby || d.now().Sub(state.ConfirmedAt) < readStoreAge {
		timing.MaxBackoff = maxRejectedBackoff
	}
	return timing
}

// refresh requests a confirmation of the state now.
func (d *Daemon) refresh() { d.control.send(func(c *control) { c.refresh(c.d.now()) }) }

// readStoreNow triggers a read of the store without waiting for the next regular one.
func (d *Daemon) readStoreNow(cause string) {
	select {
	case d.wakeReader <- struct{}{}:
		d.events.Info("store look", "cause", cause)
	default:
	}
}
