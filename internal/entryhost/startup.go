package entryhost

import (
	"slices"
	"time"

	"balsambarrow/internal/fleet"
)

// How a host that has just started handles callers before it knows the active hosts.
//
// If all hosts start again at the same moment, all callers arrive at once. Each host knows the
// active hosts within some tenths of a second. A response before that would direct callers to
// hosts that refuse them, and many callers retry only once, so the callers wait instead.

// defaultStartupWait bounds how long a caller waits for a host that has just started. It covers
// the store calls at the start, from the farthest region and concurrent with those of all other
// hosts.
const defaultStartupWait = time.Second

// remainingStartupWait returns how long callers may still wait; 0 or less means that they do
// not wait.
func (d *Daemon) remainingStartupWait() time.Duration {
	return d.startupWait - d.now().Sub(d.startedAt)
}

// awaitBucketHosts waits, right after the start, until some host holds customers' buckets, and
// returns the hosts that do.
func (d *Daemon) awaitBucketHosts() *bucketHosts {
	d.awaitStartup(func() bool { return len(d.bucketHosts.Load().instances) > 0 })
	return d.bucketHosts.Load()
}

// awaitDirectory waits, right after the start, until some host is active, and returns the
// directory.
func (d *Daemon) awaitDirectory() *directory {
	d.awaitStartup(func() bool { return d.directory.Load().anyReady() })
	return d.directory.Load()
}

// awaitStartup waits until a condition holds, but not beyond startupWait after the start.
func (d *Daemon) awaitStartup(condition func() bool) {
	remaining := d.remainingStartupWait()
	if remaining <= 0 {
		return
	}
	timeout := time.NewTimer(remaining)
	defer timeout.Stop()
	for {
		updated := d.hostsUpdated.next()
		if condition() {
			return
		}
		select {
		case <-updated:
		case <-timeout.C:
			return
		case <-d.ctx.Done():
			return
		}
	}
}

// anyReady reports whether any known host is active.
func (d *directory) anyReady() bool {
	return d.ready || d.otherReady()
}

// otherReady reports whether any other known host is active.
func (d *directory) otherReady() bool {
	return slices.ContainsFunc(d.peers, func(m fleet.Member) bool { return m.Ready && !m.Leaving })
}
