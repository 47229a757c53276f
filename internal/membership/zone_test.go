package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simTick  = 100 * time.Millisecond
	simSlots = 4
	// callBound is the callers' bound of a call to the store.
	callBound = 2 * time.Second
)

// simStore is the store: entries by slot, leases by instance.
type simStore struct {
	down     bool
	slots    map[int]SlotEntry
	leases   map[string]time.Time
	revision uint64
}

func (s *simStore) swap(st SlotWrite) uint64 {
	if s.slots[st.Slot].Revision != st.Revision {
		return 0
	}
	s.revision++
	if st.Holder.Instance == "" {
		delete(s.slots, st.Slot)
		return s.revision
	}
	s.slots[st.Slot] = SlotEntry{Holder: st.Holder, Revision: s.revision}
	return s.revision
}

func (s *simStore) read(now time.Time) *SlotState {
	r := &SlotState{Slots: map[int]SlotEntry{}, Leased: map[string]bool{}}
	for slot, e := range s.slots {
		r.Slots[slot] = e
	}
	for instance, until := range s.leases {
		r.Leased[instance] = now.Before(until)
	}
	return r
}

// simCall is a call on its way: it takes effect at act and is answered at
// answer, unless the caller gave up before.
type simCall struct {
	act, answer, giveUp time.Time
	acted               bool
	do                  func(now time.Time)
	done                func(lost bool)
}

type simDaemon struct {
	custody  *SlotOwnership
	self     Member
	table    *Table
	paused   bool
	isolated bool
	dead     bool
	leaving  bool
	busy     *simCall
	next     time.Time
}

func (d *simDaemon) runs() bool { return !d.dead && !d.paused }

// failer is *testing.T or *rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

// simZone is a zone of daemons around one store, in simulated time.
type simZone struct {
	t failer
	// percent draws from 0 to 100.
	percent func() int
	now     time.Time
	store   *simStore
	daemons []*simDaemon
	flying  []*simCall
	// slowest is the longest way of a call; above callBound answers get lost.
	slowest time.Duration
}

func newSimZone(t failer, percent func() int, n int) *simZone {
	z := &simZone{
		t: t, now: time.Unix(1e9, 0), slowest: simTick, percent: percent,
		store: &simStore{slots: map[int]SlotEntry{}, leases: map[string]time.Time{}},
	}
	for range n {
		z.start()
	}
	return z
}

func (z *simZone) start() {
	id := fmt.Sprintf("d%d", len(z.daemons))
	m := Member{Instance: id, PeerAddress: id, Zone: "vt-a", State: StateReady}
	z.daemons = append(z.daemons, &simDaemon{
		self: m, table: NewTable(), custody: NewSlotOwnership(Holder{Instance: id, PeerAddress: id}, z.now), next: z.now,
	})
}

// advance runs the zone and checks the invariant after every tick.
func (z *simZone) advance(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(simTick)
		z.fly()
		for _, d := range z.daemons {
			if d.runs() {
				z.run(d)
			}
		}
		z.check()
	}
}

// fly lets calls take effect, also those that were given up.
func (z *simZone) fly() {
	z.flying = slices.DeleteFunc(z.flying, func(c *simCall) bool {
		if z.store.down || z.now.Before(c.act) {
			return false
		}
		c.do(z.now)
		c.acted = true
		return true
	})
}

func (z *simZone) call(d *simDaemon, do func(time.Time), done func(lost bool)) {
	way := func() time.Duration { return z.slowest * time.Duration(z.percent()) / 100 }
	c := &simCall{act: z.now.Add(way()), giveUp: z.now.Add(callBound), do: do, done: done}
	c.answer = c.act.Add(way())
	d.busy = c
	z.flying = append(z.flying, c)
}

func (z *simZone) run(d *simDaemon) {
	d.custody.DetectPause(z.now)
	z.hear(d)
	d.custody.DetectIsolation(d.table.LastHeartbeat(), len(d.table.All()), z.now)
	if c := d.busy; c != nil {
		switch {
		case c.acted && !z.now.Before(c.answer) && !d.isolated:
			d.busy = nil
			c.done(false)
		case z.now.After(c.giveUp):
			d.busy = nil
			c.done(true)
		}
		return
	}
	if !z.now.Before(d.next) && !d.isolated {
		d.next = z.now.Add(hurry)
		z.round(d)
	}
}

// hear lets the heartbeats of the others arrive, each twice a second.
func (z *simZone) hear(d *simDaemon) {
	for i, other := range z.daemons {
		due := z.now.Sub(time.Unix(0, 0))/simTick%5 == time.Duration(i%5)
		if due && other != d && other.runs() && !other.isolated && !d.isolated {
			m := other.self
			m.Sequence = uint64(z.now.UnixNano())
			for _, h := range other.custody.Usable(z.now) {
				m.Slots = append(m.Slots, h.Slot)
			}
			d.table.Update(m, z.now)
			d.custody.ResolveConflicts(m, z.now)
		}
	}
}

const hurry = time.Second

