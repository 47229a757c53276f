package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"balsambarrow/internal/wire"
)

// RequestLimiter limits the number of requests that run concurrently at an entry
// host.
//
// Without a limit, a stalled upstream or link accumulates thousands of requests,
// each with its goroutines and buffers, until the daemon runs out of memory.
// Requests above the limit are rejected immediately. When the load reaches nine
// tenths of the limit, lookup responses omit the host, so that callers choose
// another host before requests are rejected.
type RequestLimiter struct {
	running atomic.Int64
	limit   int64
}

// NewRequestLimiter returns a limiter. The limit must be positive.
func NewRequestLimiter(limit int) *RequestLimiter { return &RequestLimiter{limit: int64(limit)} }

// Load returns the fraction of the limit that is in use.
func (l *RequestLimiter) Load() float64 { return float64(l.running.Load()) / float64(l.limit) }

// overloadRetryAfter is the Retry-After time of rejected requests. It is about the
// time that lookup responses take to omit an overloaded host.
const overloadRetryAfter = time.Second

// Wrap returns a handler that passes requests to next and rejects those above the
// limit.
func (l *RequestLimiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer l.running.Add(-1)
		if l.running.Add(1) > l.limit {
			wire.NotRunProblem(wire.TypeNoRoom, "this entry host runs as many requests as it may", overloadRetryAfter).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
