// Package clock reads the time that decisions go by.
//
// A host may be suspended. CLOCK_MONOTONIC stands still meanwhile, so a daemon
// that wakes up would believe that its configuration and leases are as fresh
// as before, and would admit a key that was withdrawn while it slept. The time
// of day counts the suspension but jumps when it is set. CLOCK_BOOTTIME counts
// the suspension and never jumps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the host's boot, suspensions included, as a point in
// time. Values of one process compare and subtract; they say nothing about the
// time of day, nor about the clock of another host.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has the clock. Without it a
		// suspension goes unnoticed, which is what most programs live with.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
