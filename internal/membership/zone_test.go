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
	// storeCallTimeout is the daemon's timeout of a call to the store.
	storeCallTimeout = 2 * time.Second
)

// simStore simulates the store, with entries by slot and leases by instance.
type simStore struct {
	down     bool
	slots    map[int]SlotEntry
	leases   map[string]time.Time
	revision uint64
}

func (s *simStore) compareAndSwap(w SlotWrite) uint64 {
	if s.slots[w.Slot].Revision != w.Revision {
		return 0
	}
	s.revision++
	if w.Holder.Instance == "" {
		delete(s.slots, w.Slot)
		return s.revision
	}
	s.slots[w.Slot] = SlotEntry{Holder: w.Holder, Revision: s.revision}
	return s.revision
}

func (s *simStore) read(now time.Time) *SlotState {
	state := &SlotState{Slots: map[int]SlotEntry{}, Leased: map[string]bool{}}
	for slot, e := range s.slots {
		state.Slots[slot] = e
	}
	for instance, expiry := range s.leases {
		state.Leased[instance] = now.Before(expiry)
	}
	return state
}

// simCall is a call in flight. The store applies it at appliedAt, and the
// response arrives at answeredAt unless the deadline passes first.
type simCall struct {
	appliedAt, respondedAt, deadline time.Time
	applied                          bool
	apply                            func(now time.Time)
	finish                           func(lost bool)
}

type simDaemon struct {
	ownership   *SlotOwnership
	self        Member
	table       *Table
	paused      bool
	isolated    bool
	dead        bool
	leaving     bool
	call        *simCall
	nextRoundAt time.Time
}

func (d *simDaemon) running() bool { return !d.dead && !d.paused }

// failer is implemented by *testing.T and *rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

// simZone simulates the daemons of a zone and one store in virtual time.
type simZone struct {
	t failer
	// percent returns a number from 0 to 100.
	percent  func() int
	now      time.Time
	store    *simStore
	daemons  []*simDaemon
	inFlight []*simCall
	// maxDelay is the longest network delay in one direction. With a delay
	// above storeCallTimeout, responses are lost.
	maxDelay time.Duration
}

func newSimZone(t failer, percent func() int, n int) *simZone {
	z := &simZone{
		t: t, now: time.Unix(1e9, 0), maxDelay: simTick, percent: percent,
		store: &simStore{slots: map[int]SlotEntry{}, leases: map[string]time.Time{}},
	}
	for range n {
		z.addDaemon()
	}
	return z
}

func (z *simZone) addDaemon() {
	id := fmt.Sprintf("d%d", len(z.daemons))
	m := Member{Instance: id, PeerAddress: id, Zone: "vt-a", State: StateReady}
	z.daemons = append(z.daemons, &simDaemon{
		self: m, table: NewTable(), ownership: NewSlotOwnership(Holder{Instance: id, PeerAddress: id}, z.now), nextRoundAt: z.now,
	})
}

// advance runs the zone for d and checks the invariant after every tick.
func (z *simZone) advance(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(simTick)
		z.applyCalls()
		for _, d := range z.daemons {
			if d.running() {
				z.runDaemon(d)
			}
		}
		z.checkSpenders()
	}
}

// applyCalls applies the calls that have reached the store, including those
// that have timed out at the caller.
func (z *simZone) applyCalls() {
	z.inFlight = slices.DeleteFunc(z.inFlight, func(c *simCall) bool {
		if z.store.down || z.now.Before(c.appliedAt) {
			return false
		}
		c.apply(z.now)
		c.applied = true
		return true
	})
}

func (z *simZone) startCall(d *simDaemon, apply func(time.Time), finish func(lost bool)) {
	delay := func() time.Duration { return z.maxDelay * time.Duration(z.percent()) / 100 }
	c := &simCall{appliedAt: z.now.Add(delay()), deadline: z.now.Add(storeCallTimeout), apply: apply, finish: finish}
	c.respondedAt = c.appliedAt.Add(delay())
	d.call = c
	z.inFlight = append(z.inFlight, c)
}

func (z *simZone) runDaemon(d *simDaemon) {
	d.ownership.DetectPause(z.now)
	z.deliverHeartbeats(d)
	d.ownership.DetectIsolation(d.table.LastHeartbeat(), len(d.table.All()), z.now)
	if c := d.call; c != nil {
		switch {
		case c.applied && !z.now.Before(c.respondedAt) && !d.isolated:
			d.call = nil
			c.finish(false)
		case z.now.After(c.deadline):
			d.call = nil
			c.finish(true)
		}
		return
	}
	if !z.now.Before(d.nextRoundAt) && !d.isolated {
		d.nextRoundAt = z.now.Add(roundInterval)
		z.startRound(d)
	}
}

// deliverHeartbeats delivers the heartbeats of the other daemons, two per
// second from each.
func (z *simZone) deliverHeartbeats(d *simDaemon) {
	for i, other := range z.daemons {
		due := z.now.Sub(time.Unix(0, 0))/simTick%5 == time.Duration(i%5)
		if due && other != d && other.running() && !other.isolated && !d.isolated {
			m := other.self
			m.Sequence = uint64(z.now.UnixNano())
			for _, h := range other.ownership.Usable(z.now) {
				m.Slots = append(m.Slots, h.Slot)
			}
			d.table.Update(m, z.now)
			d.ownership.ResolveConflicts(m, z.now)
		}
	}
}

const roundInterval = time.Second

