package membership

import (
	"slices"
	"time"
)

// SlotWrite is one write to the store that the plan asks for.
type SlotWrite struct {
	Slot int
	// Revision is the entry's revision that the write replaces; 0: there is none.
	Revision uint64
	// Holder is the holder from then on; the zero value deletes the entry.
	Holder Holder
	// Fraction is what the slot was of the slots held, for a hand-over: it says
	// which part of each bucket's level goes along.
	Fraction float64
	epoch    uint64
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	State *SlotState
	// SlotCount is how many slots the zone has.
	SlotCount int
	// ZonePeers are the other daemons of the zone that are known, live or not.
	ZonePeers []Member
	// Leaving: this daemon is to give away all it holds.
	Leaving bool
}

// Plan returns the writes of one round. Slots that it gives away are not
// usable any more when it returns: the store hears of it only afterwards.
//
// Slots are spread evenly over the zone's ready daemons, so that each one's
// callers find a part of the quota and the loss of one host loses a small
// part. A daemon gives only where another has at least two fewer, so that no
// slot moves to and fro.
func (c *SlotOwnership) Plan(r PlanInput, now time.Time) []SlotWrite {
	c.noteHolders(r.State, now)
	p := &plan{custody: c, PlanInput: r, now: now, count: map[string]int{}}
	p.countSlots()
	if r.Leaving {
		p.giveAll()
		return p.steps
	}
	p.claimAll()
	p.giveExcess()
	return p.steps
}

// plan is the making of one plan.
type plan struct {
	PlanInput
	custody *SlotOwnership
	now     time.Time
	// takers are the daemons that slots may go to, by instance.
	takers []Holder
	count  map[string]int
	steps  []SlotWrite
}

func (p *plan) countSlots() {
	if !p.Leaving {
		p.takers = append(p.takers, p.custody.self)
	}
	for _, m := range p.ZonePeers {
		// A mate without a lease does not reach the store and could not
		// confirm what it is given.
		if m.State == StateReady && p.now.Sub(m.HeartbeatAt) <= MemberTimeout && p.State.Leased[m.Instance] {
			p.takers = append(p.takers, Holder{Instance: m.Instance, PeerAddress: m.PeerAddress})
		}
	}
	slices.SortFunc(p.takers, func(a, b Holder) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	for _, e := range p.State.Slots {
		p.count[e.Holder.Instance]++
	}
}

// claimAll confirms slots that the store gives to this daemon and takes free
// ones up to an even share.
func (p *plan) claimAll() {
	self := p.custody.self
	share := (p.SlotCount + len(p.takers) - 1) / len(p.takers)
	for slot := range p.SlotCount {
		e, entered := p.State.Slots[slot]
		if _, held := p.custody.held[slot]; held {
			continue
		}
		// Also a claim whose answer was lost comes back here: the entry
		// names this daemon, and the swap makes sure of it.
		if e.Holder.Instance == self.Instance {
			p.add(slot, e.Revision, self)
			continue
		}
		if (!entered || p.gone(e.Holder)) && p.count[self.Instance] < share {
			p.count[self.Instance]++
			p.add(slot, e.Revision, self)
		}
	}
}

// gone tells whether a holder certainly does not spend any more.
func (p *plan) gone(h Holder) bool {
	var heard time.Time
	for _, m := range p.ZonePeers {
		if m.Instance == h.Instance {
			heard = m.HeartbeatAt
		}
	}
	return !p.State.Leased[h.Instance] && p.custody.silent(h.Instance, heard, p.now)
}

// giveExcess gives to those with fewer slots. Every daemon works out the same
// moves from the same reading and makes its own of them.
func (p *plan) giveExcess() {
	for slot := range p.custody.held {
		if slot >= p.SlotCount {
			p.give(slot, Holder{})
		}
	}
	for {
		most, least := p.extremes()
		if p.count[most.Instance]-p.count[least.Instance] < 2 {
			return
		}
		p.count[most.Instance]--
		p.count[least.Instance]++
		if most.Instance != p.custody.self.Instance {
			continue
		}
		slot, ok := p.lastHeld()
		if !ok {
			return
		}
		p.give(slot, least)
	}
}

// extremes returns the takers with the most and with the fewest slots.
func (p *plan) extremes() (most, least Holder) {
	most, least = p.takers[0], p.takers[0]
	for _, h := range p.takers[1:] {
		if p.count[h.Instance] > p.count[most.Instance] {
			most = h
		}
		if p.count[h.Instance] < p.count[least.Instance] {
			least = h
		}
	}
	return most, least
}

// giveAll gives every slot to those with the fewest, or frees it where the
// zone has no other daemon.
func (p *plan) giveAll() {
	for slot, e := range p.State.Slots {
		if e.Holder.Instance != p.custody.self.Instance {
			continue
		}
		to := Holder{}
		if len(p.takers) > 0 {
			_, to = p.extremes()
			p.count[to.Instance]++
		}
		if _, held := p.custody.held[slot]; held {
			p.give(slot, to)
			continue
		}
		p.add(slot, e.Revision, to)
	}
}

func (p *plan) lastHeld() (int, bool) {
	last, ok := 0, false
	for slot := range p.custody.held {
		if !ok || slot > last {
			last, ok = slot, true
		}
	}
	return last, ok
}

// give stops spending from a slot and asks for the entry to be changed.
func (p *plan) give(slot int, to Holder) {
	part := 1 / float64(len(p.custody.held))
	h := p.custody.held[slot]
	delete(p.custody.held, slot)
	p.add(slot, h.revision, to)
	p.steps[len(p.steps)-1].Fraction = part
}

func (p *plan) add(slot int, at uint64, to Holder) {
	p.steps = append(p.steps, SlotWrite{Slot: slot, Revision: at, Holder: to, epoch: p.custody.epoch})
}
