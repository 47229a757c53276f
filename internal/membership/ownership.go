package membership

import (
	"maps"
	"slices"
	"time"
)

// Timing of slot ownership. The order of these timeouts prevents two daemons
// from spending from the same slot: a paused or isolated holder stops within
// PauseThreshold or IsolationTimeout, and another daemon claims its slots only
// after HolderTimeout. The difference covers one heartbeat interval, the
// timeout of a call (1 s), and a reserve of 2 s for clock drift and scheduling.
const (
	// LeaseTTL is the time after which a lease expires unless it is renewed.
	LeaseTTL = 10 * time.Second
	// LeaseRenewInterval allows three attempts before the lease expires.
	LeaseRenewInterval = LeaseTTL / 3
	// LeaseMargin is subtracted from the lease's lifetime at the holder. It
	// covers clock drift and the network delay of the response.
	LeaseMargin = time.Second
	// PauseThreshold is the gap between two runs of the control thread above
	// which the daemon is considered to have been paused. It is much longer
	// than the gaps on a busy host, so that load alone does not suspend a
	// holder.
	PauseThreshold = 3 * time.Second
	// IsolationTimeout is the time without heartbeats from any peer after which
	// a daemon considers itself isolated from the network. It is eight
	// heartbeat intervals.
	IsolationTimeout = 8 * HeartbeatInterval
	// HolderTimeout is how long a zone receives no heartbeat from a holder
	// before another daemon claims its slots.
	HolderTimeout = 8 * time.Second
)

// HeldSlot is a slot from which this daemon may spend.
type HeldSlot struct {
	Slot int
	// Since is when spending started, or when it was confirmed after a pause.
	Since time.Time
}

// ownedSlot is a slot whose entry in the store names this daemon as holder.
type ownedSlot struct {
	revision      uint64
	spendingSince time.Time
}

// SlotOwnership decides from which slots of its zone this daemon spends. It is
// owned by the control thread.
//
// At most one daemon may spend from a slot, in spite of pauses, expired leases,
// lost responses and long outages of the store. Slot entries are not tied to a
// lease, so that holders continue to spend during a store outage. A daemon
// starts spending only after a compare-and-swap of its own, sent since its last
// suspension, has set it as holder: a concurrent compare-and-swap by another
// daemon then fails. Without the suspension, a holder that resumes after a
// pause would spend at the same time as the daemon that claimed its slot. The
// Promela model spec/slots.pml verifies the protocol.
type SlotOwnership struct {
	self Holder
	held map[int]ownedSlot
	// epoch counts suspensions. Results of writes from an earlier epoch are
	// ignored.
	epoch   uint64
	lastRun time.Time
	// listeningSince is the time since which this daemon has been able to
	// receive heartbeats without interruption.
	listeningSince time.Time
	leaseExpiry    time.Time
	// firstSeen is when each current holder, by instance, was first read from
	// the store.
	firstSeen map[string]time.Time
}

// NewSlotOwnership returns the state of a daemon that holds no slots.
func NewSlotOwnership(self Holder, now time.Time) *SlotOwnership {
	return &SlotOwnership{
		self: self, held: map[int]ownedSlot{}, lastRun: now, listeningSince: now,
		firstSeen: map[string]time.Time{},
	}
}

// DetectPause records that the control thread runs at now, and reports whether
// the daemon had been paused. It must be called before anything else in the
// run. The wall clock is compared as well as the monotonic clock, because the
// monotonic clock stops while a virtual machine is suspended.
func (o *SlotOwnership) DetectPause(now time.Time) (paused bool) {
	gap := max(now.Sub(o.lastRun), now.Round(0).Sub(o.lastRun.Round(0)))
	o.lastRun = now
	if gap <= PauseThreshold {
		return false
	}
	o.suspend()
	// Missing heartbeats count only while this daemon was able to receive them.
	o.listeningSince = now
	return true
}

// DetectIsolation suspends a daemon that receives no heartbeats at all and
// whose lease may have expired, if its zone has other daemons: they may be
// claiming its slots. It reports whether slots were dropped. A daemon that
// knows of no other daemon in its zone continues, because no other daemon could
// claim its slots.
func (o *SlotOwnership) DetectIsolation(lastHeartbeat time.Time, zonePeers int, now time.Time) (isolated bool) {
	if zonePeers == 0 || now.Before(o.leaseExpiry) || now.Sub(lastHeartbeat) <= IsolationTimeout {
		return false
	}
	o.listeningSince = now
	if len(o.held) == 0 {
		return false
	}
	o.suspend()
	return true
}

