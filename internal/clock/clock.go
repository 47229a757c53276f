// Package clock provides the time used for timeouts, leases and ages.
//
// A host may be suspended. CLOCK_MONOTONIC does not advance during a suspension, so a
// resumed daemon would consider its configuration and leases as recent as before, and
// would accept a key that was withdrawn meanwhile. The wall clock advances, but jumps
// when it is set. CLOCK_BOOTTIME advances during a suspension and never jumps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's boot, including suspensions, as a time.Time.
// Values of one process can be compared and subtracted. They are not related to the
// wall clock or to the clocks of other hosts.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux kernels since 2.6.39 have CLOCK_BOOTTIME. Without it the
		// daemon does not notice a suspension, like most programs.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
