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
// error for it. A fixed bound of two seconds is longer than the 0.3 s after which
// some upstreams forget, and where nothing is forgotten it makes most postings to
// another region wait for a new connection. So what the upstream says goes, until a
// connection has turned out forgotten.
//
// A reset alone does not show that: an upstream that loses answers resets busy
// connections too. One that had hardly rested tells the two apart.
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
	// hardlyRested is a rest after which nobody forgets a connection: a third of the
	// shortest that has been met.
	hardlyRested = 100 * time.Millisecond
	// losesFor is how long the reset of a connection that had hardly rested explains
	// those of others.
	losesFor = 5 * time.Second
	// bounceMargin is added to the way there and back. A reset that comes later was
	// made by work; the quickest of today's users takes twice as long.
	bounceMargin = 15 * time.Millisecond
)

// rests learns for how long connections may rest. It is safe for concurrent use.
type rests struct {
	mu sync.Mutex
	// by holds what single upstreams have shown.
	by map[string]restBound
	// all holds for all upstreams, once two have shown it.
	all restBound
	// loses says until when answers are being lost, rested or not.
	loses time.Time
}

// restBound is the longest rest until a time.
type restBound struct {
	most  time.Duration
	until time.Time
}

// tighten takes a further sign in.
func (b *restBound) tighten(now time.Time, most time.Duration) {
	if now.Before(b.until) {
		most = min(most, b.most)
	}
	b.most, b.until = most, now.Add(forgottenFor)
}

func (b restBound) apply(now time.Time, allowed time.Duration) time.Duration {
	if now.Before(b.until) {
		return min(allowed, b.most)
	}
	return allowed
}

// reset notes that a connection to address which had rested was reset at once.
func (r *rests) reset(now time.Time, address string, rested time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rested < hardlyRested {
		r.loses, r.all = now.Add(losesFor), restBound{}
		return
	}
	most := max(time.Duration(forgottenPart*float64(rested)), hardlyRested)
	others := r.others(now, address)
	if r.by == nil {
		r.by = map[string]restBound{}
	}
	b := r.by[address]
	b.tighten(now, most)
	r.by[address] = b
	if others && now.After(r.loses) {
		r.all.tighten(now, most)
	}
}

// others tells whether another upstream has forgotten a connection lately, and
// drops what is too old to matter.
func (r *rests) others(now time.Time, address string) bool {
	found := false
	for a, b := range r.by {
		switch {
		case !now.Before(b.until):
			delete(r.by, a)
		case a != address:
			found = true
		}
	}
	return found
}

// allowed is how long a connection may have rested that its upstream says it keeps
// for keepFor.
func (r *rests) allowed(now time.Time, address string, keepFor time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := time.Duration(oncePart * float64(keepFor))
	return r.all.apply(now, r.by[address].apply(now, most))
}
