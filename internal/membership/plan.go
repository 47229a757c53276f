package membership

import (
	"slices"
	"time"
)

// SlotWrite is one planned write of a slot entry to the store.
type SlotWrite struct {
	Slot int
	// Revision is the revision of the entry that the write replaces, or 0 if
	// there is no entry.
	Revision uint64
	// Holder is the new holder. The zero value deletes the entry.
	Holder Holder
	// Fraction is one divided by the number of slots held just before the slot
	// was transferred, or 0 for other writes. A leaving daemon does not use it:
	// it divides its bucket levels evenly among its writes of a round.
	Fraction float64
	// epoch is the epoch of the SlotOwnership in which the write was planned.
	epoch uint64
}

// PlanInput is the state from which a plan is computed.
type PlanInput struct {
	State *SlotState
	// SlotCount is the number of slots of the zone.
	SlotCount int
	// ZonePeers are the other known daemons of the zone, live or not.
	ZonePeers []Member
	// Leaving means that this daemon must release all its slots.
	Leaving bool
}

// Plan returns the writes of one round. Spending from a slot that the plan
// transfers has already stopped when Plan returns, before the store is updated.
//
// Slots are distributed evenly over the ready daemons of the zone, so that the
// callers of each daemon have access to a part of the quota, and the loss of
// one host affects only a small part. A daemon transfers a slot only to a
// daemon that has at least two fewer, so that slots do not move back and forth.
func (o *SlotOwnership) Plan(in PlanInput, now time.Time) []SlotWrite {
	o.recordHolders(in.State, now)
	p := &planner{ownership: o, PlanInput: in, now: now, slotCounts: map[string]int{}}
	p.collectRecipients()
	if in.Leaving {
		p.releaseAll()
		return p.writes
	}
	p.claimSlots()
	p.rebalance()
	return p.writes
}

// planner computes one plan.
type planner struct {
	PlanInput
	ownership *SlotOwnership
	now       time.Time
	// recipients are the daemons that may receive slots, ordered by instance.
	recipients []Holder
	// slotCounts is the number of slots of each instance after the planned
	// writes.
	slotCounts map[string]int
	writes     []SlotWrite
}

// collectRecipients sets recipients and counts the slots of each holder.
func (p *planner) collectRecipients() {
	if !p.Leaving {
		p.recipients = append(p.recipients, p.ownership.self)
	}
	for _, m := range p.ZonePeers {
		// A peer without a lease cannot reach the store, so it could not
		// confirm a slot that it receives.
		if m.State == StateReady && p.now.Sub(m.HeartbeatAt) <= MemberTimeout && p.State.Leased[m.Instance] {
			p.recipients = append(p.recipients, Holder{Instance: m.Instance, PeerAddress: m.PeerAddress})
		}
	}
	slices.SortFunc(p.recipients, func(a, b Holder) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	for _, e := range p.State.Slots {
		p.slotCounts[e.Holder.Instance]++
	}
}

// claimSlots confirms the slots that the store assigns to this daemon and
// claims free ones up to an even share.
func (p *planner) claimSlots() {
	self := p.ownership.self
	share := (p.SlotCount + len(p.recipients) - 1) / len(p.recipients)
	for slot := range p.SlotCount {
		e, exists := p.State.Slots[slot]
		if _, held := p.ownership.held[slot]; held {
			continue
		}
		// The entry also names this daemon if the response to an earlier claim
		// was lost. The compare-and-swap confirms the claim.
		if e.Holder.Instance == self.Instance {
			p.addWrite(slot, e.Revision, self)
			continue
		}
		if (!exists || p.holderStopped(e.Holder)) && p.slotCounts[self.Instance] < share {
			p.slotCounts[self.Instance]++
			p.addWrite(slot, e.Revision, self)
		}
	}
}

// holderStopped reports whether a holder has certainly stopped spending.
func (p *planner) holderStopped(h Holder) bool {
	var heartbeatAt time.Time
	for _, m := range p.ZonePeers {
		if m.Instance == h.Instance {
			heartbeatAt = m.HeartbeatAt
		}
	}
	return !p.State.Leased[h.Instance] && p.ownership.holderUnresponsive(h.Instance, heartbeatAt, p.now)
}

// rebalance releases slots that the zone no longer has, and transfers slots to
// daemons with fewer. All daemons compute the same moves from the same state,
// and each carries out the moves of its own slots.
func (p *planner) rebalance() {
	for slot := range p.ownership.held {
		if slot >= p.SlotCount {
			p.transfer(slot, Holder{})
		}
	}
	for {
		most, fewest := p.mostAndFewest()
		if p.slotCounts[most.Instance]-p.slotCounts[fewest.Instance] < 2 {
			return
		}
		p.slotCounts[most.Instance]--
		p.slotCounts[fewest.Instance]++
		if most.Instance != p.ownership.self.Instance {
			continue
		}
		slot, ok := p.highestHeldSlot()
		if !ok {
			return
		}
		p.transfer(slot, fewest)
	}
}

// mostAndFewest returns the recipients with the most and with the fewest slots.
func (p *planner) mostAndFewest() (most, fewest Holder) {
	most, fewest = p.recipients[0], p.recipients[0]
	for _, h := range p.recipients[1:] {
		if p.slotCounts[h.Instance] > p.slotCounts[most.Instance] {
			most = h
		}
		if p.slotCounts[h.Instance] < p.slotCounts[fewest.Instance] {
			fewest = h
		}
	}
	return most, fewest
}

// releaseAll transfers every slot of this daemon to the recipient that has the
// fewest slots, or frees the slot if there is no recipient.
func (p *planner) releaseAll() {
	for slot, e := range p.State.Slots {
		if e.Holder.Instance != p.ownership.self.Instance {
			continue
		}
		recipient := Holder{}
		if len(p.recipients) > 0 {
			_, recipient = p.mostAndFewest()
			p.slotCounts[recipient.Instance]++
		}
		if _, held := p.ownership.held[slot]; held {
			p.transfer(slot, recipient)
			continue
		}
		p.addWrite(slot, e.Revision, recipient)
	}
}

func (p *planner) highestHeldSlot() (int, bool) {
	highest, ok := 0, false
	for slot := range p.ownership.held {
		if !ok || slot > highest {
			highest, ok = slot, true
		}
	}
	return highest, ok
}

// transfer stops spending from a slot and plans the write that changes its
// entry.
func (p *planner) transfer(slot int, recipient Holder) {
	fraction := 1 / float64(len(p.ownership.held))
	h := p.ownership.held[slot]
	delete(p.ownership.held, slot)
	p.addWrite(slot, h.revision, recipient)
	p.writes[len(p.writes)-1].Fraction = fraction
}

func (p *planner) addWrite(slot int, revision uint64, holder Holder) {
	p.writes = append(p.writes, SlotWrite{Slot: slot, Revision: revision, Holder: holder, epoch: p.ownership.epoch})
}
