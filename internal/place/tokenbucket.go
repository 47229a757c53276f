package place

import "time"

// tokenBucket limits the requests of this host to one upstream. It starts with one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token. The bucket is refilled at perSecond and holds at most burst tokens.
func (b *tokenBucket) take(now time.Time, perSecond, burst float64) bool {
	if b.refilledAt.IsZero() {
		b.tokens = 1
	} else {
		b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond, burst)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
