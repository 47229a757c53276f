package share

import (
	"math"
	"time"
)

const (
	// usualTimeConstant is the time constant of the average of a fraction. The average follows callers that
	// move, and not the fluctuation of a few requests per second.
	usualTimeConstant = 3 * time.Second
	// usualAge is the least age of the average that is used. It covers the time until the heartbeats of an owner
	// time out, in which the fraction may have grown already.
	usualAge = 1500 * time.Millisecond
)

// usualFraction is the moving average of the fraction of a rate that an owner had at least usualAge ago.
type usualFraction struct {
	average   float64
	updatedAt time.Time
	// previous and current are the averages at the last two marks, which are usualAge apart or more. markedAt is
	// when current was marked.
	previous, current float64
	markedAt          time.Time
}

func (u *usualFraction) observe(now time.Time, fraction float64) {
	if u.updatedAt.IsZero() {
		u.average, u.previous, u.current, u.markedAt = fraction, fraction, fraction, now
	}
	if now.Sub(u.markedAt) >= usualAge {
		u.previous, u.current, u.markedAt = u.current, u.average, now
	}
	weight := -math.Expm1(-now.Sub(u.updatedAt).Seconds() / usualTimeConstant.Seconds())
	u.average, u.updatedAt = u.average+weight*(fraction-u.average), now
}

// known returns the average, or even if there is none.
func (u *usualFraction) known(even float64) float64 {
	if u.updatedAt.IsZero() {
		return even
	}
	return u.previous
}