// ResolveConflicts compares the slots held here with those in the heartbeat of
// a zone peer. If both daemons spend from a slot, the one whose lease may have
// expired drops it at once, without waiting for its next read of the store. The
// conflict arises only if two daemons of one zone could not reach each other: a
// daemon without known zone peers cannot distinguish its own isolation from
// that of its entire zone, and continues to spend.
func (o *SlotOwnership) ResolveConflicts(m Member, now time.Time) (dropped []int) {
	if now.Before(o.leaseExpiry) {
		return nil
	}
	for _, slot := range m.Slots {
		if _, held := o.held[slot]; held {
			delete(o.held, slot)
			dropped = append(dropped, slot)
		}
	}
	return dropped
}

// suspend stops all spending until a compare-and-swap in the store confirms
// each slot. Responses to calls sent before the suspension are ignored.
func (o *SlotOwnership) suspend() {
	o.epoch++
	clear(o.held)
}

// LeaseRenewed records that the lease was granted or renewed by a call sent at
// sentAt.
func (o *SlotOwnership) LeaseRenewed(sentAt time.Time) {
	o.leaseExpiry = sentAt.Add(LeaseTTL - LeaseMargin)
}

// SpendUntil returns when spending must stop unless the control thread has run
// again. Traffic threads compare it with the current time when they spend,
// because after a pause they may run before the control thread does.
func (o *SlotOwnership) SpendUntil() time.Time { return o.lastRun.Add(PauseThreshold) }

// Usable returns, in order, the slots from which this daemon may spend at now.
func (o *SlotOwnership) Usable(now time.Time) []HeldSlot {
	if now.After(o.SpendUntil()) {
		return nil
	}
	slots := make([]HeldSlot, 0, len(o.held))
	for _, slot := range slices.Sorted(maps.Keys(o.held)) {
		slots = append(slots, HeldSlot{Slot: slot, Since: o.held[slot].spendingSince})
	}
	return slots
}

// Reconcile compares the held slots with the state read from the store, and
// drops the slots that are held by another daemon according to the store. That
// happens only if daemons of one zone could not reach each other.
func (o *SlotOwnership) Reconcile(state *SlotState) (dropped []int) {
	for slot, h := range o.held {
		e := state.Slots[slot]
		if e.Holder.Instance != o.self.Instance {
			delete(o.held, slot)
			dropped = append(dropped, slot)
			continue
		}
		h.revision = e.Revision
		o.held[slot] = h
	}
	return dropped
}

// RecordWrite records the result of a write and reports whether spending from
// its slot starts. revision is the entry's new revision, or 0 if the store
// rejected the write or the outcome is unknown. An unknown outcome changes
// nothing: the next read of the store shows the result.
func (o *SlotOwnership) RecordWrite(w SlotWrite, revision uint64, now time.Time) (started bool) {
	if revision == 0 || w.epoch != o.epoch || w.Holder.Instance != o.self.Instance {
		return false
	}
	o.held[w.Slot] = ownedSlot{revision: revision, spendingSince: now}
	return true
}

// holderUnresponsive reports whether no heartbeat of a holder was received for
// HolderTimeout while this daemon was able to receive heartbeats.
func (o *SlotOwnership) holderUnresponsive(instance string, heartbeatAt time.Time, now time.Time) bool {
	since := o.listeningSince
	if heartbeatAt.After(since) {
		since = heartbeatAt
	}
	if first, ok := o.firstSeen[instance]; ok && first.After(since) {
		since = first
	}
	return now.Sub(since) >= HolderTimeout
}

// recordHolders updates firstSeen from the holders in the store.
func (o *SlotOwnership) recordHolders(state *SlotState, now time.Time) {
	current := map[string]time.Time{}
	for _, e := range state.Slots {
		first, ok := o.firstSeen[e.Holder.Instance]
		if !ok {
			first = now
		}
		current[e.Holder.Instance] = first
	}
	o.firstSeen = current
}
