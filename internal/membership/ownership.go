package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing of the custody of slots. The order of the bounds is what keeps two
// daemons from spending from one slot: a paused or isolated holder stops
// within PauseThreshold or IsolationTimeout, a taker waits for HolderTimeout. Between
// them lie a beat, the bound of a call (1 s) and 2 s to spare for clock drift
// and scheduling.
const (
	// LeaseTTL is the life of a daemon's lease without renewal.
	LeaseTTL = 10 * time.Second
	// LeaseRenewInterval gives three tries before the lease lapses.
	LeaseRenewInterval = LeaseTTL / 3
	// LeaseMargin is subtracted from the holder's view of its lease: clock
	// drift and the way of the answer.
	LeaseMargin = time.Second
	// PauseThreshold is the gap between two runs of the control thread above which
	// the daemon counts as having been paused. Far above what a busy host
	// causes, so that load alone does not suspend a holder.
	PauseThreshold = 3 * time.Second
	// IsolationTimeout is the silence of everybody after which a daemon counts as
	// cut off from everything: eight beats.
	IsolationTimeout = 8 * HeartbeatInterval
	// HolderTimeout is how long a holder must be silent in its zone before
	// another daemon takes its slots.
	HolderTimeout = 8 * time.Second
)

// HeldSlot is a slot that this daemon spends from.
type HeldSlot struct {
	Slot int
	// Since is when spending from it began or was confirmed after a pause.
	Since time.Time
}

// holding is a slot that the store's entry gives to this daemon.
type holding struct {
	revision uint64
	since    time.Time
}

// SlotOwnership decides which slots of its zone this daemon spends from. It belongs
// to the control thread.
//
// The load pattern answered: pauses, lapsed leases, lost answers and long
// outages of the store. Entries in the store are not tied to a lease, so that
// holders go on through an outage. Spending starts only after a swap of this
// daemon's own, sent since its last suspension, named it: a taker's swap that
// is still on its way then fails. Without the suspension a paused holder that
// wakes would spend next to the one that took its slot. spec/slots.pml checks
// the protocol.
type SlotOwnership struct {
	self       Holder
	held       map[int]holding
	epoch      uint64
	lastRun    time.Time
	observing  time.Time
	leaseUntil time.Time
	seen       map[string]time.Time
}

// NewSlotOwnership returns the ownership of a daemon that holds nothing.
func NewSlotOwnership(self Holder, now time.Time) *SlotOwnership {
	return &SlotOwnership{
		self: self, held: map[int]holding{}, lastRun: now, observing: now,
		seen: map[string]time.Time{},
	}
}

// DetectPause notes that the control thread runs at now, before it does anything
// else, and reports whether the daemon had been paused. The wall clock is
// compared too: the monotonic one stands still while a virtual machine is
// suspended.
func (c *SlotOwnership) DetectPause(now time.Time) (paused bool) {
	gap := max(now.Sub(c.lastRun), now.Round(0).Sub(c.lastRun.Round(0)))
	c.lastRun = now
	if gap <= PauseThreshold {
		return false
	}
	c.suspend()
	// Silence of others while this daemon did not listen is no silence.
	c.observing = now
	return true
}

// DetectIsolation tells how the daemon is connected. A daemon whose zone has others,
// which hears nobody at all and whose lease may have lapsed, is suspended: the
// others may be taking its slots. It reports whether that happened. A daemon
// that knows of no other in its zone goes on: nobody could take them.
func (c *SlotOwnership) DetectIsolation(lastHeard time.Time, mates int, now time.Time) (isolated bool) {
	if mates == 0 || now.Before(c.leaseUntil) || now.Sub(lastHeard) <= IsolationTimeout {
		return false
	}
	c.observing = now
	if len(c.held) == 0 {
		return false
	}
	c.suspend()
	return true
}

// ResolveConflicts takes in a mate's account of itself. Where both spend from a slot, the
// one whose lease may have lapsed gives way at once, and does not wait for its
// next reading of the store. It happens only where two daemons of one zone
// could not reach each other: a lone daemon that is cut off cannot tell that
// from its whole zone being cut off, and goes on.
func (c *SlotOwnership) ResolveConflicts(m Member, now time.Time) (dropped []int) {
	if now.Before(c.leaseUntil) {
		return nil
	}
	for _, slot := range m.Slots {
		if _, held := c.held[slot]; held {
			delete(c.held, slot)
			dropped = append(dropped, slot)
		}
	}
	return dropped
}

// suspend stops all spending until the store confirms each slot by a swap.
// Answers to calls from before do not count any more.
func (c *SlotOwnership) suspend() {
	c.epoch++
	clear(c.held)
}

// LeaseRenewed notes a grant or renewal by a call that was sent at sent.
func (c *SlotOwnership) LeaseRenewed(sent time.Time) {
	c.leaseUntil = sent.Add(LeaseTTL - LeaseMargin)
}

// SpendUntil is when spending must stop unless the control thread ran again.
// Traffic threads compare it with the time at which they spend: after a pause
// they may run before the control thread does.
func (c *SlotOwnership) SpendUntil() time.Time { return c.lastRun.Add(PauseThreshold) }

// Usable returns the slots that may be spent from at now, in order.
func (c *SlotOwnership) Usable(now time.Time) []HeldSlot {
	if now.After(c.SpendUntil()) {
		return nil
	}
	out := make([]HeldSlot, 0, len(c.held))
	for _, slot := range slices.Sorted(maps.Keys(c.held)) {
		out = append(out, HeldSlot{Slot: slot, Since: c.held[slot].since})
	}
	return out
}

// Reconcile compares what is held with a reading of the store. A slot that is
// another's by the store is dropped; it happens only where daemons of one zone
// could not reach each other.
func (c *SlotOwnership) Reconcile(r *SlotState) (dropped []int) {
	for slot, h := range c.held {
		e := r.Slots[slot]
		if e.Holder.Instance != c.self.Instance {
			delete(c.held, slot)
			dropped = append(dropped, slot)
			continue
		}
		h.revision = e.Revision
		c.held[slot] = h
	}
	return dropped
}

// RecordWrite takes in how a step ended; revision is the entry's after a step that
// the store confirmed, and 0 if it refused or the outcome is unknown. Nothing
// is concluded from an unknown outcome: the next reading shows it.
func (c *SlotOwnership) RecordWrite(s SlotWrite, revision uint64, now time.Time) (started bool) {
	if revision == 0 || s.epoch != c.epoch || s.Holder.Instance != c.self.Instance {
		return false
	}
	c.held[s.Slot] = holding{revision: revision, since: now}
	return true
}

// silent tells whether a holder has been silent for the bound while this
// daemon was listening.
func (c *SlotOwnership) silent(instance string, heard time.Time, now time.Time) bool {
	since := c.observing
	if heard.After(since) {
		since = heard
	}
	if first, ok := c.seen[instance]; ok && first.After(since) {
		since = first
	}
	return now.Sub(since) >= HolderTimeout
}

// noteHolders remembers when each holder was first met in the store.
func (c *SlotOwnership) noteHolders(r *SlotState, now time.Time) {
	named := map[string]time.Time{}
	for _, e := range r.Slots {
		first, ok := c.seen[e.Holder.Instance]
		if !ok {
			first = now
		}
		named[e.Holder.Instance] = first
	}
	c.seen = named
}
