package freshness

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MaxAge is the highest age that a peer may state. It is beyond the limits that operators set on the
// age of a configuration, and keeps ages within the range of time.Duration.
const MaxAge = 30 * 24 * time.Hour

// ErrNotConfirmed means that the peer's state has not been confirmed since the start of its process.
var ErrNotConfirmed = errors.New("freshness: the state was never confirmed")

// InvalidAgeError means that a peer stated an age that no state in use can have.
type InvalidAgeError struct {
	// Age is in the unit of the message.
	Age uint64
}

func (e *InvalidAgeError) Error() string { return fmt.Sprintf("freshness: impossible age %d", e.Age) }

// Age returns the age of a state that was confirmed as of confirmedAt, for a message: in the given
// unit and rounded up, so at least 1, and at most MaxAge. It is 0 if the state was never confirmed.
func Age(now, confirmedAt time.Time, unit time.Duration) uint64 {
	if confirmedAt.IsZero() || confirmedAt.After(now) {
		return 0
	}
	return uint64(min(now.Sub(confirmedAt), MaxAge-1)/unit) + 1
}

// ConfirmedAt returns the time as of which a state is confirmed by a peer that holds the same state
// and stated its age, in the given unit, in the response to a request sent at sentAt. The peer
// determined the age after sentAt, so the result is never too late, whatever delayed the messages. The
// error is ErrNotConfirmed or an *InvalidAgeError.
func ConfirmedAt(sentAt time.Time, age uint64, unit time.Duration) (time.Time, error) {
	if age == 0 {
		return time.Time{}, errors.WithStack(ErrNotConfirmed)
	}
	if age > uint64(MaxAge/unit) {
		return time.Time{}, errors.WithStack(&InvalidAgeError{age})
	}
	return sentAt.Add(-time.Duration(age) * unit), nil
}
