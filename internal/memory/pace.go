package memory

import "time"

// CheckInterval is the time between two checks of a caller that is waited for.
const CheckInterval = time.Second

// Bounds of the pace. Up to half of the fraction of bodies the relaxed window applies; at the
// fraction of bodies the strict one, and at the fraction of responses the strict bytes.
const (
	relaxedWindow = 10 * time.Second
	strictWindow  = 2 * time.Second
	relaxedBytes  = 1 << 10
	strictBytes   = 32 << 10
	relaxedPart   = 0.5
)

// Pace is the least progress that a caller must make: Bytes in each Window.
type Pace struct {
	Window time.Duration
	Bytes  int64
}

// Pace returns the pace of callers at the present level of the budget. The fuller the budget, the
// faster they must be, so that the slowest are ended first and only as many as needed.
func (b *Budget) Pace() Pace {
	u := b.Usage()
	level := 0.0
	if u.Limit > 0 {
		level = float64(u.Total()) / float64(u.Limit)
	}
	window := interpolate(level, relaxedPart*bodyFraction, bodyFraction, float64(relaxedWindow), float64(strictWindow))
	bytes := interpolate(level, bodyFraction, responseFraction, relaxedBytes, strictBytes)
	return Pace{Window: time.Duration(window), Bytes: int64(bytes)}
}

// interpolate returns the value at x on the line from (x0, y0) to (x1, y1), bounded by y0 and y1.
func interpolate(x, x0, x1, y0, y1 float64) float64 {
	part := min(max((x-x0)/(x1-x0), 0), 1)
	return y0 + part*(y1-y0)
}

// Stall measures how long a caller has been waited for. It counts waiting, not time: a process that
// was suspended has not waited for its callers meanwhile.
type Stall struct {
	waited time.Duration
	moved  int64
}

// Observe adds the result of one check: how long the caller was waited for, of which CheckInterval
// counts at most, and how many bytes it has sent or taken. It reports whether the caller is slower
// than the pace.
func (s *Stall) Observe(waited time.Duration, bytes int64, pace Pace) bool {
	s.waited += min(waited, CheckInterval)
	s.moved += bytes
	if s.moved >= pace.Bytes {
		s.waited, s.moved = 0, 0
	}
	return s.waited >= pace.Window
}

// Waited returns how long the caller has been waited for since it last kept the pace.
func (s *Stall) Waited() time.Duration { return s.waited }
