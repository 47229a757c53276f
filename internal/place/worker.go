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
	// warm says when this host last had an answer about an object.
	warm map[uint64]time.Time
}

func newWorker(u catalog.Upstream, region string) *worker {
	return &worker{Upstream: u, id: hash(u.ID), region: region, health: newHealth(), warm: map[uint64]time.Time{}}
}

// restarted forgets what was known of an earlier run under the same id.
func (w *worker) restarted() {
	inflight := w.load.inflight
	w.health, w.load, w.warm = newHealth(), load{inflight: inflight}, map[uint64]time.Time{}
}

func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) || w.health.doubtful(now) }

func (w *worker) isWarm(now time.Time, object uint64) bool {
	at, ok := w.warm[object]
	return ok && now.Sub(at) < warmFor
}

func (w *worker) remember(now time.Time, object uint64) {
	if len(w.warm) >= warmMost {
		w.forgetOldest()
	}
	w.warm[object] = now
}

func (w *worker) forgetOldest() {
	var oldest uint64
	var at time.Time
	for object, t := range w.warm {
		if at.IsZero() || t.Before(at) {
			oldest, at = object, t
		}
	}
	delete(w.warm, oldest)
}
