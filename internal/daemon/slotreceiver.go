package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/peer"
	"balsambarrow/internal/quota"
)

// pendingLevelsTTL is how long tokens wait for the store to confirm their slot.
const pendingLevelsTTL = 5 * time.Second

// slotReceiver implements peer.DRPCHandoverServer for slots.
type slotReceiver struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon
}

// TakeSlots receives the levels of slots that a peer of the zone gave to this
// daemon.
func (t *slotReceiver) TakeSlots(_ context.Context, in *peer.SlotHandover) (*peer.HandoverReply, error) {
	var levels []quota.Level
	for _, l := range in.Levels {
		levels = append(levels, quota.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	for _, slot := range in.Slots {
		t.d.control.send(slotTransferred{slot: int(slot), levels: levels})
	}
	return &peer.HandoverReply{Taken: true}, nil
}

// slotTransferred: a mate's entry in the store names this daemon from now on.
type slotTransferred struct {
	slot   int
	levels []quota.Level
}

func (m slotTransferred) apply(c *control) {
	now := time.Now()
	c.slots.pendingLevels[m.slot] = pendingLevels{levels: m.levels, expiresAt: now.Add(pendingLevelsTTL)}
	c.slots.nextRoundAt = now
}

// applyPendingLevels adds the tokens of slots that this daemon holds by now. The
// shares were raised when the slot's snapshot was published.
func (c *control) applyPendingLevels(now time.Time) {
	if len(c.slots.pendingLevels) == 0 {
		return
	}
	for _, h := range c.ownership().Usable(now) {
		pending, found := c.slots.pendingLevels[h.Slot]
		if found && c.isPublished(h.Slot) {
			c.d.ledger.AddLevels(pending.levels, now)
			delete(c.slots.pendingLevels, h.Slot)
		}
	}
	for slot, pending := range c.slots.pendingLevels {
		if now.After(pending.expiresAt) {
			delete(c.slots.pendingLevels, slot)
		}
	}
}

func (c *control) isPublished(slot int) bool {
	for _, s := range c.d.view.Load().Self.Slots {
		if s == slot {
			return true
		}
	}
	return false
}
