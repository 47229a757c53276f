package entryhost

import "time"

// What a host that has just started does with callers that come before it knows who
// takes them.
//
// Load pattern: all hosts start again at the same moment, and all callers come at once.
// Each host knows within some tenths of a second who takes callers. An answer in the
// meantime sends callers to hosts that refuse them, and many callers try only once more.

// startGrace bounds how long a caller waits for a host that has just started: the
// calls to the store at its start, from the farthest region, beside those of all others.
const startGrace = time.Second

// starting is what is left of startingFor; 0 or less: nothing.
func (d *Daemon) starting() time.Duration { return d.startingFor - d.now().Sub(d.startedAt) }

// awaitPool waits, right after the start, until some host takes callers, and returns
// the hosts that hold customers' buckets.
func (d *Daemon) awaitPool() *pool {
	d.awaitStarted(func() bool { return len(d.pool.Load().instances) > 0 })
	return d.pool.Load()
}

// awaitDirectory waits, right after the start, until some host takes callers, and
// returns the directory.
func (d *Daemon) awaitDirectory() *directory {
	d.awaitStarted(func() bool { return d.directory.Load().anyReady() })
	return d.directory.Load()
}

// awaitStarted waits until a condition holds that has never held since the start, but
// not beyond startingFor after the start.
func (d *Daemon) awaitStarted(holds func() bool) {
	left := d.starting()
	if left <= 0 {
		return
	}
	timeout := time.NewTimer(left)
	defer timeout.Stop()
	for {
		news := d.newHosts.next()
		if holds() {
			return
		}
		select {
		case <-news:
		case <-timeout.C:
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// anyReady tells whether some host takes callers.
func (d *directory) anyReady() bool {
	if d.ready {
		return true
	}
	for _, m := range d.others {
		if m.Ready {
			return true
		}
	}
	return false
}
