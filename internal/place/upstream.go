package place

import (
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/memory"
)

// WarmTTL is how long an object counts as warm after its last request. maxWarmObjects is
// the maximum number of objects tracked per upstream; upstreams keep some tens of objects
// and evict the least recently used.
const (
	WarmTTL        = 20 * time.Second
	maxWarmObjects = 64
)

// upstream is a registered upstream and the state known of it.
type upstream struct {
	catalog.Upstream
	idHash        uint64
	region        string
	health        health
	load          load
	bytes         memory.UpstreamBytes
	slowdown      slowdown
	slowStart     tokenBucket
	standingQueue standingQueue
	announced     announced
	// coldUntil is when the upstream stops being cold, as reported by the upstream or
	// because its zone returns from an evacuation.
	coldUntil time.Time
	// firstSeen is when this host first learned of this instance. hasReceived is set once
	// any host has sent it a request.
	firstSeen   time.Time
	hasReceived bool
	// warm holds the objects that the upstream is known to have handled recently.
	warm map[Object]warmState
	// pathIndex is the index of the zone in Table.zonePaths.
	pathIndex int
	// warmForQuery equals Table.querySequence if the object of the current query is warm here.
	warmForQuery uint64
	// senderRank is the rank of this host among the hosts that may send to the upstream while
	// it is cold or limits its rate. It was computed for the hosts of senderGeneration.
	senderRank       int
	senderGeneration uint64
	// owner is the index in Table.hosts of the owner of the upstream's room, for the hosts of
	// ownerGeneration.
	owner           int
	ownerGeneration uint64
}

// Object is the hash of an affinity key and its route.
type Object uint32

// warmState is when a request about an object was last known to be sent to an upstream,
// whether the upstream has answered one, and when the fact was last gossiped.
type warmState struct {
	lastUsed   time.Time
	answered   bool
	gossipedAt time.Time
}

func newUpstream(now time.Time, u catalog.Upstream, region string) *upstream {
	return &upstream{Upstream: u, idHash: hash(u.ID), region: region, firstSeen: now, health: newHealth(), warm: map[Object]warmState{}}
}

// reset discards the state of an earlier instance with the same ID.
func (w *upstream) reset(now time.Time) {
	inflight := w.load.inflight
	w.health, w.load, w.slowdown, w.announced = newHealth(), load{inflight: inflight}, slowdown{}, announced{}
	w.firstSeen, w.hasReceived = now, false
}

func (w *upstream) isCold(now time.Time) bool {
	return now.Before(w.coldUntil) || w.health.mayHaveRestarted(now)
}

// isWarm reports whether the upstream is handling an object or has recently done so.
func (w *upstream) isWarm(now time.Time, object Object) bool {
	known, ok := w.warm[object]
	return ok && now.Sub(known.lastUsed) < WarmTTL
}

// hasAnswered reports whether the upstream has recently answered about an object.
func (w *upstream) hasAnswered(now time.Time, object Object) bool {
	return w.isWarm(now, object) && w.warm[object].answered
}

// markUsed records that the upstream is sent a request about an object.
//
// Requests that arrive while the first one is running go to the same upstream and find
// the object warm there, or wait briefly. If only the current load decided, each of them
// would warm the object at another upstream.
func (w *upstream) markUsed(now time.Time, object Object) {
	w.hasReceived = true
	known := w.warm[object]
	known.lastUsed = now
	w.warm[object] = known
}

// markAnswered records that the upstream has answered a request about an object.
func (w *upstream) markAnswered(now time.Time, object Object) {
	w.markUsed(now, object)
	known := w.warm[object]
	known.answered = true
	w.warm[object] = known
}

// markReported records at time now that the upstream answered a request about an object at
// time at, as reported by another host or by restored state.
func (w *upstream) markReported(now, at time.Time, object Object) {
	w.markAnswered(at, object)
	known := w.warm[object]
	known.gossipedAt = now
	w.warm[object] = known
}

// leastRecentObject returns the least recently used object.
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
