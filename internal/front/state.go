package front

import (
	"time"

	"balsambarrow/internal/catalog"
)

// State is what the control thread knows, at one moment. It is never modified.
type State struct {
	// Catalog in force; nil until there is one.
	Catalog *catalog.Catalog
	// ConfirmedAt is the latest time at which Catalog was certainly the newest
	// version.
	ConfirmedAt time.Time
	// UpstreamsKnown says that the upstreams are known.
	UpstreamsKnown bool
	// Leaving says that a planned stop has begun.
	Leaving bool
	// Standby says that other hosts take the callers: what this one knows may be
	// older than what they know.
	Standby bool
}

// Bounds are the times that the front works by.
type Bounds struct {
	// KeyMaxAge is how long keys are accepted after ConfirmedAt; 0: without
	// bound.
	KeyMaxAge time.Duration
}

const (
	// denyMaxAge is how long after ConfirmedAt a request may be denied because
	// its route or key is unknown. A host that has fallen behind would deny
	// what was added meanwhile, for good, where "come back" is true.
	denyMaxAge = 3200 * time.Millisecond
	// standbyMaxAge is the age of the configuration up to which a host that stands by
	// serves a caller that has an old answer of the directory. It is the longest
	// pause between two looks at the store of a host that takes callers: with an
	// older list of upstreams a request would go to one that has left.
	standbyMaxAge = 1500 * time.Millisecond
	// refreshFor bounds the wait for a look at the store on behalf of such a
	// caller: the way to the farthest region and back three times.
	refreshFor = 350 * time.Millisecond
	// defaultTimeBudget bounds a request of which neither the caller nor its
	// route says how long it may take.
	defaultTimeBudget = 30 * time.Second
)

// starting tells whether the host does not know yet what it needs for any request.
func (s *State) starting() bool {
	return s.Catalog == nil || !s.UpstreamsKnown || s.ConfirmedAt.IsZero()
}

func (s *State) age(now time.Time) time.Duration { return now.Sub(s.ConfirmedAt) }
