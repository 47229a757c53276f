package catalog

import "time"

// State is what an upstream says of itself.
type State string

// States of an upstream.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Upstream is one run of a worker, as it registered itself.
type Upstream struct {
	// ID is the instance's; a worker may start again under the one it had.
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	State State
	// ColdFor is how much longer it was cold when it wrote.
	ColdRemaining time.Duration
	// Sequence grows with each change that the run writes.
	Sequence uint64
	// Born is the start of the run, in Unix milliseconds of its own clock.
	StartedMs int64
	// Revision of the store at which the entry was written.
	Revision uint64
}

// Newer tells whether u says something later than other, which has the same
// ID. A write may take effect seconds after it was sent, and so after later
// ones; the revision alone would take such an old account for the newest.
func (u Upstream) Newer(other Upstream) bool {
	if u.StartedMs != other.StartedMs {
		return u.StartedMs > other.StartedMs
	}
	return u.Sequence >= other.Sequence
}
