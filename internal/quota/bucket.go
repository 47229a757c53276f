package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// NewBucket returns a bucket that fills at rate per second up to burst and
// starts at level.
func NewBucket(rate, burst, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: math.Min(level, burst), at: now}
}

// fill adds what has come in since the last call. Time that goes back adds
// nothing, and the next call counts from the latest time seen.
func (b *Bucket) fill(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = math.Min(b.burst, b.level+passed*b.rate)
		b.at = now
	}
}

// Take spends cost if the bucket holds it. If not, it returns how long until
// it will; a negative time means never.
func (b *Bucket) Take(cost float64, now time.Time) (bool, time.Duration) {
	b.fill(now)
	if b.level >= cost {
		b.level -= cost
		return true, 0
	}
	if b.rate <= 0 || cost > b.burst {
		return false, -1
	}
	return false, time.Duration((cost - b.level) / b.rate * float64(time.Second))
}

// Level returns the tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}
