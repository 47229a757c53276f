package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/traffic"
)

func TestStandingQueueTracksShortestDelay(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		waits map[time.Duration]time.Duration
		at    time.Duration
		want  time.Duration
	}{
		{"no request", nil, 0, 0},
		{"a burst that has just begun", map[time.Duration]time.Duration{0: 400 * ms, 100 * ms: 500 * ms}, 200 * ms, 0},
		{"a queue that stays", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms, 300 * ms: 450 * ms}, 310 * ms, 400 * ms},
		{"one that was short once", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms, 300 * ms: 10 * ms}, 310 * ms, 10 * ms},
		{"one that nobody has met lately", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms}, 2 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var s standingQueue
			for at := time.Duration(0); at <= c.at; at += 10 * ms {
				if wait, ok := c.waits[at]; ok {
					s.observe(now.Add(at), wait)
				}
			}
			g.Expect(s.shortest(now.Add(c.at))).To(Equal(c.want))
		})
	}
}

// overload plays requests about objects at upstreams that work first come, first served,
// are slower with objects that are new to them, and refuse beyond their queue: first few,
// so that the objects are warm, then more than the upstreams can do.
type overload struct {
	hosts, upstreams int
	// demand is what is asked for in the end, in parts of what the upstreams can do warm.
	demand float64
}

// outcomes is what callers got in the end.
type requestOutcomes struct{ sent, inTime, late, refused int }

const (
	warmWork           = 160 * time.Millisecond
	coldWork           = 530 * time.Millisecond
	overloadTarget     = 400 * time.Millisecond
	warmUpFor          = 12 * time.Second
	warmUpDemand       = .5
	overloadFor        = 4 * time.Second
	overloadSlots      = 4
	overloadQueue      = 12
	objectsPerUpstream = 12
)

// slots is when each slot of an upstream is free again, and when its requests end.
type simulatedUpstream struct {
	free  [overloadSlots]time.Time
	done  []time.Time
	known map[string]bool
}

func (s *simulatedUpstream) serve(now time.Time, object string) (at time.Time, ok bool) {
	if s.pending(now) >= overloadSlots+overloadQueue {
		return now, false
	}
	work := coldWork
	if s.known[object] {
		work = warmWork
	}
	s.known[object] = true
	first := 0
	for i := range s.free {
		if s.free[i].Before(s.free[first]) {
			first = i
		}
	}
	if s.free[first].Before(now) {
		s.free[first] = now
	}
	s.free[first] = s.free[first].Add(work)
	s.done = append(s.done, s.free[first])
	return s.free[first], true
}

func (s *simulatedUpstream) pending(now time.Time) int {
	s.done = slices.DeleteFunc(s.done, func(at time.Time) bool { return !at.After(now) })
	return len(s.done)
}

func (s *simulatedUpstream) load(now time.Time) traffic.Load {
	there := s.pending(now)
	return traffic.Load{Running: min(there, overloadSlots), Waiting: max(there-overloadSlots, 0), Slots: overloadSlots}
}

// fleet is the hosts and upstreams of one play.
type fleet struct {
	rng    *rand.Rand
	tables []*Table
	ups    map[string]*simulatedUpstream
	open   []sentRequest
}

type sentRequest struct {
	at    time.Time
	table *Table
	c     Choice
	took  time.Duration
}

func (o overload) newFleet(start time.Time) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(3, uint64(o.hosts))), ups: map[string]*simulatedUpstream{}}
	for i := range o.hosts {
		t := NewTable(Host{Instance: fmt.Sprint("h-", i), Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
		for n := range o.upstreams {
			id := fmt.Sprint("u-", n)
			f.ups[id] = &simulatedUpstream{known: map[string]bool{}}
			t.PutUpstream(start, catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "a1", Slots: overloadSlots, State: catalog.StateReady})
		}
		f.tables = append(f.tables, t)
	}
	return f
}

// finish ends what is answered by now, and passes on which objects are warm.
func (f *fleet) finish(now time.Time) {
	left := f.open[:0]
	for _, r := range f.open {
		if r.at.After(now) {
			left = append(left, r)
			continue
		}
		load := f.ups[r.c.ID].load(r.at)
		load.Running++
		r.table.Done(r.at, r.c, Report{Result: Succeeded, TimeToHeader: r.took, HasLoad: true, Load: load})
	}
	f.open = left
}

func (f *fleet) gossip(now time.Time) {
	for _, from := range f.tables {
		var told []uint64
		for _, r := range from.WarmReports(now) {
			told = append(told, uint64(r))
		}
		for _, to := range f.tables {
			if to != from {
				to.ApplyWarmReports(now, told)
			}
		}
	}
}

// send plays one request and counts what its caller gets.
func (f *fleet) send(now time.Time, object string, out *requestOutcomes) {
	out.sent++
	t := f.tables[f.rng.IntN(len(f.tables))]
	c, err := t.Choose(now, Query{Service: "s", Route: "r", Object: object, Target: overloadTarget, Remaining: 3 * time.Second})
	if err != nil {
		out.refused++
		return
	}
	at, ok := f.ups[c.ID].serve(now, object)
	switch {
	case !ok:
		out.refused++
		t.Done(now, c, Report{Result: Shed, HasLoad: true, Load: f.ups[c.ID].load(now)})
		return
	case at.Sub(now) <= overloadTarget:
		out.inTime++
	default:
		out.late++
	}
	f.open = append(f.open, sentRequest{at, t, c, at.Sub(now)})
}

// play returns what callers got once demand is high. With fixed, the bound on waits is the
// fixed one alone.
func (o overload) run(fixed bool) requestOutcomes {
	start := time.Unix(1000, 0)
	f := o.newFleet(start)
	capacity := float64(o.upstreams*overloadSlots) / warmWork.Seconds()
	now, gossiped := start, start
	var before, out requestOutcomes
	for now.Sub(start) < warmUpFor+overloadFor {
		demand, counted := warmUpDemand, &before
		if now.Sub(start) >= warmUpFor {
			demand, counted = o.demand, &out
		}
		f.finish(now)
		if now.Sub(gossiped) >= 250*time.Millisecond {
			gossiped = now
			f.gossip(now)
		}
		if fixed {
			for _, t := range f.tables {
				for _, u := range t.byID {
					u.standingQueue = standingQueue{}
				}
			}
		}
		f.send(now, fmt.Sprint("o-", f.rng.IntN(o.upstreams*objectsPerUpstream)), counted)
		now = now.Add(time.Duration(float64(time.Second) / (demand * capacity)))
	}
	return out
}

// Guards against an overload of some seconds in which every request waits until the
// queues are full, so that callers get late answers where they could be in time.
func TestStandingQueueIsKeptShort(t *testing.T) {
	for _, o := range []overload{
		{hosts: 10, upstreams: 12, demand: 1.3}, {hosts: 10, upstreams: 12, demand: .9},
		{hosts: 60, upstreams: 40, demand: 1.3}, {hosts: 60, upstreams: 40, demand: .9},
	} {
		t.Run(fmt.Sprintf("%d hosts, demand %v", o.hosts, o.demand), func(t *testing.T) {
			g := NewWithT(t)
			before, now := o.run(true), o.run(false)
			t.Logf("fixed bound %+v, standing queues %+v", before, now)
			g.Expect(now.inTime).To(BeNumerically(">=", before.inTime*98/100))
			if o.demand > 1 {
				g.Expect(now.inTime).To(BeNumerically(">", before.inTime))
			}
		})
	}
}
