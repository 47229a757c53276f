package place

import "balsambarrow/internal/catalog"

// InstanceState is what registrations and announcements say of an instance of an upstream.
type InstanceState int

// States of an instance.
const (
	// InstanceServing: it is registered and takes requests.
	InstanceServing InstanceState = iota
	// InstanceLeaving: it stops as planned, or is not registered any more.
	InstanceLeaving
	// InstanceReplaced: another instance has started under its ID or at its address.
	InstanceReplaced
)

// Instance returns the state of the instance that was chosen, and its key; see RateLimitReport.Instance.
func (t *Table) Instance(c Choice) (state InstanceState, key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key = instanceKey(hash(c.ID), c.startedMs)
	w := t.byID[c.ID]
	switch {
	case w != nil && (w.StartedMs != c.startedMs || w.Address != c.Address):
		return InstanceReplaced, key
	case w != nil && w.State == catalog.StateReady && !w.announced.leaving.announced:
		return InstanceServing, key
	}
	return InstanceLeaving, key
}
