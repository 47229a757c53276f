package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/peer"
	"balsambarrow/internal/quota"
)

// pendingLevelsTTL is how long transferred tokens are kept until the store
// confirms that their slot belongs to this daemon.
const pendingLevelsTTL = 5 * time.Second

// slotReceiver implements the slot part of peer.DRPCHandoverServer.
type slotReceiver struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon
}

// TakeSlots receives the bucket levels of slots that a peer of the zone has
// transferred to this daemon.
func (r *slotReceiver) TakeSlots(_ context.Context, in *peer.SlotHandover) (*peer.HandoverReply, error) {
	var levels []quota.Level
	for _, l := range in.Levels {
		levels = append(levels, quota.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	for _, slot := range in.Slots {
		r.d.control.send(slotTransferred{slot: int(slot), levels: levels})
	}
	return &peer.HandoverReply{Taken: true}, nil
}

// slotTransferred reports that a peer has written the slot's store entry so
// that it names this daemon as the holder.
type slotTransferred struct {
	slot   int
	levels []quota.Level
}

func (m slotTransferred) apply(c *control) {
	now := time.Now()
	c.slots.pendingLevels[m.slot] = pendingLevels{levels: m.levels, expiresAt: now.Add(pendingLevelsTTL)}
	c.slots.nextRoundAt = now
}

// applyPendingLevels adds the transferred tokens of the slots that this daemon
// holds by now. A slot must be in the published snapshot first, because
// publishing raises the shares that limit the tokens.
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
