package fairqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fairqueue"
)

// Guards against callers that are told to stay away for minutes, because a wait was predicted from the few
// requests that a host has sent so far.
func TestRefusedCallersReturnWithinTheTimeThatRequestsWait(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	const limit = 4 * time.Second
	q := fairqueue.NewHostQueue(50 * time.Millisecond)
	arrive := func(priority int) *fairqueue.HostRequest {
		r := &fairqueue.HostRequest{
			Customer: "c", Priority: priority, Latency: 300 * time.Millisecond, Target: now.Add(limit), Deadline: now.Add(limit),
		}
		q.Arrive(r, now)
		return r
	}
	push := func(priority int) *fairqueue.HostRefusal { return q.Push(arrive(priority), now) }
	for range 5 {
		q.Start(arrive(0), now)
	}
	q.Start(arrive(7), now) // so that it does not starve
	for push(0) == nil {
		g.Expect(q.Len()).To(BeNumerically("<", fairqueue.MaxHostWaiting))
	}
	refusal := push(7)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.PredictedWait).To(BeNumerically(">", 2*limit))
	g.Expect(refusal.RetryAfter).To(BeNumerically("<=", limit))
}
