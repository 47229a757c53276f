package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/kv"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/quota"
)

// fastRoundInterval is the time between two rounds while slots are expected to
// move, because a peer of the zone has joined or left or a holder has become
// unresponsive.
const fastRoundInterval = time.Second

// slotState is the control thread's state for slots.
type slotState struct {
	ownership       *membership.SlotOwnership
	leaseID         uint64
	nextRoundAt     time.Time
	roundInProgress bool
	// holderAddresses lists the addresses of the slot holders named by the
	// store. A holder that is in no other list must be contacted before its
	// slot is taken.
	holderAddresses []string
	// readyPeers is the number of ready peers of the zone. A change shows that
	// a peer has joined or left.
	readyPeers int
	// pendingLevels contains the levels that were transferred for slots which
	// the store has not confirmed yet, by slot.
	pendingLevels map[int]pendingLevels
	// released is closed when a leaving daemon holds no more slots.
	released chan struct{}
}

// pendingLevels are the tokens that were transferred with a slot which the
// store has not confirmed yet.
type pendingLevels struct {
	levels    []quota.Level
	expiresAt time.Time
}

func newSlotState() slotState { return slotState{pendingLevels: map[int]pendingLevels{}} }

// ownership returns the slot ownership state, which is created at the first use
// because the daemon's own address is known only after its listeners are open.
func (c *control) ownership() *membership.SlotOwnership {
	if c.slots.ownership == nil {
		self := membership.Holder{Instance: c.d.identity.Instance, PeerAddress: c.d.identity.PeerAddress}
		c.slots.ownership = membership.NewSlotOwnership(self, time.Now())
	}
	return c.slots.ownership
}

// detectSlotPause suspends the use of slots after a pause of the process. The
// control thread calls it before any other work.
func (c *control) detectSlotPause(now time.Time) {
	if c.ownership().DetectPause(now) {
		c.d.log.Warn("paused", "slots", "suspended")
		c.slots.nextRoundAt = now
	}
}

func (c *control) tickSlots(now time.Time) {
	peers := c.zonePeers()
	if c.ownership().DetectIsolation(c.members.table.LastHeartbeat(), countRemaining(peers), now) {
		c.d.log.Warn("isolated", "slots", "suspended")
	}
	c.applyPendingLevels(now)
	ready := countReady(peers, now)
	if ready != c.slots.readyPeers {
		c.slots.readyPeers = ready
		c.slots.nextRoundAt = now
	}
	due := !c.slots.roundInProgress && !now.Before(c.slots.nextRoundAt)
	if due && c.activeConfig() != nil && c.state != membership.StateStarting {
		c.startSlotRound(now)
	}
}

// releaseContestedSlots releases the slots that a peer of the zone also spends
// from, if this daemon's lease may have expired.
func (c *control) releaseContestedSlots(m membership.Member, now time.Time) {
	if dropped := c.ownership().ResolveConflicts(m, now); len(dropped) > 0 {
		c.d.log.Error("contested_slots_released", "to", m.Instance, "slots", dropped)
		c.slots.nextRoundAt = now
		c.publishPending = true
	}
}

// zonePeers returns the other known daemons of the zone, live or not.
func (c *control) zonePeers() []membership.Member {
	var peers []membership.Member
	for _, m := range c.members.table.All() {
		if m.Zone == c.d.identity.Zone {
			peers = append(peers, m)
		}
	}
	return peers
}

// countRemaining returns the number of peers that have not reported that they
// are leaving.
func countRemaining(peers []membership.Member) int {
	n := 0
	for _, m := range peers {
		if m.State != membership.StateLeaving {
			n++
		}
	}
	return n
}

func countReady(peers []membership.Member, now time.Time) int {
	n := 0
	for _, m := range peers {
		if m.State == membership.StateReady && now.Sub(m.HeartbeatAt) <= membership.MemberTimeout {
			n++
		}
	}
	return n
}

// startSlotRound starts a round. A round renews the lease, reads the zone's slot
// entries, and writes the planned changes to the store.
func (c *control) startSlotRound(now time.Time) {
	c.slots.roundInProgress = true
	c.slots.nextRoundAt = now.Add(membership.LeaseRenewInterval)
	leaseID := c.slots.leaseID
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readSlots(ctx, leaseID)) })
}

