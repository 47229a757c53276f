// Package view holds the immutable snapshot of the control state that the control
// thread publishes and the goroutines that serve requests read.
package view

import (
	"sync/atomic"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/steer"
)

// Snapshot is the control state at one time. It is never modified after publication.
type Snapshot struct {
	// Self is this daemon's state as sent in its heartbeats.
	Self membership.Member
	// Config is the active configuration; nil until there is one.
	Config *config.Active
	// ConfirmedAt is the latest time at which Config was known to be the version in
	// the store.
	ConfirmedAt time.Time
	// PublishedAt is when the control thread made this snapshot.
	PublishedAt time.Time
	// ConfigVerified is true if Config has been compared with the version of the
	// store or the peers since the daemon started or was last suspended.
	ConfigVerified bool
	// Fleet holds the known state of every host, for operators.
	Fleet Fleet
	// Ready holds the ready daemons, including this one if it is ready.
	Ready []membership.Member
	// Steer is the routing table of requests; nil while Config is nil.
	Steer *steer.Table
	// Lookup is the directory of the entry hosts that lookups return to callers; nil
	// while Config is nil.
	Lookup *lookup.Directory
	// Members holds all daemons with a recent heartbeat, without this one.
	Members []membership.Member
}

// Fleet is what a daemon knows of every host that is in the platform's host list or
// has sent a heartbeat.
type Fleet struct {
	// ListedAt is when the host list was last read, or zero if it never was.
	ListedAt time.Time
	// Hosts holds the other hosts, ordered by name.
	Hosts []Host
}

// Host is the state of one entry host as known to another daemon.
type Host struct {
	Name, Zone string
	// Listed is true if the host is in the platform's host list.
	Listed bool
	// LastReport is the latest state that the host has reported of itself. Its
	// Instance is "" if there is none.
	LastReport membership.Member
	// KnownSince is when the host was first listed or first sent a heartbeat.
	KnownSince time.Time
}

// Publisher holds the latest snapshot of the control thread. It is safe for
// concurrent use.
type Publisher struct {
	p atomic.Pointer[Snapshot]
}

// Store publishes a snapshot.
func (p *Publisher) Store(s *Snapshot) { p.p.Store(s) }

// Load returns the latest snapshot; it is never nil.
func (p *Publisher) Load() *Snapshot {
	if s := p.p.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// MaxAge is the age from which a snapshot is no longer current. The control
// thread publishes one at least every 100 ms, so an older snapshot means that the
// process was suspended. The bound is thirty publication intervals, which a host does
// not miss even under load, and not longer than a change takes to propagate.
const MaxAge = 3 * time.Second

// Current reports whether requests may be admitted with this snapshot: its
// configuration has been compared with the version of the store or the peers, and
// the process has not been suspended since.
func (s *Snapshot) Current(now time.Time) bool {
	return s.Config != nil && s.ConfigVerified && now.Sub(s.PublishedAt) <= MaxAge
}

// OwnsKey reports whether a key belongs to the customer in the active configuration.
func (s *Snapshot) OwnsKey(digest config.Digest, customer string) bool {
	if s.Config == nil {
		return false
	}
	owner, ok := s.Config.Owner(digest)
	return ok && owner.Customer == customer
}

// Find returns the daemon with the given instance name.
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
