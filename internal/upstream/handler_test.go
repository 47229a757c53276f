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

func lookupUpstreams(names ...string) map[string]config.Upstream {
	upstreams := map[string]config.Upstream{}
	for _, name := range names {
		upstreams[name] = config.Upstream{Service: "lookup", Slots: 2, Address: name}
	}
	return upstreams
}

func lookupRequest(customer string) Request {
	return Request{Service: "lookup", Customer: customer, Deadline: time.Now().Add(time.Minute), Safe: true}
}

func acquire(g *WithT, h *Handler) *Ticket {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, problem := h.Acquire(ctx, lookupRequest("a"))
	g.Expect(problem).To(BeNil())
	return t
}

// Guards against exceeding the slots of an upstream that is removed from this
// daemon and assigned again while requests run on it: these requests must
// still count.
func TestReassignedUpstreamKeepsItsRunningRequests(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	c := lookupConfig(nil)
	h.Assign(c, lookupUpstreams("u1"), false)
	first, second := acquire(g, h), acquire(g, h)
	h.Assign(c, nil, false)
	g.Expect(h.Headroom()).To(BeEmpty())
	h.Assign(c, lookupUpstreams("u1"), false)
	g.Expect(h.Headroom()["lookup"].Free).To(BeZero())
	first.Done(Result{Took: time.Millisecond})
	second.Done(Result{Took: time.Millisecond})
	g.Expect(h.pools["lookup"].upstreams[0].running).To(BeZero())
}

// Guards against running twice the slots when a daemon joins under full load
// and receives an upstream on which the previous handler still uses all
// slots: the limit here grows from one slot, and a repeated assignment does
// not restart it.
func TestTakenOverUpstreamStartsWithOneSlot(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), true)
	s := h.pools["lookup"].upstreams[0]
	g.Expect(s.slotLimit(s.takeover.startedAt)).To(Equal(1))
	g.Expect(s.slotLimit(s.takeover.startedAt.Add(MaxTakeoverDuration))).To(Equal(2))
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), true)
	g.Expect(h.pools["lookup"].upstreams[0]).To(BeIdenticalTo(s), "the takeover does not restart")
}

// A drained upstream must receive no new requests. Running requests finish,
// and the time until the upstream was empty is reported.
func TestDrainedUpstreamReceivesNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1", "u2"), false)
	var running []*Ticket
	for range 4 {
		running = append(running, acquire(g, h))
	}
	drains := map[string]config.Drain{"d": {Kind: config.DrainUpstream, Target: "u1"}}
	h.Assign(lookupConfig(drains), lookupUpstreams("u1", "u2"), false)
	g.Expect(h.Drains()).To(ConsistOf(DrainStatus{Upstream: "u1", Running: 2, EmptyAfterMs: -1}))
	for _, t := range running {
		t.Done(Result{Took: time.Millisecond})
	}
	g.Expect(h.Drains()[0].EmptyAfterMs).To(BeNumerically(">=", 0))
	g.Expect(acquire(g, h).Upstream).To(Equal("u2"))
	g.Expect(acquire(g, h).Upstream).To(Equal("u2"))
	g.Expect(h.Headroom()["lookup"]).To(Equal(membership.Headroom{Limit: 1}))
}

// Guards against a leaked slot when the caller of a queued request
// disconnects before or at the moment when a slot is granted.
func TestCanceledWaitDoesNotLeakSlots(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	first, second := acquire(g, h), acquire(g, h)
	ctx, cancel := context.WithCancel(context.Background())
	refusals := make(chan *wire.Problem)
	go func() {
		_, problem := h.Acquire(ctx, lookupRequest("b"))
		refusals <- problem
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }).Should(Equal(1))
	cancel()
	problem := <-refusals
	g.Expect(problem.Type).To(Equal(wire.TypeDeadline))
	g.Expect(problem.Outcome).To(Equal(wire.OutcomeNotRun))
	first.Done(Result{})
	second.Done(Result{})
	acquire(g, h)
	acquire(g, h)
}

// A queued request must start as soon as another request ends.
func TestWaitingRequestStarts(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	one := acquire(g, h)
	acquire(g, h)
	started := make(chan *Ticket)
	go func() {
		t, _ := h.Acquire(context.Background(), lookupRequest("b"))
		started <- t
	}()
	g.Eventually(func() int { return h.Headroom()["lookup"].Queued }).Should(Equal(1))
	one.Done(Result{Took: time.Millisecond})
	g.Expect((<-started).Upstream).To(Equal("u1"))
}

// If every upstream fails, the cause may be the requests of a customer, and
// ejecting all upstreams would refuse all requests. Half of them must stay in
// use.
func TestEjectionIsLimitedToHalfOfTheUpstreams(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1", "u2", "u3", "u4"), false)
	for range 100 {
		acquire(g, h).Done(Result{Failed: true, Took: time.Millisecond})
	}
	g.Expect(h.pools["lookup"].slotLimit(time.Now())).To(BeNumerically(">=", 4))
}

// An upstream has two slots although four are configured, and sheds requests.
// The limit must settle at two and try a third slot less and less often.
func TestLimitSettlesAtTrueSlots(t *testing.T) {
	g := NewWithT(t)
	l := NewLimit(4)
	now := time.Unix(0, 0)
	sheds, tries := 0, 0
	for range 10 * 60 * 100 { // ten minutes with a decision every 10 ms
		now = now.Add(10 * time.Millisecond)
		tries++
		if l.Value() > 2 {
			sheds++
			l.Decrease(3, now)
			continue
		}
		l.Increase(now)
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
			l.Decrease(n%5, now)
		}
		l.Increase(now)
		g.Expect(l.Value()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
	}
	l.SetSlots(1)
	g.Expect(l.Value()).To(Equal(1))
}

func BenchmarkAcquireDone(b *testing.B) {
	h := NewHandler()
	c := lookupConfig(nil)
	c.Customers = map[string]config.Customer{"a": {Weight: 1}}
	h.Assign(c, lookupUpstreams("u1", "u2", "u3", "u4"), false)
	ctx := context.Background()
	r := lookupRequest("a")
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
		l.Decrease(3, now)
		l.Increase(now)
		h.RecordResponse(1)
		h.Weight(now)
	}
}