func (z *simZone) startRound(d *simDaemon) {
	var state *SlotState
	sentAt := z.now
	z.startCall(d, func(now time.Time) {
		z.store.leases[d.self.Instance] = now.Add(LeaseTTL)
		state = z.store.read(now)
	}, func(lost bool) {
		if lost {
			return
		}
		d.ownership.LeaseRenewed(sentAt)
		d.ownership.Reconcile(state)
		z.writeAll(d, d.ownership.Plan(PlanInput{State: state, SlotCount: simSlots, ZonePeers: d.table.All(), Leaving: d.leaving}, z.now))
	})
}

func (z *simZone) writeAll(d *simDaemon, writes []SlotWrite) {
	if len(writes) == 0 {
		return
	}
	revision := uint64(0)
	z.startCall(d, func(time.Time) { revision = z.store.compareAndSwap(writes[0]) }, func(lost bool) {
		if lost {
			revision = 0
		}
		d.ownership.RecordWrite(writes[0], revision, z.now)
		z.writeAll(d, writes[1:])
	})
}

// checkSpenders fails the test if two daemons spend from the same slot.
func (z *simZone) checkSpenders() {
	spenders := map[int]string{}
	for _, d := range z.daemons {
		if !d.running() {
			continue
		}
		for _, h := range d.ownership.Usable(z.now) {
			if other, taken := spenders[h.Slot]; taken {
				z.t.Fatalf("%s and %s both spend from slot %d at %v", other, d.self.Instance, h.Slot, z.now.Sub(time.Unix(1e9, 0)))
			}
			spenders[h.Slot] = d.self.Instance
		}
	}
}

// slotsPerDaemon returns, in ascending order, the number of slots from which
// each running daemon spends.
func (z *simZone) slotsPerDaemon() []int {
	var counts []int
	for _, d := range z.daemons {
		if d.running() && !d.leaving {
			counts = append(counts, len(d.ownership.Usable(z.now)))
		}
	}
	slices.Sort(counts)
	return counts
}

// Daemons of a zone are paused, isolated, killed and started while the store is
// down, slow or loses responses. No two daemons may spend from the same slot at
// any time, because a customer could then use one share of its quota twice.
// After the faults, all slots must be in use again and evenly distributed.
func TestSlotHasAtMostOneSpender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100)
		z := newSimZone(t, func() int { return percent.Draw(t, "delay") }, rapid.IntRange(1, 3).Draw(t, "daemons"))
		z.advance(5 * time.Second)
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			z.inject(rapid.IntRange(0, 7).Draw(t, "fault"), z.daemons[rapid.IntRange(0, len(z.daemons)-1).Draw(t, "daemon")])
			z.advance(simTick * time.Duration(rapid.IntRange(1, 120).Draw(t, "ticks")))
		}
		z.store.down, z.maxDelay = false, simTick
		for _, d := range z.daemons {
			d.paused, d.isolated = false, false
		}
		z.advance(40 * time.Second)
		counts := z.slotsPerDaemon()
		if len(counts) == 0 {
			return
		}
		sum := 0
		for _, n := range counts {
			sum += n
		}
		if sum != simSlots || counts[len(counts)-1]-counts[0] > 1 {
			t.Fatalf("slots per daemon after the faults: %v", counts)
		}
	})
}

func (z *simZone) inject(kind int, d *simDaemon) {
	switch kind {
	case 0:
		d.paused = !d.paused
	case 1:
		// A daemon that knows of no other daemon is not isolated, because it
		// cannot distinguish its own isolation from that of its zone.
		d.isolated = !d.isolated && len(d.table.All()) > 0
	case 2:
		d.dead = true
	case 3:
		if len(z.daemons) < 6 {
			z.addDaemon()
		}
	case 4:
		z.store.down = !z.store.down
	case 5:
		z.maxDelay = 3 * time.Second
	case 6:
		z.maxDelay = simTick
	case 7:
		d.leaving = true
		d.self.State = StateLeaving
	}
}

func halfDelay() int { return 50 }

// The store is unavailable for five minutes. Holders must be able to spend all
// the time.
func TestHoldersSpendDuringStoreOutage(t *testing.T) {
	z := newSimZone(t, halfDelay, 2)
	z.advance(10 * time.Second)
	z.store.down = true
	for range 300 {
		z.advance(time.Second)
		if counts := z.slotsPerDaemon(); !slices.Equal(counts, []int{2, 2}) {
			t.Fatalf("slots per daemon during the outage: %v", counts)
		}
	}
}

// The store is unavailable until all leases have expired. One daemon is paused
// during that time and resumes when the store is available again. It has
// received no heartbeats for a long time only because it was paused, so it must
// not claim the slots of the daemons that continued to spend.
func TestResumedDaemonDoesNotTakeHeldSlots(t *testing.T) {
	z := newSimZone(t, halfDelay, 3)
	z.advance(10 * time.Second)
	z.store.down = true
	z.advance(LeaseTTL)
	z.daemons[2].paused = true
	z.advance(HolderTimeout + time.Second)
	z.store.down, z.inFlight = false, nil
	for _, d := range z.daemons[:2] {
		d.call, d.nextRoundAt = nil, z.now.Add(10*time.Second)
	}
	z.daemons[2].call, z.daemons[2].nextRoundAt = nil, z.now
	z.daemons[2].paused = false
	z.advance(30 * time.Second)
	if counts := z.slotsPerDaemon(); !slices.Equal(counts, []int{1, 1, 2}) {
		t.Fatalf("slots per daemon: %v", counts)
	}
}
