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
		name      string
		delays    map[time.Duration]time.Duration
		queriedAt time.Duration
		want      time.Duration
	}{
		{"no request", nil, 0, 0},
		{"burst has just started", map[time.Duration]time.Duration{0: 400 * ms, 100 * ms: 500 * ms}, 200 * ms, 0},
		{"standing queue", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms, 300 * ms: 450 * ms}, 310 * ms, 400 * ms},
		{"queue was short once", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms, 300 * ms: 10 * ms}, 310 * ms, 10 * ms},
		{"no recent request", map[time.Duration]time.Duration{0: 400 * ms, 260 * ms: 500 * ms}, 2 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var s standingQueue
			for at := time.Duration(0); at <= c.queriedAt; at += 10 * ms {
				if delay, ok := c.delays[at]; ok {
					s.observe(now.Add(at), delay)
				}
			}
			g.Expect(s.shortest(now.Add(c.queriedAt))).To(Equal(c.want))
		})
	}
}

// overload simulates requests about objects at upstreams that serve in order of arrival,
// are slower with objects that are new to them, and reject requests beyond their queue.
// The demand is low at first, so that the objects become warm, and then rises.
type overload struct {
	hosts, upstreams int
	// demand is the final demand, as a part of the capacity of warm upstreams.
	demand float64
}

// requestOutcomes counts the outcomes of requests during the final demand.
type requestOutcomes struct{ sent, onTime, late, rejected int }

const (
	warmWork           = 160 * time.Millisecond
	coldWork           = 530 * time.Millisecond
	overloadTarget     = 400 * time.Millisecond
	warmUpDuration     = 12 * time.Second
	warmUpDemand       = .5
	overloadDuration   = 4 * time.Second
	overloadSlots      = 4
	overloadQueue      = 12
	objectsPerUpstream = 12
)

// simulatedUpstream holds when each slot becomes free and when its requests complete.
type simulatedUpstream struct {
	slotFreeAt  [overloadSlots]time.Time
	done        []time.Time
	warmObjects map[string]bool
}

func (s *simulatedUpstream) serve(now time.Time, object string) (at time.Time, ok bool) {
	if s.pending(now) >= overloadSlots+overloadQueue {
		return now, false
	}
	work := coldWork
	if s.warmObjects[object] {
		work = warmWork
	}
	s.warmObjects[object] = true
	first := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i].Before(s.slotFreeAt[first]) {
			first = i
		}
	}
	if s.slotFreeAt[first].Before(now) {
		s.slotFreeAt[first] = now
	}
	s.slotFreeAt[first] = s.slotFreeAt[first].Add(work)
	s.done = append(s.done, s.slotFreeAt[first])
	return s.slotFreeAt[first], true
}

func (s *simulatedUpstream) pending(now time.Time) int {
	s.done = slices.DeleteFunc(s.done, func(at time.Time) bool { return !at.After(now) })
	return len(s.done)
}

func (s *simulatedUpstream) load(now time.Time) traffic.Load {
	pending := s.pending(now)
	return traffic.Load{Running: min(pending, overloadSlots), Waiting: max(pending-overloadSlots, 0), Slots: overloadSlots}
}

// fleet is the set of hosts and upstreams of one simulation.
type fleet struct {
	rng       *rand.Rand
	tables    []*Table
	upstreams map[string]*simulatedUpstream
	running   []sentRequest
}

type sentRequest struct {
	completesAt time.Time
	table       *Table
	c           Choice
	latency     time.Duration
}

func (o overload) newFleet(start time.Time) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(3, uint64(o.hosts))), upstreams: map[string]*simulatedUpstream{}}
	for i := range o.hosts {
		t := NewTable(Host{Instance: fmt.Sprint("h-", i), Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
		for n := range o.upstreams {
			id := fmt.Sprint("u-", n)
			f.upstreams[id] = &simulatedUpstream{warmObjects: map[string]bool{}}
			t.PutUpstream(start, catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "a1", Slots: overloadSlots, State: catalog.StateReady})
		}
		f.tables = append(f.tables, t)
	}
	return f
}

// finish completes the requests that have been answered by now.
func (f *fleet) finish(now time.Time) {
	remaining := f.running[:0]
	for _, r := range f.running {
		if r.completesAt.After(now) {
			remaining = append(remaining, r)
			continue
		}
		load := f.upstreams[r.c.ID].load(r.completesAt)
		load.Running++
		r.table.Done(r.completesAt, r.c, Report{Result: Succeeded, TimeToHeader: r.latency, HasLoad: true, Load: load})
	}
	f.running = remaining
}

func (f *fleet) gossip(now time.Time) {
	for _, from := range f.tables {
		var reports []uint64
		for _, r := range from.WarmReports(now) {
			reports = append(reports, uint64(r))
		}
		for _, to := range f.tables {
			if to != from {
				to.ApplyWarmReports(now, reports)
			}
		}
	}
}

// send simulates one request and counts its outcome.
func (f *fleet) send(now time.Time, object string, out *requestOutcomes) {
	out.sent++
	t := f.tables[f.rng.IntN(len(f.tables))]
	c, err := t.Choose(now, Query{Service: "s", Route: "r", Object: object, Target: overloadTarget, Remaining: 3 * time.Second})
	if err != nil {
		out.rejected++
		return
	}
	at, ok := f.upstreams[c.ID].serve(now, object)
	switch {
	case !ok:
		out.rejected++
		t.Done(now, c, Report{Result: Shed, HasLoad: true, Load: f.upstreams[c.ID].load(now)})
		return
	case at.Sub(now) <= overloadTarget:
		out.onTime++
	default:
		out.late++
	}
	f.running = append(f.running, sentRequest{at, t, c, at.Sub(now)})
}

// run returns the outcomes during the final demand. If fixed is set, standing queues are
// not detected, so only the fixed queueing limit applies.
func (o overload) run(fixed bool) requestOutcomes {
	start := time.Unix(1000, 0)
	f := o.newFleet(start)
	capacity := float64(o.upstreams*overloadSlots) / warmWork.Seconds()
	now, gossiped := start, start
	var before, out requestOutcomes
	for now.Sub(start) < warmUpDuration+overloadDuration {
		demand, counted := warmUpDemand, &before
		if now.Sub(start) >= warmUpDuration {
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

// Guards against an overload of several seconds in which every request waits until the
// queues are full, so that responses are late that could be on time.
func TestStandingQueueIsKeptShort(t *testing.T) {
	for _, o := range []overload{
		{hosts: 10, upstreams: 12, demand: 1.3}, {hosts: 10, upstreams: 12, demand: .9},
		{hosts: 60, upstreams: 40, demand: 1.3}, {hosts: 60, upstreams: 40, demand: .9},
	} {
		t.Run(fmt.Sprintf("%d hosts, demand %v", o.hosts, o.demand), func(t *testing.T) {
			g := NewWithT(t)
			fixedLimit, adaptive := o.run(true), o.run(false)
			t.Logf("fixed limit %+v, with standing queue detection %+v", fixedLimit, adaptive)
			g.Expect(adaptive.onTime).To(BeNumerically(">=", fixedLimit.onTime*98/100))
			if o.demand > 1 {
				g.Expect(adaptive.onTime).To(BeNumerically(">", fixedLimit.onTime))
			}
		})
	}
}
