package fairqueue

import (
	"math"
	"time"
)

// usageWindow is the time constant over which slot usage is averaged. It is
// long compared with short requests (5 to 10 ms) and short compared with a
// budget of 2 seconds.
const usageWindow = 500 * time.Millisecond

// minDecayInterval is the shortest interval for which the decay is computed.
// Skipping shorter intervals avoids computing an exponential for most
// requests; the error is at most 2%.
const minDecayInterval = usageWindow / 64

// usage is an exponentially decaying average of the service time used, that
// is, of the number of slots held.
type usage struct {
	usedMs    float64
	updatedAt time.Time
}

func (u *usage) add(ms float64, now time.Time) {
	u.decay(now)
	u.usedMs += ms
}

func (u *usage) meanSlots(now time.Time) float64 {
	u.decay(now)
	return u.usedMs / milliseconds(usageWindow)
}

func (u *usage) decay(now time.Time) {
	if u.usedMs == 0 {
		u.updatedAt = now
		return
	}
	if elapsed := now.Sub(u.updatedAt); elapsed > minDecayInterval {
		u.usedMs *= math.Exp(-float64(elapsed) / float64(usageWindow))
		u.updatedAt = now
	}
}
