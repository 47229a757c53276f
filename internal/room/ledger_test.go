package room_test

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/room"
)

const (
	ms       = time.Millisecond
	upstream = 7
	// slots of the upstream, and the number of requests that its owner grants.
	slots, bound = 3, 6
	// anyQueue is the limit of a request that may wait for as long as the queue is.
	anyQueue = 100
)

var start = time.Unix(1000, 0)

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// host is a holder with its own ledger, and the requests that it has in flight.
type host struct {
	*room.Holdings
	ledger *room.Ledger
}

func newHost(id uint64) *host { return &host{room.NewHoldings(id), room.NewLedger()} }

// ask returns a statement that asks for one more request.
func (h *host) ask(now time.Time) room.Statement {
	return h.Ask(upstream, slots, now.Add(time.Minute))
}

// reserve asks the owner and applies its answer.
func (h *host) reserve(t testing.TB, owner *room.Ledger, now time.Time) room.Answer {
	s := h.ask(now)
	a, err := owner.Reserve(now, s, anyQueue)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	h.Settle(s, a.Granted)
	return a
}

// release ends a request and returns the holders that the owner tells.
func (h *host) release(t testing.TB, owner *room.Ledger, now time.Time, report *room.Report) []room.Freed {
	freed, err := owner.Release(now, h.End(upstream, slots), report)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return freed
}

// take reserves room n times.
func (h *host) take(t testing.TB, owner *room.Ledger, now time.Time, n int) {
	for range n {
		NewWithT(t).Expect(h.reserve(t, owner, now).Granted).To(BeTrue())
	}
}

// fill reserves room until the owner refuses, and returns how often it granted it.
func (h *host) fill(t testing.TB, owner *room.Ledger, now time.Time) int {
	for n := 0; ; n++ {
		if !h.reserve(t, owner, now).Granted {
			return n
		}
	}
}

func TestOwnerGrantsUpToItsBound(t *testing.T) {
	g := NewWithT(t)
	owner, a, b := newHost(1), newHost(2), newHost(3)
	g.Expect(a.reserve(t, owner.ledger, at(0))).To(Equal(room.Answer{Granted: true}))
	g.Expect(b.reserve(t, owner.ledger, at(0))).To(Equal(room.Answer{Granted: true, Others: 1}))
	g.Expect(a.fill(t, owner.ledger, at(0))).To(Equal(bound - 2))
	g.Expect(b.fill(t, owner.ledger, at(0))).To(BeZero())
	a.release(t, owner.ledger, at(10*ms), nil)
	g.Expect(a.fill(t, owner.ledger, at(100*ms))).To(Equal(1))
	g.Expect(owner.ledger.Stats()).To(Equal(room.Stats{Reserved: bound, Slots: slots}))
}

func TestRequestThatMayNotWaitGetsAFreeSlotOnly(t *testing.T) {
	g := NewWithT(t)
	owner, a := newHost(1), newHost(2)
	for range slots {
		answer, err := owner.ledger.Reserve(at(0), a.ask(at(0)), slots-1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Granted).To(BeTrue())
	}
	answer, err := owner.ledger.Reserve(at(0), a.ask(at(0)), slots-1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Granted).To(BeFalse())
}

