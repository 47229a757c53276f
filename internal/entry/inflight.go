package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"balsambarrow/internal/wire"
)

// RequestLimiter counts the requests that run at an entry host against a bound.
//
// Load pattern: a stalled upstream or link holds thousands of requests, each
// with its goroutines and buffers, until the daemon is out of memory. Above
// the bound a request is refused at once; from nine tenths of it the lookup
// leaves the host out, so that callers find another first.
type RequestLimiter struct {
	running atomic.Int64
	bound   int64
}

// NewRequestLimiter returns a limiter with a bound above 0.
func NewRequestLimiter(bound int) *RequestLimiter { return &RequestLimiter{bound: int64(bound)} }

// Load is the part of the bound that is in use.
func (g *RequestLimiter) Load() float64 { return float64(g.running.Load()) / float64(g.bound) }

// crowdedRetry is when a refused caller may come back: about as long as the
// lookup answers take to show the host as full.
const crowdedRetry = time.Second

// Wrap returns a handler that rejects requests beyond the limit.
func (g *RequestLimiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.running.Add(-1)
		if g.running.Add(1) > g.bound {
			wire.NotRunProblem(wire.TypeNoRoom, "this entry host runs as many requests as it may", crowdedRetry).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
