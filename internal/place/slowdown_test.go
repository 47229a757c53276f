package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/traffic"
)

const (
	turnLength   = 500 * time.Millisecond
	turnSlowdown = 2.5
	turnWork     = 100 * time.Millisecond
	turnSlots    = 4
	turnTarget   = 220 * time.Millisecond
)

// turns simulates upstreams of which each quarter in turn is slow for half a second.
type turns struct {
	hosts, upstreams int
	// demand is a part of the capacity of upstreams that are never slow.
	demand float64
	// silent is set if the reports do not include the slowdown.
	silent bool
}

type turnUpstream struct {
	number     int
	slotFreeAt [turnSlots]time.Time
	done       []time.Time
}

func (u *turnUpstream) slowdown(at time.Time) float64 {
	if (int(at.UnixNano()/int64(turnLength))+u.number)%4 == 0 {
		return turnSlowdown
	}
	return 1
}

// serve returns when a request that arrives now completes.
func (u *turnUpstream) serve(now time.Time) time.Time {
	first := &u.slotFreeAt[0]
	for i := range u.slotFreeAt {
		if u.slotFreeAt[i].Before(*first) {
			first = &u.slotFreeAt[i]
		}
	}
	start := now
	if first.After(now) {
		start = *first
	}
	*first = start.Add(time.Duration(u.slowdown(start) * float64(turnWork)))
	u.done = append(u.done, *first)
	return *first
}

func (u *turnUpstream) report(at time.Time, silent bool) traffic.Load {
	u.done = slices.DeleteFunc(u.done, func(done time.Time) bool { return done.Before(at) })
	load := traffic.Load{Running: min(len(u.done), turnSlots), Waiting: max(len(u.done)-turnSlots, 0), Slots: turnSlots}
	if !silent {
		load.Slowdown = u.slowdown(at)
	}
	return load
}

// run returns the part of the requests that were answered on time, and one of the tables.
func (s turns) run() (onTime float64, t *Table) {
	const requests = 8000
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(7, uint64(s.hosts)))
	var tables []*Table
	upstreams := map[string]*turnUpstream{}
	for i := range s.hosts {
		t := NewTable(Host{Instance: fmt.Sprint("h-", i), Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
		for n := range s.upstreams {
			id := fmt.Sprint("u-", n)
			upstreams[id] = &turnUpstream{number: n}
			t.PutUpstream(now, catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "a1", Slots: turnSlots, State: catalog.StateReady})
		}
		tables = append(tables, t)
	}
	served := 0
	var running []sentRequest
	capacity := float64(s.upstreams*turnSlots) / turnWork.Seconds()
	for range requests {
		now = now.Add(time.Duration(float64(time.Second) / (s.demand * capacity)))
		slices.SortFunc(running, func(a, b sentRequest) int { return a.completesAt.Compare(b.completesAt) })
		for len(running) > 0 && !running[0].completesAt.After(now) {
			r := running[0]
			running = running[1:]
			r.table.Done(r.completesAt, r.c, Report{TimeToHeader: r.latency, HasLoad: true, Load: upstreams[r.c.ID].report(r.completesAt, s.silent)})
		}
		t := tables[rng.IntN(len(tables))]
		c, err := t.Choose(now, Query{Service: "s", Route: "r", Target: turnTarget, Remaining: 3 * time.Second})
		if err != nil {
			continue
		}
		at := upstreams[c.ID].serve(now)
		if at.Sub(now) <= turnTarget {
			served++
		}
		running = append(running, sentRequest{at, t, c, at.Sub(now)})
	}
	return float64(served) / requests, tables[0]
}

// Guards against requests that are late because they were sent to upstreams that had just
// reported to be slow.
func TestSlowUpstreamsAreAvoidedWhileSlow(t *testing.T) {
	for _, s := range []turns{
		{hosts: 1, upstreams: 12, demand: .5}, {hosts: 10, upstreams: 24, demand: .5},
		{hosts: 10, upstreams: 24, demand: .65}, {hosts: 70, upstreams: 100, demand: .5},
	} {
		t.Run(fmt.Sprintf("%d hosts, demand %v", s.hosts, s.demand), func(t *testing.T) {
			g := NewWithT(t)
			known, _ := s.run()
			s.silent = true
			unknown, table := s.run()
			t.Logf("on time: %.3f with the reported slowdown, %.3f without", known, unknown)
			g.Expect(1 - known).To(BeNumerically("<", .8*(1-unknown)))
			g.Expect(table.ReportsSlowdown("s")).To(BeFalse())
		})
	}
}

