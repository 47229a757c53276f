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
	// Listed says that the upstreams are known.
	Listed bool
	// Leaving says that a planned stop has begun.
	Leaving bool
}

// Bounds are the times that the front works by.
type Bounds struct {
	// KeysFor is how long keys are accepted after ConfirmedAt; 0: without
	// bound.
	KeysFor time.Duration
}

const (
	// deniesFor is how long after ConfirmedAt a request may be denied because
	// its route or key is unknown. A host that has fallen behind would deny
	// what was added meanwhile, for good, where "come back" is true.
	deniesFor = 3200 * time.Millisecond
	// defaultPatience bounds a request of which neither the caller nor its
	// route says how long it may take.
	defaultPatience = 30 * time.Second
)

func (s *State) age(now time.Time) time.Duration { return now.Sub(s.ConfirmedAt) }
