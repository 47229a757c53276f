package fairqueue

import (
	"math"
	"time"
)

// usageWindow is the time over which a customer's use of the slots is
// averaged: long against the service times of short work (5 to 10 ms), short
// against a budget of two seconds.
const usageWindow = 500 * time.Millisecond

// usageStep is the shortest time for which decay is worked out: an error of
// 2% at most, for an exponential less on most requests.
const usageStep = usageWindow / 64

// usage is an exponentially decaying average of service time used per time:
// the mean number of slots held.
type usage struct {
	sum float64
	at  time.Time
}

func (u *usage) add(ms float64, now time.Time) {
	u.decay(now)
	u.sum += ms
}

func (u *usage) slots(now time.Time) float64 {
	u.decay(now)
	return u.sum / milliseconds(usageWindow)
}

func (u *usage) decay(now time.Time) {
	if u.sum == 0 {
		u.at = now
		return
	}
	if passed := now.Sub(u.at); passed > usageStep {
		u.sum *= math.Exp(-float64(passed) / float64(usageWindow))
		u.at = now
	}
}
