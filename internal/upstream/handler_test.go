package upstream

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/wire"
)

func lookupConfig(drains map[string]config.Drain) *config.Config {
	return &config.Config{Services: map[string]config.Service{"lookup": {ExpectedMs: 5}}, Drains: drains}
}

func workers(names ...string) map[string]config.Upstream {
	mine := map[string]config.Upstream{}
	for _, name := range names {
		mine[name] = config.Upstream{Service: "lookup", Slots: 2, Address: name}
	}
	return mine
}

func lookup(customer string) Request {
	return Request{Service: "lookup", Customer: customer, Deadline: time.Now().Add(time.Minute), Safe: true}
}

func acquire(g *WithT, h *Handler) *Ticket {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, problem := h.Acquire(ctx, lookup("a"))
	g.Expect(problem).To(BeNil())
	return t
}

// An upstream is taken away from this daemon and given back while a request
// runs on it. The request must still count, or the upstream would get more
// than its slots.
func TestReassignedUpstreamKeepsItsRunningRequests(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	c := lookupConfig(nil)
	h.Assign(c, workers("u1"), false)
	one, two := acquire(g, h), acquire(g, h)
	h.Assign(c, nil, false)
	g.Expect(h.Headroom()).To(BeEmpty())
	h.Assign(c, workers("u1"), false)
	g.Expect(h.Headroom()["lookup"].Free).To(BeZero())
	one.Done(Result{Took: time.Millisecond})
	two.Done(Result{Took: time.Millisecond})
	g.Expect(h.pools["lookup"].workers[0].running).To(BeZero())
}

// A daemon joins under full load and gets an upstream on which the earlier
// handler still runs all slots. Together they must not run twice the slots: the
// room here grows from one.
func TestTakenOverUpstreamStartsWithOneSlot(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), workers("u1"), true)
	w := h.pools["lookup"].workers[0]
	g.Expect(w.room(w.takeover.began)).To(Equal(1))
	g.Expect(w.room(w.takeover.began.Add(TakeoverBound))).To(Equal(2))
	h.Assign(lookupConfig(nil), workers("u1"), true)
	g.Expect(h.pools["lookup"].workers[0]).To(BeIdenticalTo(w), "it does not begin again")
}

// An operator drains an upstream. It must get nothing new from then on, what
// runs finishes, and the time until it was empty is told.
func TestDrainedUpstreamGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), workers("u1", "u2"), false)
	var running []*Ticket
	for range 4 {
		running = append(running, acquire(g, h))
	}
	drains := map[string]config.Drain{"d": {Kind: config.DrainUpstream, Target: "u1"}}
	h.Assign(lookupConfig(drains), workers("u1", "u2"), false)
	g.Expect(h.Drains()).To(ConsistOf(DrainStatus{Upstream: "u1", Running: 2, EmptyAfterMs: -1}))
	for _, t := range running {
		t.Done(Result{Took: time.Millisecond})
	}
	g.Expect(h.Drains()[0].EmptyAfterMs).To(BeNumerically(">=", 0))
	g.Expect(acquire(g, h).Upstream).To(Equal("u2"))
	g.Expect(acquire(g, h).Upstream).To(Equal("u2"))
	g.Expect(h.Headroom()["lookup"]).To(Equal(membership.Headroom{Limit: 1}))
}

// A waiting request's caller goes away in the moment when room is granted, or
// before. The room must not be lost.
func TestAbandonedWaitLosesNoRoom(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), workers("u1"), false)
	one, two := acquire(g, h), acquire(g, h)
	ctx, cancel := context.WithCancel(context.Background())
	refusals := make(chan *wire.Problem)
	go func() {
		_, problem := h.Acquire(ctx, lookup("b"))
		refusals <- problem
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }).Should(Equal(1))
	cancel()
	problem := <-refusals
	g.Expect(problem.Type).To(Equal(wire.TypeDeadline))
	g.Expect(problem.Outcome).To(Equal(wire.OutcomeNotRun))
	one.Done(Result{})
	two.Done(Result{})
	acquire(g, h)
	acquire(g, h)
}

// A waiting request starts as soon as another one ends.
func TestWaitingRequestStarts(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), workers("u1"), false)
	one := acquire(g, h)
	acquire(g, h)
	started := make(chan *Ticket)
	go func() {
		t, _ := h.Acquire(context.Background(), lookup("b"))
		started <- t
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }).Should(Equal(1))
	one.Done(Result{Took: time.Millisecond})
	g.Expect((<-started).Upstream).To(Equal("u1"))
}

// Every upstream fails: ejecting them all would refuse everything, although
// the cause may be a customer's requests. Half stay.
func TestNeverAllAreEjected(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), workers("u1", "u2", "u3", "u4"), false)
	for range 100 {
		acquire(g, h).Done(Result{Failed: true, Took: time.Millisecond})
	}
	g.Expect(h.pools["lookup"].limit(time.Now())).To(BeNumerically(">=", 4))
}

// A worker has two slots where the configuration says four: it sheds. The
// limit must settle at two, with one more tried ever more rarely.
func TestLimitSettlesBelowSheds(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(4)
	now := time.Unix(0, 0)
	sheds, tries := 0, 0
	for range 10 * 60 * 100 { // ten minutes, a decision each 10 ms
		now = now.Add(10 * time.Millisecond)
		tries++
		if l.Value() > 2 {
			sheds++
			l.Cut(3, now)
			continue
		}
		l.Grow(now)
	}
	g.Expect(l.Value()).To(Equal(2))
	g.Expect(float64(sheds) / float64(tries)).To(BeNumerically("<", 0.001))
}

func TestLimitNeverExceedsSlots(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(3)
	now := time.Unix(0, 0)
	for n := range 1000 {
		now = now.Add(time.Second)
		if n%7 == 0 {
			l.Cut(n%5, now)
		}
		l.Grow(now)
		g.Expect(l.Value()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
	}
	l.SetSlots(1)
	g.Expect(l.Value()).To(Equal(1))
}

func BenchmarkAcquireDone(b *testing.B) {
	h := NewHandler()
	c := lookupConfig(nil)
	c.Customers = map[string]config.Customer{"a": {Weight: 1}}
	h.Assign(c, workers("u1", "u2", "u3", "u4"), false)
	ctx := context.Background()
	r := lookup("a")
	b.ReportAllocs()
	for b.Loop() {
		t, problem := h.Acquire(ctx, r)
		if problem != nil {
			b.Fatal(problem)
		}
		t.Done(Result{Took: 5 * time.Millisecond})
	}
}

func BenchmarkLimitAndHealth(b *testing.B) {
	l, h := NewLimit(4), NewHealth()
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Cut(3, now)
		l.Grow(now)
		h.Succeeded(1)
		h.Trust(now)
	}
}
