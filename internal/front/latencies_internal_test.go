package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
)

// Guards against a stopping host that accepts requests because earlier ones were fast, while those
// that run are slow.
func TestLatencyBoundCountsRunningRequests(t *testing.T) {
	g := NewWithT(t)
	l, now := newLatencies(), time.Unix(1000, 0)
	route := &catalog.Route{Name: "read"}
	begin := func(at time.Time) *request {
		q := &request{arrived: at, route: route}
		l.start(q)
		return q
	}
	_, known := l.bound(now, "read")
	g.Expect(known).To(BeFalse(), "no request has ended")
	l.end(now.Add(time.Millisecond), begin(now), false)
	_, known = l.bound(now, "read")
	g.Expect(known).To(BeFalse(), "no request was answered")
	l.end(now.Add(100*time.Millisecond), begin(now), true)
	bound, known := l.bound(now.Add(time.Second), "read")
	g.Expect(known).To(BeTrue())
	g.Expect(bound).To(Equal(latencySafetyFactor * 100 * time.Millisecond))
	slow := begin(now.Add(time.Second))
	bound, _ = l.bound(now.Add(2*time.Second), "read")
	g.Expect(bound).To(Equal(latencySafetyFactor * time.Second))
	_, known = l.bound(now, "other")
	g.Expect(known).To(BeFalse())
	l.end(now.Add(3*time.Second), slow, true)
	bound, _ = l.bound(now.Add(4*time.Second), "read")
	g.Expect(bound).To(Equal(latencySafetyFactor * 2 * time.Second))
	_, known = l.bound(now.Add(3*time.Second+latencyWindow), "read")
	g.Expect(known).To(BeFalse(), "all of them are too long ago")
}

// Guards against the use of the shortest latency of long ago, or of another route.
func TestShortestAttemptIsRecent(t *testing.T) {
	g := NewWithT(t)
	l, now := newLatencies(), time.Unix(1000, 0)
	g.Expect(l.shortestAttempt(now, "read")).To(BeZero())
	l.attemptAnswered(now, "read", 40*time.Millisecond)
	l.attemptAnswered(now, "read", 90*time.Millisecond)
	g.Expect(l.shortestAttempt(now, "read")).To(Equal(40 * time.Millisecond))
	g.Expect(l.shortestAttempt(now, "other")).To(BeZero())
	l.attemptAnswered(now.Add(latencyWindow/2), "read", 60*time.Millisecond)
	g.Expect(l.shortestAttempt(now.Add(latencyWindow/2), "read")).To(Equal(40 * time.Millisecond))
	g.Expect(l.shortestAttempt(now.Add(latencyWindow), "read")).To(Equal(60 * time.Millisecond))
	g.Expect(l.shortestAttempt(now.Add(2*latencyWindow), "read")).To(BeZero())
}
