package place

import "time"

// How an upstream that joins receives its first objects.
//
// If every object is warm at an upstream with free capacity, the latency estimates
// send nothing to a new upstream until the others are full, and the new upstream is
// still cold when it is needed. The host that performs its slow start therefore sends
// it the objects for which it ranks first, until it has received a request. These
// objects are then warm there, and the upstream takes part by load.

// joinDelay is how long a new upstream is left to the usual selection. It keeps hosts
// that have all restarted from moving objects that are warm elsewhere.
const joinDelay = 2 * time.Second

// needsFirstObject reports whether a candidate receives an object because no host has
// sent it a request yet.
func (t *Table) needsFirstObject(now time.Time, first candidate) bool {
	return !first.hasReceived && now.Sub(first.firstSeen) >= joinDelay && t.isSlowStartSender(first.upstream)
}
