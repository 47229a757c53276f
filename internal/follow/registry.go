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
	// outage is true if the last call to the store failed. recoveredAt is when
	// a call succeeded again after the latest outage.
	outage      bool
	recoveredAt time.Time
}

// NewUpstreamRegistry returns an empty registry.
func NewUpstreamRegistry() *UpstreamRegistry {
	return &UpstreamRegistry{entries: map[string]catalog.Upstream{}, missing: map[string]time.Time{}}
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
}

// Put adds or updates an upstream. It returns false if the entry is older than the
// known one.
func (r *UpstreamRegistry) Put(u catalog.Upstream) bool {
	if known, ok := r.entries[u.ID]; ok && !u.Newer(known) {
		return false
	}
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
	return true
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
