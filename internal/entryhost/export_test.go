package entryhost

import "time"

// SetStarting sets how long callers wait for a daemon that has just started.
func (d *Daemon) SetStarting(most time.Duration) { d.startingFor = most }
