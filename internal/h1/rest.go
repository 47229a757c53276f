package h1

import (
	"sync"
	"time"
)

// For how long a connection may have rested that carries a request which must not
// run twice.
//
// The failure: an upstream, or what lies before it, has dropped an idle connection
// earlier than it says and without notice. Whatever is sent on it next is reset. A
// read is sent again; a posting's outcome stays in doubt, and its caller gets an
// error for it. With a fixed bound of two seconds, postings met connections that
// were forgotten after 0.3 s, and where nothing was forgotten nearly every one to
// another region waited for a new connection: 107 of 2,240 top-ups of a calm day
// were late for that alone. So what the upstream says goes, until a connection has
// turned out forgotten.
const (
	// oncePart of the time for which an upstream says that it keeps a connection is
	// used: its close must not cross the request, also where this host is behind
	// with its work.
	oncePart = 0.6
	// forgottenPart of the time for which a forgotten connection had rested is used
	// from then on: others are dropped sooner than the one that showed it.
	forgottenPart = 0.25
	// forgottenFor is how long that is remembered.
	forgottenFor = 30 * time.Second
	// bounceMargin is added to the way there and back. A reset that comes later may
	// have been made after the request ran; the quickest work of today's users takes
	// twice as long.
	bounceMargin = 15 * time.Millisecond
)

// rests learns for how long connections may rest. It is safe for concurrent use.
type rests struct {
	mu    sync.Mutex
	bound time.Duration
	until time.Time
}

// forgotten notes that a connection which had rested was reset at once.
func (r *rests) forgotten(now time.Time, rested time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bound := time.Duration(forgottenPart * float64(rested))
	if now.Before(r.until) {
		bound = min(bound, r.bound)
	}
	r.bound, r.until = bound, now.Add(forgottenFor)
}

// allowed is how long a connection may have rested that its upstream says it keeps
// for keepFor.
func (r *rests) allowed(now time.Time, keepFor time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := time.Duration(oncePart * float64(keepFor))
	if now.Before(r.until) {
		allowed = min(allowed, r.bound)
	}
	return allowed
}
