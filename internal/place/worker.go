package place

import (
	"time"

	"balsambarrow/internal/catalog"
)

// warmFor is how long an object counts as warm where this host has sent it, and
// warmMost how many objects are remembered for each upstream. Upstreams keep
// some tens of objects and forget the least recent.
const (
	warmFor  = 20 * time.Second
	warmMost = 64
)

// worker is one upstream and what is known of it.
type worker struct {
	catalog.Upstream
	id     uint64
	region string
	health health
	load   load
	pace   pace
	// coldUntil is when it stops being cold, by its own account or because
	// its zone comes back from an evacuation.
	coldUntil time.Time
	// warm holds the objects that it is known to have handled lately.
	warm map[Object]warmth
}

// Object is the hash of an affinity key and its route.
type Object uint32

// warmth is when an upstream last answered about an object, as far as this host
// knows, and when the hosts last told each other so.
type warmth struct {
	at     time.Time
	shared time.Time
}

func newWorker(u catalog.Upstream, region string) *worker {
	return &worker{Upstream: u, id: hash(u.ID), region: region, health: newHealth(), warm: map[Object]warmth{}}
}

// restarted forgets what was known of an earlier run under the same id.
func (w *worker) restarted() {
	inflight := w.load.inflight
	w.health, w.load, w.warm = newHealth(), load{inflight: inflight}, map[Object]warmth{}
}

func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) || w.health.doubtful(now) }

func (w *worker) isWarm(now time.Time, object Object) bool {
	known, ok := w.warm[object]
	return ok && now.Sub(known.at) < warmFor
}

// remember notes that the upstream handles an object now.
func (w *worker) remember(now time.Time, object Object) {
	known, ok := w.warm[object]
	if !ok && len(w.warm) >= warmMost {
		w.forgetOldest()
	}
	known.at = now
	w.warm[object] = known
}

func (w *worker) forgetOldest() {
	var oldest Object
	var at time.Time
	for object, known := range w.warm {
		if at.IsZero() || known.at.Before(at) {
			oldest, at = object, known.at
		}
	}
	delete(w.warm, oldest)
}