// slotReadResult reports that the first half of a slot round has ended:
// renewing the lease and reading the zone's slot entries.
type slotReadResult struct {
	leaseID uint64
	// renewedAt is when the call that renewed the lease was sent. It is zero if
	// no renewal succeeded.
	renewedAt time.Time
	// state is nil if the store could not be read.
	state *membership.SlotState
}

// readSlots is the first half of a round.
func (d *Daemon) readSlots(ctx context.Context, leaseID uint64) slotReadResult {
	result := slotReadResult{leaseID: leaseID}
	sentAt := time.Now()
	leaseID, err := d.ensureLease(ctx, leaseID)
	if err != nil {
		d.log.Warn("lease_not_held", "err", err)
		return result
	}
	result.leaseID, result.renewedAt = leaseID, sentAt
	l, err := d.store.List(ctx, membership.SlotPrefix(d.identity.Zone), false)
	if err != nil {
		d.log.Warn("slots_not_listed", "err", err)
		return result
	}
	result.state = membership.ParseSlots(d.identity.Zone, l.Items)
	return result
}

// ensureLease renews the lease. If the lease has expired, or if there is none,
// it requests a new lease and writes the entry that announces it. If the
// response to the grant is lost, the lease remains without an entry and
// expires.
func (d *Daemon) ensureLease(ctx context.Context, leaseID uint64) (uint64, error) {
	if leaseID != 0 {
		err := d.store.Renew(ctx, leaseID)
		if !errors.Is(err, kv.ErrLeaseExpired) {
			return leaseID, err
		}
		d.log.Warn("lease_lapsed")
	}
	leaseID, err := d.store.Grant(ctx, membership.LeaseTTL)
	if err != nil {
		return 0, err
	}
	self := membership.Holder{Instance: d.identity.Instance, PeerAddress: d.identity.PeerAddress}
	if _, err := d.store.CompareAndSwap(ctx, membership.AliveKey(d.identity.Zone, leaseID), 0, self.Encode(), leaseID); err != nil {
		return 0, err
	}
	return leaseID, nil
}

func (m slotReadResult) apply(c *control) {
	now := time.Now()
	c.slots.leaseID = m.leaseID
	if !m.renewedAt.IsZero() {
		c.ownership().LeaseRenewed(m.renewedAt)
	}
	if m.state == nil {
		c.endSlotRound(now, false)
		return
	}
	c.slots.holderAddresses = m.state.HolderAddresses()
	if dropped := c.ownership().Reconcile(m.state); len(dropped) > 0 {
		c.d.log.Error("slots_dropped", "slots", dropped)
	}
	planned := c.planSlots(m.state, now)
	writes := c.withdrawLevels(planned, now)
	if len(planned) == 0 {
		c.endSlotRound(now, true)
		return
	}
	c.d.spawn(func(ctx context.Context) { c.send(c.d.writeSlots(ctx, writes)) })
}

// planSlots plans the slot changes of a round. From the start of a planned stop
// until the last request has ended, the slots stay unchanged.
func (c *control) planSlots(state *membership.SlotState, now time.Time) []membership.SlotWrite {
	releasing := c.slots.released != nil
	if c.state == membership.StateLeaving && !releasing {
		return nil
	}
	slots := c.activeConfig().Config.Zones[c.d.identity.Zone].Slots
	return c.ownership().Plan(membership.PlanInput{State: state, SlotCount: slots, ZonePeers: c.zonePeers(), Leaving: releasing}, now)
}

// slotWrite is a planned write of a slot entry, with the bucket levels that are
// transferred together with the slot.
type slotWrite struct {
	membership.SlotWrite
	levels []quota.Level
}

