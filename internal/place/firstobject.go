package place

import "time"

// How an upstream that joins receives its first objects.
//
// If every object is warm at an upstream with free capacity, the latency estimates
// send nothing to a new upstream until the others are full, and the new upstream is
// still cold when it is needed. The host that performs the slow start of the new upstream
// therefore sends it requests about the objects for which the upstream ranks first, until
// the upstream has received a request. The objects are then warm there, and the upstream
// is selected by cost like the others.

// joinDelay is how long a new upstream receives requests only by the usual selection.
// Without the delay, hosts that have all restarted would move objects that are warm
// elsewhere.
const joinDelay = 2 * time.Second

// needsFirstObject reports whether a candidate receives an object because no host has
// sent it a request yet.
func (t *Table) needsFirstObject(now time.Time, first candidate) bool {
	return !first.hasReceived && now.Sub(first.firstSeen) >= joinDelay && t.isSlowStartSender(first.upstream)
}
