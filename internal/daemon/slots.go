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

// hurryEvery is the time between two rounds while slots are about to move: a
// mate joined or left, or a holder fell silent.
const hurryEvery = time.Second

// slotState is the control thread's part for slots.
type slotState struct {
	custody *membership.SlotOwnership
	lease   uint64
	next    time.Time
	busy    bool
	// holders are the addresses of the daemons that the store names; a
	// holder that no list shows is still asked before its slot is taken.
	holders []string
	// ready counts the zone's daemons, to see when one joins or leaves.
	ready int
	// levels came with a hand-over and wait for their slots.
	levels map[int]pendingLevels
	// givenUp is closed when a leaving daemon holds no slot any more.
	givenUp chan struct{}
}

// pendingLevels are tokens that came with a slot which the store has not yet
// confirmed.
type pendingLevels struct {
	levels []quota.Level
	until  time.Time
}

func newSlotState() slotState { return slotState{levels: map[int]pendingLevels{}} }

// custody is made at the first use: the daemon's own address is known only
// once it listens.
func (c *control) custody() *membership.SlotOwnership {
	if c.slots.custody == nil {
		self := membership.Holder{Instance: c.d.identity.Instance, PeerAddress: c.d.identity.PeerAddress}
		c.slots.custody = membership.NewSlotOwnership(self, time.Now())
	}
	return c.slots.custody
}

// guardSlots comes before everything else that the control thread does.
func (c *control) guardSlots(now time.Time) {
	if c.custody().DetectPause(now) {
		c.d.log.Warn("paused", "slots", "suspended")
		c.slots.next = now
	}
}

func (c *control) tickSlots(now time.Time) {
	mates := c.mates()
	if c.custody().DetectIsolation(c.members.table.LastHeartbeat(), staying(mates), now) {
		c.d.log.Warn("isolated", "slots", "suspended")
	}
	c.adoptLevels(now)
	ready := readyMates(mates, now)
	if ready != c.slots.ready {
		c.slots.ready = ready
		c.slots.next = now
	}
	due := !c.slots.busy && !now.Before(c.slots.next)
	if due && c.active() != nil && c.state != membership.StateStarting {
		c.startSlotRound(now)
	}
}

// yieldSlots gives way to a mate that spends from the same slots.
func (c *control) yieldSlots(m membership.Member, now time.Time) {
	if dropped := c.custody().ResolveConflicts(m, now); len(dropped) > 0 {
		c.d.log.Error("slots_yielded", "to", m.Instance, "slots", dropped)
		c.slots.next = now
		c.news = true
	}
}

// mates are the other daemons of the zone that are remembered.
func (c *control) mates() []membership.Member {
	var out []membership.Member
	for _, m := range c.members.table.All() {
		if m.Zone == c.d.identity.Zone {
			out = append(out, m)
		}
	}
	return out
}

// staying counts the mates that did not say that they leave.
func staying(mates []membership.Member) int {
	n := 0
	for _, m := range mates {
		if m.State != membership.StateLeaving {
			n++
		}
	}
	return n
}

func readyMates(mates []membership.Member, now time.Time) int {
	n := 0
	for _, m := range mates {
		if m.State == membership.StateReady && now.Sub(m.HeartbeatAt) <= membership.MemberTimeout {
			n++
		}
	}
	return n
}

func (c *control) startSlotRound(now time.Time) {
	c.slots.busy = true
	c.slots.next = now.Add(membership.LeaseRenewInterval)
	lease := c.slots.lease
	c.d.spawn(func(ctx context.Context) { c.send(c.d.readSlots(ctx, lease)) })
}

// slotsRead: the lease was renewed and the zone's entries were read.
type slotsRead struct {
	lease uint64
	// renewed is when the call was sent that renewed the lease; zero if none
	// succeeded.
	renewed time.Time
	// reading is nil if the store was not read.
	reading *membership.SlotState
}

// readSlots is the first half of a round.
func (d *Daemon) readSlots(ctx context.Context, lease uint64) slotsRead {
	out := slotsRead{lease: lease}
	sent := time.Now()
	lease, err := d.holdLease(ctx, lease)
	if err != nil {
		d.log.Warn("lease_not_held", "err", err)
		return out
	}
	out.lease, out.renewed = lease, sent
	l, err := d.store.List(ctx, membership.SlotPrefix(d.identity.Zone), false)
	if err != nil {
		d.log.Warn("slots_not_listed", "err", err)
		return out
	}
	out.reading = membership.ParseSlots(d.identity.Zone, l.Items)
	return out
}

