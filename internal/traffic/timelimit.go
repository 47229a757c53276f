package traffic

import (
	"fmt"
	"time"
)

// TimeLimit is how long an upstream may take to respond, in whole milliseconds. It is at least one
// millisecond, since a limit of zero or less reads as none. The zero value is the shortest limit.
type TimeLimit struct{ beyondFirst int64 }

// NoTimeError means that the time for a request is over.
type NoTimeError struct{ Remaining time.Duration }

func (e *NoTimeError) Error() string {
	return fmt.Sprintf("traffic: less than a millisecond is left: %v", e.Remaining)
}

// NewTimeLimit returns the limit of a request for which the given time is left. The error is a
// *NoTimeError.
func NewTimeLimit(remaining time.Duration) (TimeLimit, error) {
	ms := remaining.Milliseconds()
	if ms < 1 {
		return TimeLimit{}, &NoTimeError{remaining}
	}
	return TimeLimit{ms - 1}, nil
}

// Milliseconds returns the limit in milliseconds.
func (l TimeLimit) Milliseconds() int64 { return l.beyondFirst + 1 }

// Duration returns the limit.
func (l TimeLimit) Duration() time.Duration {
	return time.Duration(l.Milliseconds()) * time.Millisecond
}
