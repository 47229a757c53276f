package entryhost

import (
	"time"

	"balsambarrow/internal/follow"
)

// How often a host looks at the store. A change ends a watch at once; changes come
// in crowds, so watches are spaced. One that ends without a change confirms what
// is known: its age is at most the wait, the space and an answer's time, and what
// is left of the bound on withdrawn keys is how long keyed requests go on when the
// store is lost. A draining upstream must be left within 2.5 s.
const (
	// storeWait is how long a watch waits for a change. Together with storeWatch it
	// stays below lookAfter, from which other hosts look for themselves.
	storeWait = 700 * time.Millisecond
	// storeWatch is the space between looks of the host that watches for its
	// region.
	storeWatch = 700 * time.Millisecond
	// storeTurnedAway is the longest pause between calls of a host that the store
	// turns away, while it stands by or a peer confirms what it knows: each is paid for,
	// and the registration, which lapses meanwhile, is made by calls of its own.
	storeTurnedAway = 2 * time.Second
	// storeOwn is the least space between looks of the others. What has changed
	// is then known after two seconds at most: a look of the watcher, its word,
	// and this.
	storeOwn = 1200 * time.Millisecond
	// storeSeldom is the space of the others, whose knowledge the watcher confirms.
	// A look after the store has forgotten the history since costs one listing.
	storeSeldom = 5 * time.Minute
)

func (d *Daemon) storePace() follow.Timing {
	if d.watches.Load() {
		return follow.Timing{WatchTimeout: storeWait, Interval: storeWatch, MinInterval: storeWatch}
	}
	pace := follow.Timing{WatchTimeout: storeWait, Interval: storeSeldom, MinInterval: storeOwn}
	state := d.state.Load()
	if state.Standby || d.now().Sub(state.ConfirmedAt) < lookAfter {
		pace.MaxBackoff = storeTurnedAway
	}
	return pace
}

// refresh has what is known confirmed now, and returns a channel that is closed when
// there is a new state.
func (d *Daemon) refresh() <-chan struct{} {
	news := d.fresh.next()
	d.control.send(func(c *control) { c.refresh(c.d.now()) })
	return news
}

// lookNow has the store looked at without waiting for the next turn.
func (d *Daemon) lookNow(cause string) {
	select {
	case d.hurry <- struct{}{}:
		d.events.Info("store look", "cause", cause)
	default:
	}
}
