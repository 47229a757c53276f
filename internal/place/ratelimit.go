package place

import (
	"time"

	"balsambarrow/internal/traffic"
)

// rateLimit is the rate limit that an upstream has announced.
type rateLimit struct {
	traffic.RateLimit
	// announcedAt is when the upstream last responded with the limit, or without one.
	announcedAt time.Time
}

// ObserveRateLimit records the rate limit that the upstream of a choice announces in its
// response. It reports whether the limit has changed.
func (t *Table) ObserveRateLimit(now time.Time, c Choice, announced traffic.RateLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := c.upstream
	changed := w.rateLimit.RateLimit != announced
	w.rateLimit.RateLimit, w.rateLimit.announcedAt = announced, now
	return changed
}

// RateLimited returns the number of upstreams that have announced a rate limit.
func (t *Table) RateLimited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, w := range t.byID {
		if w.rateLimit.Limited {
			n++
		}
	}
	return n
}