// withdrawLevels removes the levels from the buckets of a leaving daemon, so
// that their tokens are no longer spent here, and divides them evenly among the
// slots that it releases. If parts of the shares are still lent, the levels are
// lost (see quota.Ledger.ReleaseLevels). A slot that moves for balance is empty
// at its new holder.
func (c *control) withdrawLevels(planned []membership.SlotWrite, now time.Time) []slotWrite {
	writes := make([]slotWrite, 0, len(planned))
	for _, s := range planned {
		writes = append(writes, slotWrite{SlotWrite: s})
	}
	if c.slots.released == nil || len(writes) == 0 {
		return writes
	}
	levels, clean := c.d.ledger.ReleaseLevels(now)
	if !clean {
		return writes
	}
	for i := range writes {
		for _, l := range levels {
			portion := quota.Level{Quota: l.Quota, Tokens: l.Tokens / float64(len(writes))}
			writes[i].levels = append(writes[i].levels, portion)
		}
	}
	return writes
}

// slotWriteResults reports that the writes of a round have ended.
type slotWriteResults struct{ results []slotWriteResult }

// slotWriteResult is the result of one write. revision is 0 if the store
// rejected the write or its outcome is unknown.
type slotWriteResult struct {
	write    membership.SlotWrite
	revision uint64
}

// writeSlots is the second half of a round.
func (d *Daemon) writeSlots(ctx context.Context, writes []slotWrite) slotWriteResults {
	var round slotWriteResults
	for _, write := range writes {
		revision, err := d.writeSlot(ctx, write)
		if err != nil {
			d.log.Warn("slot_not_written", "slot", write.Slot, "err", err)
			round.results = append(round.results, slotWriteResult{write: write.SlotWrite})
			continue
		}
		round.results = append(round.results, slotWriteResult{write: write.SlotWrite, revision: revision})
		if write.Holder.Instance != "" && write.Holder.Instance != d.identity.Instance {
			d.sendLevels(ctx, write)
		}
	}
	return round
}

func (d *Daemon) writeSlot(ctx context.Context, write slotWrite) (uint64, error) {
	key := membership.SlotKey(d.identity.Zone, write.Slot)
	if write.Holder.Instance == "" {
		return 0, d.store.Delete(ctx, key, write.Revision)
	}
	return d.store.CompareAndSwap(ctx, key, write.Revision, write.Holder.Encode(), 0)
}

// sendLevels notifies the new holder of a slot and transfers the levels. The
// message is sent only once. Levels that are lost in transit are lost tokens,
// whereas levels that arrived twice would create tokens.
func (d *Daemon) sendLevels(ctx context.Context, write slotWrite) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := &peer.SlotHandover{From: d.identity.Instance, Slots: []uint32{uint32(write.Slot)}}
	for _, l := range write.levels {
		message.Levels = append(message.Levels, &peer.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	if _, err := peer.NewDRPCHandoverClient(d.conns.Conn(ctx, write.Holder.PeerAddress)).TakeSlots(ctx, message); err != nil {
		d.log.Warn("levels_not_sent", "slot", write.Slot, "to", write.Holder.Instance, "err", err)
	}
}

func (m slotWriteResults) apply(c *control) {
	now := time.Now()
	started := 0
	for _, r := range m.results {
		if c.ownership().RecordWrite(r.write, r.revision, now) {
			started++
		}
	}
	c.d.log.Info("slots_changed", "started", started, "held", len(c.ownership().Usable(now)))
	// The next read of the store shows whether the writes succeeded.
	c.endSlotRound(now, false)
}

// endSlotRound ends a round. If the zone is settled, the next round starts when
// the lease must be renewed, otherwise after fastRoundInterval.
func (c *control) endSlotRound(now time.Time, settled bool) {
	c.slots.roundInProgress = false
	if !settled || c.zonePeerUnresponsive(now) {
		c.slots.nextRoundAt = minTime(c.slots.nextRoundAt, now.Add(fastRoundInterval))
	}
	if c.slots.released == nil {
		return
	}
	c.slots.nextRoundAt = minTime(c.slots.nextRoundAt, now.Add(tickInterval))
	if settled {
		close(c.slots.released)
		c.slots.released = nil
		c.slots.nextRoundAt = now.Add(time.Hour)
	}
}

// zonePeerUnresponsive reports whether a peer of the zone is unresponsive
// without having announced its leaving, so that its slots may soon be taken.
func (c *control) zonePeerUnresponsive(now time.Time) bool {
	for _, m := range c.zonePeers() {
		if now.Sub(m.HeartbeatAt) > membership.MemberTimeout && m.State != membership.StateLeaving {
			return true
		}
	}
	return false
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
