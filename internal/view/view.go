// Package view holds the immutable snapshot of control state that the control
// thread publishes and the traffic threads read.
package view

import (
	"sync/atomic"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/steer"
)

// Snapshot is the control state at one moment. It is never modified.
type Snapshot struct {
	// Self is this daemon as its heartbeats show it.
	Self membership.Member
	// Config is the version in force; nil until there is one.
	Config *config.Active
	// ConfirmedAt is when Config was last known to be the store's version.
	ConfirmedAt time.Time
	// Ready are the ready daemons, this one included if it is ready.
	Ready []membership.Member
	// Steer says where requests run; nil while Config is.
	Steer *steer.Table
	// Lookup says which entry hosts callers are given; nil while Config is.
	Lookup *lookup.Directory
	// Members are all daemons heard of lately, without this one.
	Members []membership.Member
}

// Published is where the control thread puts the snapshot.
type Published struct {
	p atomic.Pointer[Snapshot]
}

// Store publishes a snapshot.
func (p *Published) Store(s *Snapshot) { p.p.Store(s) }

// Load returns the latest snapshot; it is never nil.
func (p *Published) Load() *Snapshot {
	if s := p.p.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Find returns a daemon by its instance.
func (s *Snapshot) Find(instance string) (membership.Member, bool) {
	if s.Self.Instance == instance {
		return s.Self, true
	}
	for _, m := range s.Members {
		if m.Instance == instance {
			return m, true
		}
	}
	return membership.Member{}, false
}
