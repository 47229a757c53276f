package entryhost

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SetStartupWait sets how long callers may wait for a daemon that has just started.
func (d *Daemon) SetStartupWait(wait time.Duration) { d.startupWait = wait }

// Upstreams returns the number of upstreams that the daemon holds.
func (d *Daemon) Upstreams() int { return d.table.Size() }

// Tunnels returns the number of connections to upstreams that the daemon makes for other hosts.
func (d *Daemon) Tunnels() int { return d.tunnels.Count() }

// OwnsRoom reports whether the daemon owns the room of an instance of an upstream.
func (d *Daemon) OwnsRoom(upstream string, startedMs int64) bool {
	owner, _, ok := d.table.RoomOwner(xxhash.Sum64String(upstream)<<32 | uint64(uint32(startedMs)))
	return ok && owner.Instance == d.self.Instance
}
