package entryhost

import "time"

// How a host that has just started handles callers before it knows the active hosts.
//
// If all hosts start again at the same moment, all callers arrive at once. Each host knows the
// active hosts within some tenths of a second. A response before that would direct callers to
// hosts that refuse them, and many callers retry only once, so the callers wait instead.

// defaultStartupWait bounds how long a caller waits for a host that has just started. It covers
// the store calls at the start, from the farthest region and concurrent with those of all other
// hosts.
const startGrace = time.Second

// remainingStartupWait returns how long callers may still wait; 0 or less means that they do
// not wait.
func (d *Daemon) starting() time.Duration { return d.startingFor - d.now().Sub(d.startedAt) }

// awaitBucketHosts waits, right after the start, until some host is active, and returns the
// hosts that hold customers' buckets.
func (d *Daemon) awaitPool() *pool {
	d.awaitStarted(func() bool { return len(d.pool.Load().instances) > 0 })
	return d.pool.Load()
}

// awaitDirectory waits, right after the start, until some host is active, and returns the
// directory.
func (d *Daemon) awaitDirectory() *directory {
	d.awaitStarted(func() bool { return d.directory.Load().anyReady() })
	return d.directory.Load()
}

// awaitStartup waits until a condition holds, but not beyond startupWait after the start.
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

// anyReady reports whether some host is active and ready.
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
