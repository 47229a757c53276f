package daemon

import "time"

// StallControl lets the control thread stand still, as a paused process does.
func (d *Daemon) StallControl(pause time.Duration) { d.control.send(stall{pause}) }

type stall struct{ pause time.Duration }

func (m stall) apply(*control) { time.Sleep(m.pause) }
