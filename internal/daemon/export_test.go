package daemon

import "time"

// StallControl blocks the control thread for a time, as a suspended process would.
func (d *Daemon) StallControl(pause time.Duration) { d.control.send(stall{pause}) }

type stall struct{ pause time.Duration }

func (m stall) apply(*control) { time.Sleep(m.pause) }
