package front

import (
	"errors"
	"time"

	"balsambarrow/internal/catalog"
)

// State is an immutable snapshot of what the control thread knows.
type State struct {
	// Catalog is the configuration in force; nil until one is loaded.
	Catalog *catalog.Catalog
	// OutdatedSince is when Catalog was last known to be the newest version, if the host cannot use a
	// newer one; zero otherwise.
	OutdatedSince time.Time
	// ConfirmedAt is the latest time at which Catalog was known to be the newest
	// version.
	ConfirmedAt time.Time
	// ConfirmedBy is what confirmed the state, and Revision the store's revision that it
	// describes. Both are for the log.
	ConfirmedBy string
	Revision    uint64
	// UpstreamsKnown is set while the list of upstreams is loaded.
	UpstreamsKnown bool
	// Standby is set while other hosts serve the callers. The state of a standby
	// host may be older than that of the active hosts.
	Standby bool
	// OthersReady is set while other hosts are known to be ready to serve callers.
	OthersReady bool
}

// Bounds are the configurable time limits of the handler.
type Bounds struct {
	// KeyMaxAge is how long keys are accepted after ConfirmedAt; 0: without
	// limit.
	KeyMaxAge time.Duration
}

// MaxStateAge is the age of the confirmed state from which a host leaves callers to other hosts
// that are ready. It allows for one watch and one slow response of the store, and is below the age
// up to which API keys are accepted.
const MaxStateAge = 3300 * time.Millisecond

const (
	// denyMaxAge is how long after ConfirmedAt a request may be denied because
	// its route or key is unknown. A host with an older configuration would deny
	// routes and keys that were added since. Such a denial means that a retry is
	// pointless, whereas the caller should retry later.
	denyMaxAge = 3200 * time.Millisecond
	// standbyMaxAge is the maximum age of the configuration with which a standby
	// host serves a caller that uses an outdated directory response. It covers one
	// interval between its confirmations and the age of a peer's state, and stays
	// below the age at which an active host reads the store: with an older list of
	// upstreams, the request might go to an upstream that was removed.
	standbyMaxAge = 2 * time.Second
	// loggedAge is the age of the configuration from which requests that it decided are logged. It
	// is the longest interval between two store reads of an active host.
	loggedAge = 1500 * time.Millisecond
	// refreshTimeout limits how long a caller of a standby host waits for a store
	// read. It allows three round trips to the farthest region.
	refreshTimeout = 350 * time.Millisecond
	// upstreamsTimeout limits how long a caller waits for a host that loads the list of
	// upstreams, which takes longer on a slow link than a retry at an active host.
	upstreamsTimeout = 700 * time.Millisecond
	// defaultTimeBudget is the time limit of a request for which neither the
	// caller nor the route specifies one.
	defaultTimeBudget = 30 * time.Second
)

// starting reports whether the state is not yet complete enough to admit any
// request.
func (s *State) starting() bool { return s.Catalog == nil || s.ConfirmedAt.IsZero() }

// sufficesAt reports whether requests can be sent to upstreams: they are known and were confirmed
// recently, or no other host can serve the callers. A process that was suspended finds the state
// from before.
func (s *State) sufficesAt(now time.Time) bool {
	switch {
	case !s.UpstreamsKnown:
		return false
	case s.Standby:
		return s.age(now) <= standbyMaxAge
	}
	return !s.OthersReady || s.age(now) < MaxStateAge
}

// Reasons for CauseStandby.
var (
	errNoActiveHost       = errors.New("no active host to copy upstreams from")
	errUpstreamsNotLoaded = errors.New("upstreams not loaded")
	errStateNotConfirmed  = errors.New("state not confirmed")
)

// insufficiency returns what keeps a state from sufficing; see sufficesAt.
func (s *State) insufficiency() error {
	if !s.UpstreamsKnown {
		return errUpstreamsNotLoaded
	}
	return errStateNotConfirmed
}

// age returns the time since the configuration was last confirmed.
func (s *State) age(now time.Time) time.Duration { return now.Sub(s.ConfirmedAt) }

// configurationAge returns the time since Catalog was last known to be the newest version.
func (s *State) configurationAge(now time.Time) time.Duration {
	if s.OutdatedSince.IsZero() {
		return s.age(now)
	}
	return max(s.age(now), now.Sub(s.OutdatedSince))
}

// unusualAge reports whether the state that decided a request was confirmed longer before its arrival
// than while the store and the peers respond, or as of the future.
func (s *State) unusualAge(arrived, now time.Time) bool {
	return s.age(arrived) > loggedAge || s.age(now) < 0
}

// version returns the version of the configuration; 0 if there is none.
func (s *State) version() uint64 {
	if s.Catalog == nil {
		return 0
	}
	return s.Catalog.Version
}

// logPairs returns the state at a time as pairs of a log event.
func (s *State) logPairs(now time.Time) []any {
	return []any{"age", s.age(now), "version", s.version(), "confirmed_by", s.ConfirmedBy, "revision", s.Revision}
}
