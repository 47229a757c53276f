package room_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
	"balsambarrow/internal/room"
	"balsambarrow/internal/traffic"
)

const (
	warmWork = 200 * ms
	coldWork = 600 * ms
	target   = 500 * ms
	timeout  = 4 * time.Second
	// objectsPerUpstream is the number of objects for each upstream; all are equally popular.
	objectsPerUpstream = 12
	warmUp, measured   = 10 * time.Second, 6 * time.Second
)

// way is how hosts decide whether an upstream has room.
type way string

const (
	// byBelief: by the load reports that each host has received.
	byBelief way = "belief"
	// byLedger: the owner decides.
	byLedger way = "ledger"
)

// worker is an upstream that serves in the order of arrival, and its owner's ledger.
type worker struct {
	slotFreeAt [slots]time.Time
	done       []time.Time
	warm       map[string]bool
	ledger     *room.Ledger
}

func (u *worker) pending(now time.Time) int {
	u.done = slices.DeleteFunc(u.done, func(at time.Time) bool { return !at.After(now) })
	return len(u.done)
}

func (u *worker) serve(now time.Time, object string) time.Time {
	work := coldWork
	if u.warm[object] {
		work = warmWork
	}
	u.warm[object] = true
	first := &u.slotFreeAt[0]
	for i := range u.slotFreeAt {
		if u.slotFreeAt[i].Before(*first) {
			first = &u.slotFreeAt[i]
		}
	}
	*first = later(*first, now).Add(work)
	u.done = append(u.done, *first)
	return *first
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// entry is an entry host.
type entry struct {
	*place.Table
	*room.Holdings
}

type running struct {
	sent, ends time.Time
	host       *entry
	c          place.Choice
}

// outcomes counts requests that arrived after the warm-up. surprised are late ones that were
// expected in time when they were sent.
type outcomes struct{ asked, inTime, late, surprised, refused int }

type fleet struct {
	way     way
	hosts   []*entry
	workers map[string]*worker
	running []running
}

func newFleet(w way, hosts, workers int) *fleet {
	f := &fleet{way: w, workers: map[string]*worker{}}
	for n := range workers {
		f.workers[fmt.Sprint("u-", n)] = &worker{warm: map[string]bool{}, ledger: room.NewLedger()}
	}
	for i := range hosts {
		t := place.NewTable(place.Host{Instance: fmt.Sprint("h-", i), Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
		for n := range workers {
			id := fmt.Sprint("u-", n)
			t.PutUpstream(start, catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "a1", Slots: slots, State: catalog.StateReady})
		}
		f.hosts = append(f.hosts, &entry{Table: t, Holdings: room.NewHoldings(uint64(i + 1))})
	}
	return f
}

// choose selects an upstream that has room, as front.Handler does.
func (f *fleet) choose(now time.Time, h *entry, object string) (place.Choice, bool) {
	refused := ""
	for {
		c, err := h.Choose(now, place.Query{Service: "s", Route: "r", Object: object, Target: target, Remaining: timeout})
		if err != nil || f.way == byBelief {
			return c, err == nil
		}
		if c.ID != refused {
			s := h.Ask(c.Room.Upstream, slots, now.Add(timeout))
			a, err := f.workers[c.ID].ledger.Reserve(now, s, c.Room.MaxAhead)
			if err != nil {
				panic(err)
			}
			h.Settle(s, a.Granted)
			h.ObserveRoom(now, c.Room.Upstream, a.Others)
			if a.Granted {
				return c.WithRoom(a.Others), true
			}
		}
		h.Done(now, c, place.Report{Result: place.Shed})
		if c.ID == refused {
			return c, false
		}
		refused = c.ID
	}
}

// arrive handles a request from its arrival.
func (f *fleet) arrive(now time.Time, h *entry, object string, out *outcomes) {
	out.asked++
	c, ok := f.choose(now, h, object)
	if !ok {
		out.refused++
		return
	}
	ends := f.workers[c.ID].serve(now, object)
	f.running = append(f.running, running{now, ends, h, c})
	switch {
	case ends.Sub(now) <= target:
		out.inTime++
	case c.ExpectedLatency <= target:
		out.surprised++
		fallthrough
	default:
		out.late++
	}
}

// finish ends the requests that are answered by now, in order.
func (f *fleet) finish(now time.Time) {
	for {
		first := -1
		for i, r := range f.running {
			if !r.ends.After(now) && (first < 0 || r.ends.Before(f.running[first].ends)) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		r := f.running[first]
		f.running = slices.Delete(f.running, first, first+1)
		f.end(r)
	}
}

func (f *fleet) end(r running) {
	u := f.workers[r.c.ID]
	pending := u.pending(r.ends) + 1
	r.host.Done(r.ends, r.c, place.Report{
		Result: place.Succeeded, TimeToHeader: r.ends.Sub(r.sent), HasLoad: true,
		Load: traffic.Load{Running: min(pending, slots), Waiting: max(pending-slots, 0), Slots: slots},
	})
	if f.way == byBelief {
		return
	}
	if _, err := u.ledger.Release(r.ends, r.host.End(r.c.Room.Upstream, slots), &room.Report{Requests: pending}); err != nil {
		panic(err)
	}
}

func (f *fleet) gossip(now time.Time) {
	for _, from := range f.hosts {
		var reports []uint64
		for _, r := range from.WarmReports(now) {
			reports = append(reports, uint64(r))
		}
		for _, to := range f.hosts {
			if to != from {
				to.ApplyWarmReports(now, reports)
			}
		}
	}
}

// play plays demand, as a part of what the upstreams can do while all objects are warm, after a
// warm-up with half of that room in use.
func play(w way, hosts, workers int, demand float64) outcomes {
	rng := rand.New(rand.NewPCG(5, uint64(hosts)))
	f := newFleet(w, hosts, workers)
	perSecond := float64(workers*slots) / warmWork.Seconds()
	var before, out outcomes
	gossiped := at(0)
	for now := at(0); now.Before(at(warmUp + measured)); {
		f.finish(now)
		if now.Sub(gossiped) >= 250*ms {
			gossiped = now
			f.gossip(now)
		}
		part, counted := .5, &before
		if !now.Before(at(warmUp)) {
			part, counted = demand, &out
		}
		f.arrive(now, f.hosts[rng.IntN(hosts)], fmt.Sprint("o-", rng.IntN(workers*objectsPerUpstream)), counted)
		now = now.Add(time.Duration(rng.ExpFloat64() / (part * perSecond) * float64(time.Second)))
	}
	return out
}

const (
	// latePart is the largest part of the requests that may be answered late, and surprisedPart that
	// of the late ones which were expected in time when they were sent. A late answer has little use,
	// and takes the room of one that could be in time.
	latePart, surprisedPart = .13, .25
	// inTimePart is the smallest part that must be answered in time during an overload.
	inTimePart = .55
)

// Guards against requests that are sent to an upstream which other hosts have just filled: they are
// late although they were expected in time.
func TestOwnersLedgerUnderLoad(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		demand float64
	}{{10, .95}, {10, 1.3}, {70, .95}, {70, 1.3}} {
		t.Run(fmt.Sprintf("%d hosts, demand %v", c.hosts, c.demand), func(t *testing.T) {
			g := NewWithT(t)
			const workers = 24
			belief, ledger := play(byBelief, c.hosts, workers, c.demand), play(byLedger, c.hosts, workers, c.demand)
			t.Logf("%s %+v, %s %+v", byBelief, belief, byLedger, ledger)
			asked := float64(ledger.asked)
			g.Expect(float64(ledger.late)).To(BeNumerically("<=", latePart*asked))
			g.Expect(float64(ledger.surprised)).To(BeNumerically("<=", max(surprisedPart*float64(ledger.late), 1)))
			g.Expect(float64(ledger.inTime)).To(BeNumerically(">=", inTimePart*asked))
			g.Expect(ledger.inTime).To(BeNumerically(">", belief.inTime))
			g.Expect(float64(belief.late)).To(BeNumerically(">", latePart*asked), "the load is one for which belief does not suffice")
		})
	}
}
