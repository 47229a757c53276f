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

// fastRoundInterval is the time between two rounds while slots are about to move: a
// mate joined or left, or a holder fell silent.
const fastRoundInterval = time.Second

// slotState is the control thread's part for slots.
type slotState struct {
	ownership       *membership.SlotOwnership
	leaseID         uint64
	nextRoundAt     time.Time
	roundInProgress bool
	// holderAddresses are the addresses of the daemons that the store names; a
	// holder that no list shows is still asked before its slot is taken.
	holderAddresses []string
	// readyPeers counts the zone's daemons, to see when one joins or leaves.
	readyPeers int
	// pendingLevels came with a hand-over and wait for their slots.
	pendingLevels map[int]pendingLevels
	// released is closed when a leaving daemon holds no slot any more.
	released chan struct{}
}

// pendingLevels are tokens that came with a slot which the store has not yet
// confirmed.
type pendingLevels struct {
	levels    []quota.Level
	expiresAt time.Time
}

func newSlotState() slotState { return slotState{pendingLevels: map[int]pendingLevels{}} }

// ownership is made at the first use: the daemon's own address is known only
// once it listens.
func (c *control) ownership() *membership.SlotOwnership {
	if c.slots.ownership == nil {
		self := membership.Holder{Instance: c.d.identity.Instance, PeerAddress: c.d.identity.PeerAddress}
		c.slots.ownership = membership.NewSlotOwnership(self, time.Now())
	}
	return c.slots.ownership
}

// detectSlotPause comes before everything else that the control thread does.
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

// releaseContestedSlots gives way to a mate that spends from the same slots.
func (c *control) releaseContestedSlots(m membership.Member, now time.Time) {
	if dropped := c.ownership().ResolveConflicts(m, now); len(dropped) > 0 {
		c.d.log.Error("slots_yielded", "to", m.Instance, "slots", dropped)
		c.slots.nextRoundAt = now
		c.publishPending = true
	}
}

// mates are the other daemons of the zone that are remembered.
func (c *control) zonePeers() []membership.Member {
	var peers []membership.Member
	for _, m := range c.members.table.All() {
		if m.Zone == c.d.identity.Zone {
			peers = append(peers, m)
		}
	}
	return peers
}

// countRemaining counts the mates that did not say that they leave.
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

func (c *control) startSlotRound(now time.Time) {
	c.slots.roundInProgress = true
	c.slots.nextRoundAt = now.Add(membership.LeaseRenewInterval)
	leaseID := c.slots.leaseID
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readSlots(ctx, leaseID)) })
}

// slotReadResult: the lease was renewed and the zone's entries were read.
type slotReadResult struct {
	leaseID uint64
	// renewedAt is when the call was sent that renewed the lease; zero if none
	// succeeded.
	renewedAt time.Time
	// reading is nil if the store was not read.
	reading *membership.SlotState
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
	result.reading = membership.ParseSlots(d.identity.Zone, l.Items)
	return result
}

// ensureLease renews the lease or gets a new one, with the entry that shows it.
// A grant whose answer is lost leaves a lease without entry, which lapses.
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
	if m.reading == nil {
		c.endSlotRound(now, false)
		return
	}
	c.slots.holderAddresses = m.reading.HolderAddresses()
	if dropped := c.ownership().Reconcile(m.reading); len(dropped) > 0 {
		c.d.log.Error("slots_dropped", "slots", dropped)
	}
	steps := c.planSlots(m.reading, now)
	writes := c.withdrawLevels(steps, now)
	if len(steps) == 0 {
		c.endSlotRound(now, true)
		return
	}
	c.d.spawn(func(ctx context.Context) { c.send(c.d.writeSlots(ctx, writes)) })
}

// planSlots leaves everything as it is between the start of a planned stop and
// the moment when no request runs any more.
func (c *control) planSlots(r *membership.SlotState, now time.Time) []membership.SlotWrite {
	leaving := c.slots.released != nil
	if c.state == membership.StateLeaving && !leaving {
		return nil
	}
	slots := c.activeConfig().Config.Zones[c.d.identity.Zone].Slots
	return c.ownership().Plan(membership.PlanInput{State: r, SlotCount: slots, ZonePeers: c.zonePeers(), Leaving: leaving}, now)
}

// slotWrite is a step with the bucket levels that go along.
type slotWrite struct {
	membership.SlotWrite
	levels []quota.Level
}

// withdrawLevels takes the levels out of the buckets of a leaving daemon, so that
// nobody spends them here any more, and parts them over the slots that it
// gives to mates. A slot that moves for balance starts empty at its new holder.
func (c *control) withdrawLevels(steps []membership.SlotWrite, now time.Time) []slotWrite {
	writes := make([]slotWrite, 0, len(steps))
	for _, s := range steps {
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
			fraction := quota.Level{Quota: l.Quota, Tokens: l.Tokens / float64(len(writes))}
			writes[i].levels = append(writes[i].levels, fraction)
		}
	}
	return writes
}

// slotWriteResults: the writes of a round ended.
type slotWriteResults struct{ results []slotWriteResult }

// slotWriteResult is how one write ended; revision is 0 if the store refused it or
// its outcome is unknown.
type slotWriteResult struct {
	step     membership.SlotWrite
	revision uint64
}

// writeSlots is the second half of a round.
func (d *Daemon) writeSlots(ctx context.Context, writes []slotWrite) slotWriteResults {
	var round slotWriteResults
	for _, write := range writes {
		revision, err := d.writeSlot(ctx, write)
		if err != nil {
			d.log.Warn("slot_not_written", "slot", write.Slot, "err", err)
			round.results = append(round.results, slotWriteResult{step: write.SlotWrite})
			continue
		}
		round.results = append(round.results, slotWriteResult{step: write.SlotWrite, revision: revision})
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

// sendLevels tells the new holder that a slot is its own, with the levels. It
// is sent once: levels that are lost on the way are lost tokens, sent twice
// they would be made.
func (d *Daemon) sendLevels(ctx context.Context, write slotWrite) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := &peer.SlotHandover{From: d.identity.Instance, Slots: []uint32{uint32(write.Slot)}}
	for _, l := range write.levels {
		message.Levels = append(message.Levels, &peer.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	if _, err := peer.NewDRPCHandoverClient(d.conns.Conn(ctx, write.Holder.PeerAddress)).TakeSlots(ctx, message); err != nil {
		d.log.Warn("levels_not_passed", "slot", write.Slot, "to", write.Holder.Instance, "err", err)
	}
}

func (m slotWriteResults) apply(c *control) {
	now := time.Now()
	started := 0
	for _, r := range m.results {
		if c.ownership().RecordWrite(r.step, r.revision, now) {
			started++
		}
	}
	c.d.log.Info("slots_changed", "started", started, "held", len(c.ownership().Usable(now)))
	// The next reading shows what became of the writes.
	c.endSlotRound(now, false)
}

// endSlotRound closes a round; a settled zone is looked at again when the
// lease is due, an unsettled one soon.
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

// zonePeerUnresponsive tells whether a mate of the zone is silent and may be taken
// over from soon.
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