// slowdownReports applies reports of one upstream at a constant interval.
func slowdownReports(every time.Duration, values ...float64) (now time.Time, t *Table, w *upstream) {
	now = time.Unix(1000, 0)
	t, w = NewTable(Host{}, nil), newUpstream(now, catalog.Upstream{Service: "s", Slots: 1}, "")
	for _, value := range values {
		now = now.Add(every)
		t.observeSlowdown(now, w, Report{HasLoad: true, Load: traffic.Load{Slowdown: value}})
	}
	return now, t, w
}

func TestSlowdownFadesAsQuicklyAsReportsChange(t *testing.T) {
	for _, c := range []struct {
		name string
		// lasts is the number of successive reports, in intervals of 50 ms, that are the same.
		lasts             int
		shortest, longest time.Duration
	}{
		{"slow for a moment", 1, 50 * time.Millisecond, 100 * time.Millisecond},
		{"slow for half a second", 10, 200 * time.Millisecond, 800 * time.Millisecond},
		{"slow for five seconds", 100, 1600 * time.Millisecond, 3200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 1))
			var values []float64
			for len(values) < 4000 {
				value := 1.0
				if rng.IntN(3) == 0 {
					value = turnSlowdown
				}
				values = append(values, slices.Repeat([]float64{value}, 1+rng.IntN(2*c.lasts))...)
			}
			_, table, _ := slowdownReports(50*time.Millisecond, values...)
			g.Expect(table.slowdowns["s"].fade).To(And(BeNumerically(">=", c.shortest), BeNumerically("<=", c.longest)))
		})
	}
}

// Guards against an upstream that is shunned long after a slow moment.
func TestReportedSlowdownIsForgotten(t *testing.T) {
	g := NewWithT(t)
	now, table, w := slowdownReports(time.Second, 1, 1, 1, 1, 1, turnSlowdown)
	s := table.slowdowns["s"]
	g.Expect(s.expected(now, &w.slowdown)).To(BeNumerically("~", turnSlowdown, .01))
	g.Expect(s.expected(now.Add(s.fade), &w.slowdown)).To(BeNumerically("~", 1.6, .1))
	g.Expect(s.expected(now.Add(time.Minute), &w.slowdown)).To(BeNumerically("~", 1, .1))
}

// Guards against a service time that counts a slow moment which the upstream has reported, so
// that the moment counts twice at the next choice.
func TestServiceTimesLeaveOutReportedSlowdowns(t *testing.T) {
	for _, value := range []float64{1, turnSlowdown} {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		table := NewTable(Host{Zone: "a1"}, map[string]string{"a1": "a"})
		table.PutUpstream(now, catalog.Upstream{ID: "u", Service: "s", Zone: "a1", Slots: 4, State: catalog.StateReady})
		took := time.Duration(value * float64(turnWork))
		var c Choice
		for range 200 {
			var err error
			c, err = table.Choose(now, Query{Service: "s", Route: "r", Remaining: time.Second})
			g.Expect(err).NotTo(HaveOccurred())
			now = now.Add(took)
			table.Done(now, c, Report{TimeToHeader: took, HasLoad: true, Load: traffic.Load{Running: 1, Slots: 4, Slowdown: value}})
		}
		g.Expect(table.queuedTimes["s"].value).To(BeNumerically("~", turnWork, turnWork/50))
		g.Expect(table.byID["u"].health.slowness).To(BeNumerically("~", 1, .05))
		g.Expect(c.ExpectedLatency).To(BeNumerically("~", took, took/20))
	}
}

// Guards against a report that no upstream can mean: it must be counted and change nothing.
func TestInvalidSlowdownsAreCountedAndIgnored(t *testing.T) {
	g := NewWithT(t)
	now, table, w := slowdownReports(time.Second, 1, 1)
	before, service := w.slowdown, *table.slowdowns["s"]
	for _, value := range []float64{-1, math.NaN(), math.Inf(1)} {
		table.observeSlowdown(now, w, Report{HasLoad: true, Load: traffic.Load{Slowdown: value}})
	}
	table.observeSlowdown(now, w, Report{HasLoad: true, SlowdownInvalid: true})
	g.Expect(table.InvalidSlowdowns()).To(Equal(4))
	g.Expect(w.slowdown).To(Equal(before))
	g.Expect(*table.slowdowns["s"]).To(Equal(service))
	table.observeSlowdown(now, w, Report{HasLoad: true, Load: traffic.Load{Slowdown: 1e9}})
	g.Expect(w.slowdown.value).To(Equal(maxSlowdown))
}
