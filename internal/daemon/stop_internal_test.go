package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/wire"
)

// countingRunner counts the calls that it gets.
type countingRunner int

func (c *countingRunner) Run(context.Context, *wire.Call) (*wire.Response, *wire.Problem) {
	*c++
	return &wire.Response{}, nil
}

// Guards against calls of peers that a stopping daemon accepts and aborts at its exit.
func TestStopGuardRefusesCallsThatEndLater(t *testing.T) {
	g := NewWithT(t)
	d, end := &Daemon{}, time.Unix(1000, 0)
	var runner countingRunner
	guard := &stopGuard{&runner, d.checkStop}
	run := func(deadline time.Time) *wire.Problem {
		_, problem := guard.Run(context.Background(), &wire.Call{Deadline: deadline})
		return problem
	}
	g.Expect(run(end.Add(time.Hour))).To(BeNil(), "no stop has begun")
	d.answersUntil.Store(&end)
	g.Expect(run(end)).To(BeNil())
	problem := run(end.Add(time.Millisecond))
	g.Expect(problem.Type).To(Equal(wire.TypeNoRoom), "the entry host asks another handler")
	g.Expect(problem.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(runner).To(BeEquivalentTo(2))
}

// Guards against a stop that waits for requests beyond its limit, or leaves no time to transfer postings.
func TestDrainContextLeavesTimeForTransfers(t *testing.T) {
	g := NewWithT(t)
	began := time.Now()
	for _, c := range []struct{ limit, notice, drained time.Duration }{
		{time.Minute, 5 * time.Second, 50 * time.Second},
		{9 * time.Second, 5 * time.Second, 8 * time.Second},
		{20 * time.Second, time.Second, 15250 * time.Millisecond},
		{5 * time.Second, 6 * time.Second, 5 * time.Second},
	} {
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(c.limit))
		defer cancel()
		drain, cancelDrain := drainContext(ctx, began.Add(c.notice))
		defer cancelDrain()
		end, limited := drain.Deadline()
		g.Expect(limited).To(BeTrue())
		g.Expect(end.Sub(began)).To(Equal(c.drained))
	}
	drain, cancel := drainContext(context.Background(), began)
	defer cancel()
	_, limited := drain.Deadline()
	g.Expect(limited).To(BeFalse())
}
