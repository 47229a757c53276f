package entryhost

import "time"

// SetStartupWait sets how long callers may wait for a daemon that has just started.
func (d *Daemon) SetStartupWait(wait time.Duration) { d.startupWait = wait }

// Upstreams returns the number of upstreams that the daemon holds.
func (d *Daemon) Upstreams() int { return d.table.Size() }

// Tunnels returns the number of connections to upstreams that the daemon makes for other hosts.
func (d *Daemon) Tunnels() int { return d.tunnels.Count() }
