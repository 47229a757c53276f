package follow

import (
	"time"

	"balsambarrow/internal/catalog"
)

// returnGrace is how long after an outage of the store entries may be missing
// whose upstreams live: the platform says two seconds, and a heartbeat's way. It
// cannot be told from a cut of this host alone, in which those upstreams have
// left, so it must not be longer.
const returnGrace = 2100 * time.Millisecond

// UpstreamRegistry knows which upstreams are registered. An entry that goes missing in
// an outage of the store, or right after one, may only have lapsed: its upstream
// is kept until the grace has passed. It is not safe for concurrent use.
type UpstreamRegistry struct {
	entries map[string]catalog.Upstream
	missing map[string]time.Time
	// outage says that the last call failed; back is when one succeeded again.
	outage bool
	back   time.Time
}

// NewUpstreamRegistry returns an empty roster.
func NewUpstreamRegistry() *UpstreamRegistry {
	return &UpstreamRegistry{entries: map[string]catalog.Upstream{}, missing: map[string]time.Time{}}
}

// StoreFailed notes that the store could not be reached.
func (r *UpstreamRegistry) StoreFailed() { r.outage = true }

// StoreReached notes that it was reached, before the changes that it brought.
func (r *UpstreamRegistry) StoreReached(now time.Time) {
	if r.outage {
		r.outage, r.back = false, now
	}
}

// Put takes an entry in; false if it is older than what is known.
func (r *UpstreamRegistry) Put(u catalog.Upstream) bool {
	if known, ok := r.entries[u.ID]; ok && !u.Newer(known) {
		return false
	}
	r.entries[u.ID] = u
	delete(r.missing, u.ID)
	return true
}

// EntryRemoved notes that an entry is missing, and tells whether the upstream is to be
// left at once.
func (r *UpstreamRegistry) EntryRemoved(now time.Time, id string) bool {
	if _, ok := r.entries[id]; !ok {
		return false
	}
	if until := r.back.Add(returnGrace); !r.back.IsZero() && now.Before(until) {
		if _, already := r.missing[id]; !already {
			r.missing[id] = until
		}
		return false
	}
	r.drop(id)
	return true
}

// Invalidate notes that an entry was overwritten by one that names no upstream.
func (r *UpstreamRegistry) Invalidate(id string) bool {
	_, known := r.entries[id]
	r.drop(id)
	return known
}

func (r *UpstreamRegistry) drop(id string) {
	delete(r.entries, id)
	delete(r.missing, id)
}

// RemoveExpired returns the upstreams whose grace has passed; they are to be left.
func (r *UpstreamRegistry) RemoveExpired(now time.Time) []string {
	var out []string
	for id, until := range r.missing {
		if !now.Before(until) {
			out = append(out, id)
			r.drop(id)
		}
	}
	return out
}

// Unlisted returns the known upstreams that a listing does not have.
func (r *UpstreamRegistry) Unlisted(listed map[string]bool) []string {
	var out []string
	for id := range r.entries {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}