// holdLease renews the lease or gets a new one, with the entry that shows it.
// A grant whose answer is lost leaves a lease without entry, which lapses.
func (d *Daemon) holdLease(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		err := d.store.Renew(ctx, lease)
		if !errors.Is(err, kv.ErrLeaseExpired) {
			return lease, err
		}
		d.log.Warn("lease_lapsed")
	}
	lease, err := d.store.Grant(ctx, membership.LeaseTTL)
	if err != nil {
		return 0, err
	}
	self := membership.Holder{Instance: d.identity.Instance, PeerAddress: d.identity.PeerAddress}
	if _, err := d.store.CompareAndSwap(ctx, membership.AliveKey(d.identity.Zone, lease), 0, self.Encode(), lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (m slotsRead) apply(c *control) {
	now := time.Now()
	c.slots.lease = m.lease
	if !m.renewed.IsZero() {
		c.custody().LeaseRenewed(m.renewed)
	}
	if m.reading == nil {
		c.endSlotRound(now, false)
		return
	}
	c.slots.holders = m.reading.HolderAddresses()
	if dropped := c.custody().Reconcile(m.reading); len(dropped) > 0 {
		c.d.log.Error("slots_dropped", "slots", dropped)
	}
	steps := c.planSlots(m.reading, now)
	gifts := c.withdraw(steps, now)
	if len(steps) == 0 {
		c.endSlotRound(now, true)
		return
	}
	c.d.spawn(func(ctx context.Context) { c.send(c.d.writeSlots(ctx, gifts)) })
}

// planSlots leaves everything as it is between the start of a planned stop and
// the moment when no request runs any more.
func (c *control) planSlots(r *membership.SlotState, now time.Time) []membership.SlotWrite {
	leaving := c.slots.givenUp != nil
	if c.state == membership.StateLeaving && !leaving {
		return nil
	}
	slots := c.active().Config.Zones[c.d.identity.Zone].Slots
	return c.custody().Plan(membership.PlanInput{State: r, SlotCount: slots, ZonePeers: c.mates(), Leaving: leaving}, now)
}

// gift is a step with the bucket levels that go along.
type gift struct {
	membership.SlotWrite
	levels []quota.Level
}

// withdraw takes the levels out of the buckets of a leaving daemon, so that
// nobody spends them here any more, and parts them over the slots that it
// gives to mates. A slot that moves for balance starts empty at its new holder.
func (c *control) withdraw(steps []membership.SlotWrite, now time.Time) []gift {
	gifts := make([]gift, 0, len(steps))
	for _, s := range steps {
		gifts = append(gifts, gift{SlotWrite: s})
	}
	if c.slots.givenUp == nil || len(gifts) == 0 {
		return gifts
	}
	levels, clean := c.d.ledger.Surrender(now)
	if !clean {
		return gifts
	}
	for i := range gifts {
		for _, l := range levels {
			part := quota.Level{Quota: l.Quota, Tokens: l.Tokens / float64(len(gifts))}
			gifts[i].levels = append(gifts[i].levels, part)
		}
	}
	return gifts
}

// slotsWritten: the writes of a round ended.
type slotsWritten struct{ results []slotResult }

// slotResult is how one write ended; revision is 0 if the store refused it or
// its outcome is unknown.
type slotResult struct {
	step     membership.SlotWrite
	revision uint64
}

// writeSlots is the second half of a round.
func (d *Daemon) writeSlots(ctx context.Context, gifts []gift) slotsWritten {
	var out slotsWritten
	for _, g := range gifts {
		revision, err := d.writeSlot(ctx, g)
		if err != nil {
			d.log.Warn("slot_not_written", "slot", g.Slot, "err", err)
			out.results = append(out.results, slotResult{step: g.SlotWrite})
			continue
		}
		out.results = append(out.results, slotResult{step: g.SlotWrite, revision: revision})
		if g.Holder.Instance != "" && g.Holder.Instance != d.identity.Instance {
			d.passLevels(ctx, g)
		}
	}
	return out
}

func (d *Daemon) writeSlot(ctx context.Context, g gift) (uint64, error) {
	key := membership.SlotKey(d.identity.Zone, g.Slot)
	if g.Holder.Instance == "" {
		return 0, d.store.Delete(ctx, key, g.Revision)
	}
	return d.store.CompareAndSwap(ctx, key, g.Revision, g.Holder.Encode(), 0)
}

// passLevels tells the new holder that a slot is its own, with the levels. It
// is sent once: levels that are lost on the way are lost tokens, sent twice
// they would be made.
func (d *Daemon) passLevels(ctx context.Context, g gift) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := &peer.SlotHandover{From: d.identity.Instance, Slots: []uint32{uint32(g.Slot)}}
	for _, l := range g.levels {
		message.Levels = append(message.Levels, &peer.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	if _, err := peer.NewDRPCHandoverClient(d.conns.Conn(ctx, g.Holder.PeerAddress)).TakeSlots(ctx, message); err != nil {
		d.log.Warn("levels_not_passed", "slot", g.Slot, "to", g.Holder.Instance, "err", err)
	}
}

func (m slotsWritten) apply(c *control) {
	now := time.Now()
	started := 0
	for _, r := range m.results {
		if c.custody().RecordWrite(r.step, r.revision, now) {
			started++
		}
	}
	c.d.log.Info("slots_changed", "started", started, "held", len(c.custody().Usable(now)))
	// The next reading shows what became of the writes.
	c.endSlotRound(now, false)
}

// endSlotRound closes a round; a settled zone is looked at again when the
// lease is due, an unsettled one soon.
func (c *control) endSlotRound(now time.Time, settled bool) {
	c.slots.busy = false
	if !settled || c.holderSilent(now) {
		c.slots.next = earlier(c.slots.next, now.Add(hurryEvery))
	}
	if c.slots.givenUp == nil {
		return
	}
	c.slots.next = earlier(c.slots.next, now.Add(tickEvery))
	if settled {
		close(c.slots.givenUp)
		c.slots.givenUp = nil
		c.slots.next = now.Add(time.Hour)
	}
}

// holderSilent tells whether a mate of the zone is silent and may be taken
// over from soon.
func (c *control) holderSilent(now time.Time) bool {
	for _, m := range c.mates() {
		if now.Sub(m.HeartbeatAt) > membership.MemberTimeout && m.State != membership.StateLeaving {
			return true
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
