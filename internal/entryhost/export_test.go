package entryhost

import "time"

// SetStartupWait sets how long callers may wait for a daemon that has just started.
func (d *Daemon) SetStarting(most time.Duration) { d.startingFor = most }
