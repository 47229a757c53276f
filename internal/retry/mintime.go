package retry

import "time"

// MinTime is the least time that must be left for a further attempt: a round trip to an upstream of
// the region, and timers that fire a few milliseconds late.
const MinTime = 10 * time.Millisecond

// HasTime reports whether enough time is left until a deadline for a further attempt.
func HasTime(now, deadline time.Time) bool { return deadline.Sub(now) >= MinTime }
