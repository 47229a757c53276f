package entryhost

import (
	"time"

	"balsambarrow/internal/memory"
)

// FillMemory holds memory as callers do, up to a fraction of the budget.
func (d *Daemon) FillMemory(fraction float64) {
	for u := d.budget.Usage(); float64(u.Total()) < fraction*float64(u.Limit); u = d.budget.Usage() {
		if _, err := d.budget.Admit(memory.Request{}); err != nil {
			return
		}
	}
}

// SetStartupWait sets how long callers may wait for a daemon that has just started.
func (d *Daemon) SetStartupWait(wait time.Duration) { d.startupWait = wait }

// Upstreams returns the number of upstreams that the daemon holds.
func (d *Daemon) Upstreams() int { return d.table.Size() }

// Tunnels returns the number of connections to upstreams that the daemon makes for other hosts.
func (d *Daemon) Tunnels() int { return d.tunnels.Count() }

// MaxConnections returns how many connections of callers the budget allows.
func (d *Daemon) MaxConnections() int {
	opened := 0
	for d.budget.OpenConnection() == nil {
		opened++
	}
	for range opened {
		d.budget.CloseConnection()
	}
	return opened
}
