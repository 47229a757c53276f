package room

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxSlots, maxCount and maxSlowdown are the largest numbers that a statement or report may hold.
	maxSlots    = 10_000
	maxCount    = 10_000
	maxSlowdown = 1000
	// maxOthers is the largest Answer.Others: what an owner grants, and what the upstream reports.
	maxOthers = boundFactor*maxSlots + maxCount
)

// Statement is what a holder states about its requests at an upstream with each message.
type Statement struct {
	// Upstream identifies an instance of an upstream, and Holder an instance of an entry host.
	Upstream, Holder uint64
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Sequence is higher in each later statement of the holder.
	Sequence uint64
	// Settled is the sequence of the oldest reservation that the holder still awaits. Earlier ones
	// are included in Count or not used.
	Settled uint64
	// Count is the number of requests in flight, except for those whose reservation the holder still
	// awaits.
	Count int
	// Until is when the last of the requests ends at the latest.
	Until time.Time
}

// StatementError reports a statement that cannot be true.
type StatementError struct {
	Field string
	Value uint64
}

func (e *StatementError) Error() string { return fmt.Sprintf("room: %s %d", e.Field, e.Value) }

// check returns a *StatementError if the report cannot be true.
func (r *Report) check() error {
	switch {
	case r == nil:
		return nil
	case r.Requests < 0 || r.Requests > maxCount:
		return &StatementError{"requests", uint64(r.Requests)}
	case !(r.Slowdown >= 0 && r.Slowdown <= maxSlowdown): // also not a number
		return &StatementError{"slowdown", math.Float64bits(r.Slowdown)}
	}
	return nil
}

// check returns a *StatementError if the statement cannot be true.
func (s Statement) check() error {
	switch {
	case s.Slots < 1 || s.Slots > maxSlots:
		return &StatementError{"slots", uint64(s.Slots)}
	case s.Count < 0 || s.Count > maxCount:
		return &StatementError{"count", uint64(s.Count)}
	case s.Sequence == 0 || s.Settled > s.Sequence:
		return &StatementError{"sequence", s.Settled}
	}
	return nil
}

// Check returns a *StatementError if the answer cannot be true.
func (a Answer) Check() error {
	switch {
	case a.Others < 0 || a.Others > maxOthers:
		return &StatementError{"others", uint64(a.Others)}
	case !(a.Slowdown >= 0 && a.Slowdown <= maxSlowdown): // also not a number
		return &StatementError{"slowdown", math.Float64bits(a.Slowdown)}
	}
	return nil
}
