package quota

import (
	"math"
	"time"
)

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	level       float64
	updatedAt   time.Time
}

// NewBucket returns a bucket that starts with level tokens and refills at rate
// tokens per second up to burst.
func NewBucket(rate, burst, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: math.Min(level, burst), updatedAt: now}
}

// refill adds the tokens accrued since the last call. A time before the last
// call adds nothing, and the next call counts from the latest time seen.
func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level = math.Min(b.burst, b.level+elapsed*b.rate)
		b.updatedAt = now
	}
}

// Take removes cost tokens if the bucket holds them. Otherwise it returns the
// time until it will hold them, or a negative time if it never will.
func (b *Bucket) Take(cost float64, now time.Time) (bool, time.Duration) {
	b.refill(now)
	if b.level >= cost {
		b.level -= cost
		return true, 0
	}
	if b.rate <= 0 || cost > b.burst {
		return false, -1
	}
	return false, time.Duration((cost - b.level) / b.rate * float64(time.Second))
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}
