package follow

import (
	"time"

	"balsambarrow/internal/catalog"
)

// reregistrationGrace is how long after a store outage the entry of a live upstream
// may be missing: the platform gives upstreams two seconds to register again, and a
// heartbeat needs some time on the network. It must not be longer: an outage looks
// the same as a partition of this host alone, during which missing upstreams have
// really left.
const reregistrationGrace = 2100 * time.Millisecond

// UpstreamRegistry holds the registered upstreams. An entry that goes missing during
// or shortly after a store outage may merely have expired, so its upstream is kept
// until a grace period has passed. UpstreamRegistry is not safe for concurrent use.
type UpstreamRegistry struct {
	entries map[string]catalog.Upstream
	// missing holds the end of the grace period of each upstream without an entry.
	missing map[string]time.Time
	// outdated holds the latest entry of each upstream that was ignored because it is older than the one in entries.
	outdated map[string]outdatedEntry
	// outage is true if the last call to the store failed. recoveredAt is when
	// a call succeeded again after the latest outage.
	outage      bool
	recoveredAt time.Time
}

// outdatedEntry is an entry that was ignored, and since when the store has held an older entry than the known one.
type outdatedEntry struct {
	entry catalog.Upstream
	since time.Time
}

// NewUpstreamRegistry returns an empty registry.
func NewUpstreamRegistry() *UpstreamRegistry {
	return &UpstreamRegistry{entries: map[string]catalog.Upstream{}, missing: map[string]time.Time{}, outdated: map[string]outdatedEntry{}}
}

// StoreFailed records that a call to the store failed.
func (r *UpstreamRegistry) StoreFailed() { r.outage = true }

// StoreReached records that a call to the store succeeded. It has to be called before
// the changes that the call returned are applied.
func (r *UpstreamRegistry) StoreReached(now time.Time) {
	if r.outage {
		r.outage, r.recoveredAt = false, now
	}
}

// Clear removes all upstreams.
func (r *UpstreamRegistry) Clear() {
	clear(r.entries)
	clear(r.missing)
	clear(r.outdated)
}

// Put adds or updates an upstream. It returns false if the entry is older than the
// known one; see TakeOverdue.
func (r *UpstreamRegistry) Put(now time.Time, u catalog.Upstream) bool {
	if known, ok := r.entries[u.ID]; ok && !u.Newer(known) {
		o, again := r.outdated[u.ID]
		if !again {
			o.since = now
		}
		o.entry = u
		r.outdated[u.ID] = o
		return false
	}
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
	delete(r.outdated, u.ID)
	return true
}

// TakeOverdue removes the upstreams whose known entry has not been confirmed for as long as given, although the store
// holds an older one, and returns the entries that the store holds, to be put in their place. An upstream
// that is alive confirms its entry with each heartbeat, so the known one is that of another writer, or of a clock that was
// ahead.
func (r *UpstreamRegistry) TakeOverdue(now time.Time, unconfirmed time.Duration) []catalog.Upstream {
	var out []catalog.Upstream
	for id, o := range r.outdated {
		if now.Sub(o.since) >= unconfirmed {
			out = append(out, o.entry)
			r.drop(id)
		}
	}
	return out
}

// EntryRemoved records that an upstream's entry is missing. It returns true if the
// upstream was removed at once, without a grace period.
func (r *UpstreamRegistry) EntryRemoved(now time.Time, id string) bool {
	if _, ok := r.entries[id]; !ok {
		return false
	}
	if graceEnd := r.recoveredAt.Add(reregistrationGrace); !r.recoveredAt.IsZero() && now.Before(graceEnd) {
		if _, already := r.missing[id]; !already {
			r.missing[id] = graceEnd
		}
		return false
	}
	r.drop(id)
	return true
}

// Invalidate removes an upstream whose entry was overwritten by an invalid one. It
// reports whether the upstream was known.
func (r *UpstreamRegistry) Invalidate(id string) bool {
	_, known := r.entries[id]
	r.drop(id)
	return known
}

func (r *UpstreamRegistry) drop(id string) {
	delete(r.entries, id)
	delete(r.missing, id)
	delete(r.outdated, id)
}

// RemoveExpired removes and returns the upstreams whose grace period has passed.
func (r *UpstreamRegistry) RemoveExpired(now time.Time) []string {
	var out []string
	for id, graceEnd := range r.missing {
		if !now.Before(graceEnd) {
			out = append(out, id)
			r.drop(id)
		}
	}
	return out
}