func (z *simZone) round(d *simDaemon) {
	var reading *SlotState
	sent := z.now
	z.call(d, func(now time.Time) {
		z.store.leases[d.self.Instance] = now.Add(LeaseTTL)
		reading = z.store.read(now)
	}, func(lost bool) {
		if lost {
			return
		}
		d.custody.LeaseRenewed(sent)
		d.custody.Reconcile(reading)
		z.write(d, d.custody.Plan(PlanInput{State: reading, SlotCount: simSlots, ZonePeers: d.table.All(), Leaving: d.leaving}, z.now))
	})
}

func (z *simZone) write(d *simDaemon, steps []SlotWrite) {
	if len(steps) == 0 {
		return
	}
	revision := uint64(0)
	z.call(d, func(time.Time) { revision = z.store.swap(steps[0]) }, func(lost bool) {
		if lost {
			revision = 0
		}
		d.custody.RecordWrite(steps[0], revision, z.now)
		z.write(d, steps[1:])
	})
}

// check: never two daemons spend from one slot.
func (z *simZone) check() {
	spender := map[int]string{}
	for _, d := range z.daemons {
		if !d.runs() {
			continue
		}
		for _, h := range d.custody.Usable(z.now) {
			if other, taken := spender[h.Slot]; taken {
				z.t.Fatalf("%s and %s both spend from slot %d at %v", other, d.self.Instance, h.Slot, z.now.Sub(time.Unix(1e9, 0)))
			}
			spender[h.Slot] = d.self.Instance
		}
	}
}

// spread returns how many slots each running daemon spends from.
func (z *simZone) spread() []int {
	var out []int
	for _, d := range z.daemons {
		if d.runs() && !d.leaving {
			out = append(out, len(d.custody.Usable(z.now)))
		}
	}
	slices.Sort(out)
	return out
}

// Daemons of a zone are paused, cut off, killed and started while the store is
// down, slow or loses answers. A customer must never be let spend one share at
// two daemons, and when the faults end all shares must be in use again, spread
// evenly.
func TestZoneKeepsOneSpenderPerSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		way := rapid.IntRange(0, 100)
		z := newSimZone(t, func() int { return way.Draw(t, "way") }, rapid.IntRange(1, 3).Draw(t, "daemons"))
		z.advance(5 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			z.fault(rapid.IntRange(0, 7).Draw(t, "fault"), z.daemons[rapid.IntRange(0, len(z.daemons)-1).Draw(t, "daemon")])
			z.advance(simTick * time.Duration(rapid.IntRange(1, 120).Draw(t, "then")))
		}
		z.store.down, z.slowest = false, simTick
		for _, d := range z.daemons {
			d.paused, d.isolated = false, false
		}
		z.advance(40 * time.Second)
		spread := z.spread()
		if len(spread) == 0 {
			return
		}
		sum := 0
		for _, n := range spread {
			sum += n
		}
		if sum != simSlots || spread[len(spread)-1]-spread[0] > 1 {
			t.Fatalf("after the faults the slots are spread %v", spread)
		}
	})
}

func (z *simZone) fault(kind int, d *simDaemon) {
	switch kind {
	case 0:
		d.paused = !d.paused
	case 1:
		// Excluded: a daemon that knows of no other cannot tell its own
		// isolation from its zone's.
		d.isolated = !d.isolated && len(d.table.All()) > 0
	case 2:
		d.dead = true
	case 3:
		if len(z.daemons) < 6 {
			z.start()
		}
	case 4:
		z.store.down = !z.store.down
	case 5:
		z.slowest = 3 * time.Second
	case 6:
		z.slowest = simTick
	case 7:
		d.leaving = true
		d.self.State = StateLeaving
	}
}

func half() int { return 50 }

// The store is out for five minutes. Holders must spend all the time.
func TestHoldersSpendThroughAStoreOutage(t *testing.T) {
	z := newSimZone(t, half, 2)
	z.advance(10 * time.Second)
	z.store.down = true
	for range 300 {
		z.advance(time.Second)
		if spread := z.spread(); !slices.Equal(spread, []int{2, 2}) {
			t.Fatalf("slots are spread %v in the outage", spread)
		}
	}
}

// The store is out until all leases have lapsed; one daemon is paused at that
// time and wakes as the store comes back. It has heard nobody for long, but
// only because it did not listen: it must not take the slots of those
// that went on spending.
func TestWokenTakerDoesNotTrustItsOwnSilence(t *testing.T) {
	z := newSimZone(t, half, 3)
	z.advance(10 * time.Second)
	z.store.down = true
	z.advance(LeaseTTL)
	z.daemons[2].paused = true
	z.advance(HolderTimeout + time.Second)
	z.store.down, z.flying = false, nil
	for _, d := range z.daemons[:2] {
		d.busy, d.next = nil, z.now.Add(10*time.Second)
	}
	z.daemons[2].busy, z.daemons[2].next = nil, z.now
	z.daemons[2].paused = false
	z.advance(30 * time.Second)
	if spread := z.spread(); !slices.Equal(spread, []int{1, 1, 2}) {
		t.Fatalf("slots are spread %v", spread)
	}
}