// Guards against grants beyond the bound when messages are lost, duplicated and reordered, hosts
// die and statements are untrue.
func TestGrantsNeverExceedTheBound(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	owner := newHost(1)
	hosts := []*host{newHost(2), newHost(3), newHost(4), newHost(5)}
	var sent []room.Statement
	for step := range 4000 {
		now, h := at(time.Duration(step)*5*ms), hosts[rng.IntN(len(hosts))]
		reserved := owner.ledger.Stats().Reserved
		s := h.ask(now)
		if len(sent) > 0 && rng.IntN(3) == 0 {
			s = sent[rng.IntN(len(sent))]
		}
		if rng.IntN(20) == 0 {
			s.Count = rng.IntN(9)
		}
		sent = append(sent[max(len(sent)-30, 0):], s)
		a, err := owner.ledger.Reserve(now, s, anyQueue)
		g.Expect(err).NotTo(HaveOccurred())
		after := owner.ledger.Stats().Reserved
		if a.Granted && after > reserved {
			g.Expect(after).To(BeNumerically("<=", bound))
		}
		h.Settle(s, a.Granted && rng.IntN(2) == 0)
		if rng.IntN(2) == 0 {
			_, err = owner.ledger.Release(now, h.End(upstream, slots), nil)
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// Guards against a lost answer, or a lost release, that takes room for good.
func TestNextMessageHealsALostOne(t *testing.T) {
	g := NewWithT(t)
	owner, a := newHost(1), newHost(2)
	for range bound {
		s := a.ask(at(0))
		_, err := owner.ledger.Reserve(at(0), s, anyQueue)
		g.Expect(err).NotTo(HaveOccurred())
		a.Settle(s, false)
	}
	g.Expect(a.fill(t, owner.ledger, at(ms))).To(Equal(bound), "answers lost")
	for range bound {
		a.End(upstream, slots)
	}
	g.Expect(a.fill(t, owner.ledger, at(2*ms))).To(Equal(bound), "releases lost")
}

// Guards against a message that arrives late and restores an earlier count.
func TestReorderedMessageChangesNothing(t *testing.T) {
	g := NewWithT(t)
	owner, a := newHost(1), newHost(2)
	a.fill(t, owner.ledger, at(0))
	late := a.End(upstream, slots)
	for range bound - 1 {
		a.release(t, owner.ledger, at(10*ms), nil)
	}
	_, err := owner.ledger.Release(at(20*ms), late, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(owner.ledger.Stats().Reserved).To(BeZero())
}

// Guards against a request that is received twice and takes room twice.
func TestDuplicatedRequestIsGrantedOnce(t *testing.T) {
	g := NewWithT(t)
	owner, a := newHost(1), newHost(2)
	s := a.ask(at(0))
	for range 2 {
		answer, err := owner.ledger.Reserve(at(0), s, anyQueue)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.Granted).To(BeTrue())
	}
	g.Expect(owner.ledger.Stats().Reserved).To(Equal(1))
}

// Guards against a host that has died, or is suspended, and keeps its room.
func TestDeadHolderFreesItsRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(owner *room.Ledger) time.Time
	}{
		{"no message for a time", func(*room.Ledger) time.Time { return at(2 * time.Second) }},
		{"its heartbeats have ended", func(owner *room.Ledger) time.Time {
			owner.SetAlive(map[uint64]bool{2: true, 3: true})
			owner.SetAlive(map[uint64]bool{3: true})
			return at(100 * ms)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			owner, dead, other := newHost(1), newHost(2), newHost(3)
			dead.fill(t, owner.ledger, at(0))
			g.Expect(other.fill(t, owner.ledger, at(ms))).To(BeZero())
			now := c.end(owner.ledger)
			g.Expect(other.fill(t, owner.ledger, now)).To(Equal(bound))
			g.Expect(owner.ledger.Stats().Expired).To(Equal(bound))
		})
	}
}

// Guards against a count that outlives the deadline of the requests.
func TestCountExpiresWithTheLatestDeadline(t *testing.T) {
	g := NewWithT(t)
	owner, a, other := newHost(1), newHost(2), newHost(3)
	s := a.Announce(upstream, slots, at(300*ms))
	_, err := owner.ledger.Announce(at(0), s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.reserve(t, owner.ledger, at(299*ms)).Others).To(Equal(1))
	g.Expect(other.reserve(t, owner.ledger, at(300*ms)).Others).To(BeZero())
}

// Guards against an owner that has just taken over and grants room that is in use for longer than
// until the first message of each holder. Until then, the two owners together grant at most twice
// the bound.
func TestNextOwnerLearnsCountsFromFirstMessages(t *testing.T) {
	g := NewWithT(t)
	previous, next := newHost(1), newHost(9)
	hosts := []*host{newHost(2), newHost(3)}
	for i := range bound {
		g.Expect(hosts[i%2].reserve(t, previous.ledger, at(0)).Granted).To(BeTrue())
	}
	total := bound
	for i := range 2 * bound {
		if hosts[i%2].reserve(t, next.ledger, at(10*ms)).Granted {
			total++
		}
	}
	g.Expect(total).To(BeNumerically("<=", 2*bound))
	g.Expect(next.ledger.Stats().Reserved).To(Equal(total), "all is known after one message of each")
	g.Expect(hosts[0].fill(t, next.ledger, at(20*ms))).To(BeZero())
}

// Guards against requests of hosts that announce nothing, such as those of another version.
func TestUpstreamsOwnReportCounts(t *testing.T) {
	g := NewWithT(t)
	owner, a, other := newHost(1), newHost(2), newHost(3)
	a.reserve(t, owner.ledger, at(0))
	a.release(t, owner.ledger, at(10*ms), &room.Report{Requests: 1 + bound})
	g.Expect(other.reserve(t, owner.ledger, at(10*ms)).Granted).To(BeFalse())
	g.Expect(other.reserve(t, owner.ledger, at(time.Second)).Granted).To(BeTrue(), "the report has aged")
	old := &room.Report{Requests: 9, Age: time.Second}
	other.release(t, owner.ledger, at(2*time.Second), old)
	g.Expect(other.reserve(t, owner.ledger, at(2*time.Second)).Granted).To(BeTrue(), "an old report does not count")
}

// Guards against hosts that each know the slowdown of an upstream only from their own responses.
func TestAnswerHasTheLatestSlowdown(t *testing.T) {
	g := NewWithT(t)
	owner, a, other := newHost(1), newHost(2), newHost(3)
	a.take(t, owner.ledger, at(0), 3)
	a.release(t, owner.ledger, at(100*ms), &room.Report{Requests: 3, Slowdown: 2.5, Age: 10 * ms})
	a.release(t, owner.ledger, at(101*ms), &room.Report{Requests: 2, Slowdown: 1, Age: 40 * ms})
	a.release(t, owner.ledger, at(102*ms), &room.Report{Requests: 1})
	answer := other.reserve(t, owner.ledger, at(120*ms))
	g.Expect(answer).To(Equal(room.Answer{Granted: true, Slowdown: 2.5, SlowdownAge: 30 * ms}))
}

// Guards against free room that is not used, or that goes to a request which did not wait.
func TestFreeRoomIsKeptForTheHolderThatWaitedLongest(t *testing.T) {
	g := NewWithT(t)
	owner, a, first, second := newHost(1), newHost(2), newHost(3), newHost(4)
	a.take(t, owner.ledger, at(0), bound)
	g.Expect(first.reserve(t, owner.ledger, at(10*ms)).Granted).To(BeFalse())
	g.Expect(second.reserve(t, owner.ledger, at(20*ms)).Granted).To(BeFalse())
	freed := a.release(t, owner.ledger, at(30*ms), nil)
	g.Expect(freed).To(Equal([]room.Freed{{Upstream: upstream, Holder: 3, Others: bound - 1}}))
	g.Expect(second.reserve(t, owner.ledger, at(31*ms)).Granted).To(BeFalse())
	g.Expect(first.reserve(t, owner.ledger, at(32*ms)).Granted).To(BeTrue())
	g.Expect(a.release(t, owner.ledger, at(40*ms), nil)).To(HaveLen(1))
	g.Expect(a.reserve(t, owner.ledger, at(80*ms)).Granted).To(BeTrue(), "the second holder did not come")
}

// Guards against a holder that is told of room long after it was refused.
func TestInterestEnds(t *testing.T) {
	g := NewWithT(t)
	owner, a, other := newHost(1), newHost(2), newHost(3)
	a.take(t, owner.ledger, at(0), bound)
	other.reserve(t, owner.ledger, at(0))
	g.Expect(a.release(t, owner.ledger, at(600*ms), nil)).To(BeEmpty())
}

// Guards against room that becomes free because it has expired, while no message arrives.
func TestSweepOffersExpiredRoom(t *testing.T) {
	g := NewWithT(t)
	owner, dead, other := newHost(1), newHost(2), newHost(3)
	dead.take(t, owner.ledger, at(0), bound)
	other.reserve(t, owner.ledger, at(1900*ms))
	g.Expect(owner.ledger.Sweep(at(1950 * ms))).To(BeEmpty())
	g.Expect(owner.ledger.Sweep(at(2000 * ms))).To(HaveLen(1))
	g.Expect(owner.ledger.Sweep(at(20 * time.Second))).To(BeEmpty())
	g.Expect(owner.ledger.Stats().Slots).To(BeZero(), "nothing is kept of upstreams without requests")
}

func TestUntrueStatementsAreRejected(t *testing.T) {
	g := NewWithT(t)
	owner := newHost(1)
	good := newHost(2).ask(at(0))
	for field, s := range map[string]room.Statement{
		"slots":    {Slots: 1 << 20, Sequence: 1},
		"count":    {Slots: 1, Count: 1 << 20, Sequence: 1},
		"sequence": {Slots: 1, Sequence: 1, Settled: 2},
	} {
		_, err := owner.ledger.Reserve(at(0), s, anyQueue)
		var untrue *room.StatementError
		g.Expect(errors.As(err, &untrue)).To(BeTrue())
		g.Expect(untrue.Field).To(Equal(field))
	}
	for _, r := range []room.Report{{Requests: 1 << 20}, {Slowdown: math.NaN()}, {Slowdown: math.Inf(1)}, {Slowdown: -1}} {
		_, err := owner.ledger.Release(at(0), good, &r)
		g.Expect(err).To(HaveOccurred())
	}
	for _, a := range []room.Answer{{Others: -1}, {Others: math.MaxUint32}, {Slowdown: math.NaN()}, {Slowdown: 1e30}} {
		g.Expect(a.Check()).To(HaveOccurred())
	}
	g.Expect(room.Answer{Others: bound, Slowdown: 2}.Check()).To(Succeed())
	for i := range uint64(1000) {
		good.Holder = i
		if _, err := owner.ledger.Announce(at(0), good); err != nil {
			g.Expect(err).To(MatchError(room.ErrFull))
			return
		}
	}
	t.Fatal("the ledger is not bounded")
}

// Guards against room that stays taken because an upstream reports what cannot be true.
func TestEndCountsWhateverTheUpstreamReports(t *testing.T) {
	g := NewWithT(t)
	owner, a, b := newHost(1), newHost(2), newHost(3)
	a.take(t, owner.ledger, at(0), bound)
	g.Expect(b.reserve(t, owner.ledger, at(0)).Granted).To(BeFalse())
	freed, err := owner.ledger.Release(at(0), a.End(upstream, slots), &room.Report{Requests: 1 << 20})
	var untrue *room.StatementError
	g.Expect(errors.As(err, &untrue)).To(BeTrue())
	g.Expect(freed).To(Equal([]room.Freed{{Upstream: upstream, Holder: 3, Others: bound - 1}}))
	g.Expect(b.reserve(t, owner.ledger, at(0)).Granted).To(BeTrue())
}

// Guards against requests that each wait for an owner which does not respond.
func TestSilentOwnerIsTriedOnceASecond(t *testing.T) {
	g := NewWithT(t)
	o := room.NewOwners()
	g.Expect(o.MayWait(at(0), "h")).To(BeTrue())
	g.Expect(o.NoAnswer(at(20*ms), "h")).To(BeTrue())
	g.Expect(o.NoAnswer(at(20*ms), "h")).To(BeFalse(), "logged once")
	g.Expect(o.MayWait(at(100*ms), "h")).To(BeFalse())
	g.Expect(o.MayWait(at(1020*ms), "h")).To(BeTrue())
	g.Expect(o.MayWait(at(1021*ms), "h")).To(BeFalse())
	o.Heard("h")
	g.Expect(o.MayWait(at(1022*ms), "h")).To(BeTrue())
}
