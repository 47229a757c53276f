package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/platform"
)

// slotPlan is what one round of store calls is to do.
type slotPlan struct {
	zone    string
	lease   string
	total   int
	holders int
	held    []int
}

// slotResult is what one round found.
type slotResult struct {
	lease    string
	renewed  time.Time
	lost     bool
	claimed  []int
	released []int
}

// slotState is the control thread's part for slots.
type slotState struct {
	slots *membership.Slots
	next  time.Time
	busy  bool
}

func newSlotState() slotState { return slotState{slots: membership.NewSlots()} }

func (c *control) tickSlots(now time.Time) {
	due := !c.slots.busy && !now.Before(c.slots.next)
	if due && c.active() != nil && c.state != membership.StateLeaving {
		c.startSlotRound(now)
	}
}

// slotRoundDone: one round of calls for the lease and slots ended.
type slotRoundDone struct{ result slotResult }

func (c *control) startSlotRound(now time.Time) {
	c.slots.busy = true
	c.slots.next = now.Add(membership.RenewEvery)
	zone := c.d.identity.Zone
	plan := slotPlan{
		zone: zone, lease: c.d.lease, total: c.active().Config.Zones[zone].Slots,
		holders: c.zoneHolders(now), held: c.slots.slots.Held(),
	}
	c.d.spawn(func(ctx context.Context) { c.send(slotRoundDone{c.d.slotRound(ctx, plan)}) })
}

// zoneHolders counts the daemons of the zone that share its slots.
func (c *control) zoneHolders(now time.Time) int {
	n := 1
	for _, m := range c.members.table.Live(now) {
		if m.Zone == c.d.identity.Zone && m.State == membership.StateReady {
			n++
		}
	}
	return n
}

func (m slotRoundDone) apply(c *control) {
	c.slots.busy = false
	r := m.result
	if r.lost {
		c.slots.slots.Lost()
	}
	c.d.lease = r.lease
	if !r.renewed.IsZero() {
		c.slots.slots.Renewed(r.renewed)
	}
	for _, s := range r.claimed {
		c.slots.slots.Claimed(s)
	}
	for _, s := range r.released {
		c.slots.slots.Released(s)
	}
	if len(r.claimed)+len(r.released) > 0 {
		c.d.log.Info("slots_changed", "claimed", len(r.claimed), "released", len(r.released), "held", len(c.slots.slots.Held()))
	}
}

func (d *Daemon) slotRound(ctx context.Context, p slotPlan) slotResult {
	result := slotResult{lease: p.lease}
	sent := time.Now()
	if err := d.holdLease(ctx, &result); err != nil {
		d.log.Warn("lease_not_held", "err", err)
		return result
	}
	result.renewed = sent
	entries, err := d.store.List(ctx, membership.SlotPrefix(p.zone))
	if err != nil {
		d.log.Warn("slots_not_listed", "err", err)
		return result
	}
	held := p.held
	if result.lost {
		held = nil
	}
	d.claim(ctx, p, held, entries, &result)
	return result
}

func (d *Daemon) holdLease(ctx context.Context, result *slotResult) error {
	if result.lease != "" {
		err := d.store.Renew(ctx, result.lease)
		if !errors.Is(err, platform.ErrLeaseLapsed) && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		result.lost = true
		d.log.Warn("lease_lapsed")
	}
	lease, err := d.store.Grant(ctx, membership.LeaseTTL)
	result.lease = lease
	return err
}

func (d *Daemon) claim(ctx context.Context, p slotPlan, held []int, entries []platform.Entry, result *slotResult) {
	slots := membership.NewSlots()
	for _, s := range held {
		slots.Claimed(s)
	}
	for _, slot := range slots.Wanted(freeSlots(p, entries), p.total, p.holders) {
		_, err := d.store.Swap(ctx, membership.SlotKey(p.zone, slot), 0, []byte(d.identity.Instance), result.lease)
		if err == nil {
			result.claimed = append(result.claimed, slot)
		}
	}
	revisions := map[string]uint64{}
	for _, e := range entries {
		revisions[e.Key] = e.Revision
	}
	for _, slot := range slots.Excess(p.total, p.holders) {
		key := membership.SlotKey(p.zone, slot)
		if d.store.Delete(ctx, key, revisions[key]) == nil {
			result.released = append(result.released, slot)
		}
	}
}

func freeSlots(p slotPlan, entries []platform.Entry) []int {
	taken := map[string]bool{}
	for _, e := range entries {
		taken[strings.TrimPrefix(e.Key, membership.SlotPrefix(p.zone))] = true
	}
	var free []int
	for slot := range p.total {
		if !taken[strings.TrimPrefix(membership.SlotKey(p.zone, slot), membership.SlotPrefix(p.zone))] {
			free = append(free, slot)
		}
	}
	return free
}
