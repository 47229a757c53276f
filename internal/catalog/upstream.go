package catalog

import "time"

// State of an upstream, as reported by the upstream.
type State string

// States of an upstream.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Upstream is one instance of an upstream, as registered by the instance itself.
type Upstream struct {
	// ID of the upstream. An instance that restarts may keep the ID.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	State State
	// ColdRemaining is how much longer the upstream stays cold, as of the time when it
	// wrote the entry.
	ColdRemaining time.Duration
	// Sequence grows with each entry that the instance writes.
	Sequence uint64
	// StartedMs is the start time of the instance, in Unix milliseconds by its clock.
	StartedMs int64
	// Revision of the store after the entry was written.
	Revision uint64
}

// Newer reports whether u is at least as recent as other, which has the same ID. A write
// may take effect seconds after it was sent, and so after later writes. The revision alone
// would make such an outdated entry the newest.
func (u Upstream) Newer(other Upstream) bool {
	if u.StartedMs != other.StartedMs {
		return u.StartedMs > other.StartedMs
	}
	return u.Sequence >= other.Sequence
}
