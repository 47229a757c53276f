package place

import "time"

// How an upstream that has joined gets its first objects.
//
// Load pattern: every object is warm somewhere and the upstreams there have room.
// By expected finish alone an upstream that joins gets nothing until others are
// full, and is cold when it is needed. So the host that would warm it sends it the
// objects that rank it first, until it has been asked once; from then on these are
// warm there, and it takes part by load.

// joinDelay is how long an upstream is left to the usual choice first. Hosts that
// have all started again do not spread objects that are warm elsewhere at once.
const joinDelay = 2 * time.Second

// needsFirstObject tells whether a candidate gets an object because nobody has asked it yet.
func (t *Table) needsFirstObject(now time.Time, first candidate) bool {
	return !first.hasReceived && now.Sub(first.firstSeen) >= joinDelay && t.isSlowStartSender(first.upstream)
}
