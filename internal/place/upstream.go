package place

import (
	"time"

	"balsambarrow/internal/catalog"
)

// WarmFor is how long an object counts as warm where a host has sent it, and
// warmMost how many objects are remembered for each upstream. Upstreams keep
// some tens of objects and forget the least recent.
const (
	WarmTTL        = 20 * time.Second
	maxWarmObjects = 64
)

// upstream is one upstream and what is known of it.
type upstream struct {
	catalog.Upstream
	id            uint64
	region        string
	health        health
	load          load
	slowStart     slowStart
	standingQueue standingQueue
	// coldUntil is when it stops being cold, by its own account or because
	// its zone comes back from an evacuation.
	coldUntil time.Time
	// since is when this host first heard of this run, and used says that some host
	// has sent it a request.
	firstSeen   time.Time
	hasReceived bool
	// warm holds the objects that it is known to have handled lately.
	warm map[Object]warmState
	// zonePath is the index of its zone's.
	zonePath int
	// mark is the table's, if it holds the object of the request at hand.
	warmForQuery uint64
	// isSender says that this host is the one that sends to it while it is cold, as
	// of a generation of hosts.
	isSender         bool
	senderGeneration uint64
}

// Object is the hash of an affinity key and its route.
type Object uint32

// warmState is when an upstream was last asked about an object, as far as this host
// knows, whether it has answered yet, and when the hosts last told each other so.
type warmState struct {
	lastUsed   time.Time
	answered   bool
	gossipedAt time.Time
}

func newUpstream(now time.Time, u catalog.Upstream, region string) *upstream {
	return &upstream{Upstream: u, id: hash(u.ID), region: region, firstSeen: now, health: newHealth(), warm: map[Object]warmState{}}
}

// reset forgets how an earlier run under the same id was met.
func (w *upstream) reset(now time.Time) {
	inflight := w.load.inflight
	w.health, w.load = newHealth(), load{inflight: inflight}
	w.firstSeen, w.hasReceived = now, false
}

func (w *upstream) isCold(now time.Time) bool {
	return now.Before(w.coldUntil) || w.health.mayHaveRestarted(now)
}

// isWarm tells whether the upstream handles an object, or has done so lately.
func (w *upstream) isWarm(now time.Time, object Object) bool {
	known, ok := w.warm[object]
	return ok && now.Sub(known.lastUsed) < WarmTTL
}

// hasAnswered tells whether it has done so lately.
func (w *upstream) hasAnswered(now time.Time, object Object) bool {
	return w.isWarm(now, object) && w.warm[object].answered
}

// markSent notes that the upstream is sent a request about an object.
//
// Requests that come while the first one is at work go to the same upstream and
// find the object warm there, or wait a little. By the load of the moment each of
// them would warm another upstream.
func (w *upstream) markUsed(now time.Time, object Object) {
	w.hasReceived = true
	known := w.warm[object]
	known.lastUsed = now
	w.warm[object] = known
}

// markAnswered notes that the upstream has answered about an object.
func (w *upstream) markAnswered(now time.Time, object Object) {
	w.markUsed(now, object)
	known := w.warm[object]
	known.answered = true
	w.warm[object] = known
}

// markReported notes at now what another host has seen: that it answered about an object at
// a time.
func (w *upstream) markReported(now, at time.Time, object Object) {
	w.markAnswered(at, object)
	known := w.warm[object]
	known.gossipedAt = now
	w.warm[object] = known
}

// leastRecentObject is the object that it was asked about longest ago.
func (w *upstream) leastRecentObject() Object {
	var oldest Object
	var at time.Time
	for object, known := range w.warm {
		if at.IsZero() || known.lastUsed.Before(at) {
			oldest, at = object, known.lastUsed
		}
	}
	return oldest
}
