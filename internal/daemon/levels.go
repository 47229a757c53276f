package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/peer"
	"balsambarrow/internal/quota"
)

// levelsWait is how long tokens wait for the store to confirm their slot.
const levelsWait = 5 * time.Second

// slotTaker implements peer.DRPCHandoverServer for slots.
type slotTaker struct {
	peer.DRPCHandoverUnimplementedServer
	d *Daemon
}

// TakeSlots receives the levels of slots that a peer of the zone gave to this
// daemon.
func (t *slotTaker) TakeSlots(_ context.Context, in *peer.SlotHandover) (*peer.HandoverReply, error) {
	var levels []quota.Level
	for _, l := range in.Levels {
		levels = append(levels, quota.Level{Quota: l.Quota, Tokens: l.Tokens})
	}
	for _, slot := range in.Slots {
		t.d.control.send(slotGiven{slot: int(slot), levels: levels})
	}
	return &peer.HandoverReply{Taken: true}, nil
}

// slotGiven: a mate's entry in the store names this daemon from now on.
type slotGiven struct {
	slot   int
	levels []quota.Level
}

func (m slotGiven) apply(c *control) {
	now := time.Now()
	c.slots.levels[m.slot] = pendingLevels{levels: m.levels, until: now.Add(levelsWait)}
	c.slots.next = now
}

// adoptLevels adds the tokens of slots that this daemon holds by now. The
// shares were raised when the slot's snapshot was published.
func (c *control) adoptLevels(now time.Time) {
	if len(c.slots.levels) == 0 {
		return
	}
	for _, h := range c.custody().Usable(now) {
		pending, ok := c.slots.levels[h.Slot]
		if ok && c.published(h.Slot) {
			c.d.ledger.AddLevels(pending.levels, now)
			delete(c.slots.levels, h.Slot)
		}
	}
	for slot, pending := range c.slots.levels {
		if now.After(pending.until) {
			delete(c.slots.levels, slot)
		}
	}
}

func (c *control) published(slot int) bool {
	for _, s := range c.d.view.Load().Self.Slots {
		if s == slot {
			return true
		}
	}
	return false
}
