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
	// PublishedAt is when the control thread made this snapshot.
	PublishedAt time.Time
	// ConfigVerified says that Config was compared with the store's or the peers'
	// version since the daemon started or was last paused.
	ConfigVerified bool
	// Fleet is what is known of every host, for operators.
	Fleet Fleet
	// Ready are the ready daemons, this one included if it is ready.
	Ready []membership.Member
	// Steer says where requests run; nil while Config is.
	Steer *steer.Table
	// Lookup says which entry hosts callers are given; nil while Config is.
	Lookup *lookup.Directory
	// Members are all daemons heard of lately, without this one.
	Members []membership.Member
}

// Fleet is what a daemon knows of every host that is listed or was heard.
type Fleet struct {
	// ListedAt is when the host list was last read; zero: never.
	ListedAt time.Time
	// Hosts by name, without the daemon itself.
	Hosts []Host
}

// Host is one entry host as another daemon knows it.
type Host struct {
	Name, Zone string
	// Listed says that the platform's host list has it.
	Listed bool
	// LastReport is the newest account of itself; its Instance is "" if there is none.
	LastReport membership.Member
	// KnownSince is when the host was first listed or heard.
	KnownSince time.Time
}

// Publisher is where the control thread puts the snapshot.
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

// MaxAge is the age at which a snapshot no longer counts as current: the
// control thread makes one at least every 100 ms, so an older one means that
// the process was paused: thirty turns, which a loaded host does not miss, and
// no longer than a change takes to spread.
const MaxAge = 3 * time.Second

// Current tells whether requests may be admitted by this snapshot: its
// configuration was compared with the store's or the peers', and the process
// has not been paused since.
func (s *Snapshot) Current(now time.Time) bool {
	return s.Config != nil && s.ConfigVerified && now.Sub(s.PublishedAt) <= MaxAge
}

// OwnsKey tells whether a key is a customer's in the version in force.
func (s *Snapshot) OwnsKey(digest config.Digest, customer string) bool {
	if s.Config == nil {
		return false
	}
	owner, ok := s.Config.Owner(digest)
	return ok && owner.Customer == customer
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
