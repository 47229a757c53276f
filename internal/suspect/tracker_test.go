package suspect_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/suspect"
)

const request = suspect.Fingerprint(7)

var start = time.Unix(1000, 0)

func newTracker() *suspect.Tracker { return suspect.NewTracker(func() {}) }

// begin begins an attempt of the request that lasts at most three seconds.
func begin(t *suspect.Tracker, now time.Time) (suspect.Attempt, error) {
	return t.Begin(now, request, now.Add(3*time.Second))
}

// end lets an upstream end during an attempt of the request.
func end(g *WithT, t *suspect.Tracker, now time.Time, instance uint64) int {
	a, err := begin(t, now)
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	n, _ := t.UpstreamEnded(now, a, instance)
	t.Done(now, a, false)
	return n
}

// exchange lets all hosts learn of the changes at each of them.
func exchange(now time.Time, hosts ...*suspect.Tracker) {
	for range 2 {
		for i, from := range hosts {
			reports := from.Changes(now)
			for j, to := range hosts {
				if i != j {
					to.Apply(now, fmt.Sprint("host-", i), reports)
				}
			}
		}
	}
}

func refusedFor(err error) time.Duration {
	var refused *suspect.RefusedError
	if !errors.As(err, &refused) {
		return 0
	}
	return refused.RetryAfter
}

// Guards against a request that is refused for as long after its fourth end as after its third, or for ever.
func TestRefusalGrowsAndEnds(t *testing.T) {
	g, now := NewWithT(t), start
	tracker := newTracker()
	for i := range suspect.MaxEnds {
		g.Expect(end(g, tracker, now, uint64(i))).To(Equal(i + 1))
	}
	_, err := begin(tracker, now)
	first := refusedFor(err)
	g.Expect(first).To(BeNumerically(">", 0))
	now = now.Add(first)
	g.Expect(end(g, tracker, now, 10)).To(Equal(suspect.MaxEnds + 1))
	_, err = begin(tracker, now)
	g.Expect(refusedFor(err)).To(Equal(2 * first))
	now = now.Add(2 * first)
	a, err := begin(tracker, now)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = begin(tracker, now)
	g.Expect(err).To(HaveOccurred(), "it is tried once")
	tracker.Done(now, a, true)
	g.Expect(tracker.Stats(now)).To(BeZero())
	g.Expect(end(g, tracker, now, 11)).To(Equal(1), "the answer has cleared it")
}

// Guards against equal requests of several callers that end one upstream each after the first end.
func TestSuspectIsInFlightAtAsManyUpstreamsAsMayEnd(t *testing.T) {
	g := NewWithT(t)
	hosts := []*suspect.Tracker{newTracker(), newTracker()}
	for i := range suspect.MaxEnds - 1 {
		end(g, hosts[0], start, uint64(i))
	}
	exchange(start, hosts...)
	_, err := begin(hosts[0], start)
	g.Expect(err).NotTo(HaveOccurred())
	exchange(start, hosts...)
	for _, h := range hosts {
		_, err = begin(h, start)
		var busy *suspect.BusyError
		g.Expect(errors.As(err, &busy)).To(BeTrue())
	}
	_, err = begin(hosts[1], start.Add(3*time.Second))
	g.Expect(err).NotTo(HaveOccurred(), "the time of the attempt at the other host is over")
}

// Guards against a harmless request that is refused because all upstreams at which it was in flight failed at once.
func TestEndsAtTheSameMomentAllowOneMoreAttempt(t *testing.T) {
	g := NewWithT(t)
	tracker := newTracker()
	var attempts []suspect.Attempt
	for range 5 {
		a, err := begin(tracker, start)
		g.Expect(err).NotTo(HaveOccurred())
		attempts = append(attempts, a)
	}
	for i, a := range attempts {
		tracker.UpstreamEnded(start, a, uint64(i))
		tracker.Done(start, a, false)
	}
	a, err := begin(tracker, start)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = begin(tracker, start)
	g.Expect(err).To(HaveOccurred(), "one at a time")
	tracker.Done(start, a, true)
	for range 5 {
		_, err = begin(tracker, start)
		g.Expect(err).NotTo(HaveOccurred(), "it was answered")
	}
}

// Guards against an end that counts again because a host that has not heard of the answer reports it.
func TestEndBeforeAnAnswerDoesNotReturn(t *testing.T) {
	g := NewWithT(t)
	hosts := []*suspect.Tracker{newTracker(), newTracker(), newTracker()}
	for i := range suspect.MaxEnds - 1 {
		end(g, hosts[0], start, uint64(i))
	}
	exchange(start, hosts...)
	outdated := hosts[2].Reports(start)
	a, err := begin(hosts[1], start)
	g.Expect(err).NotTo(HaveOccurred())
	hosts[1].Done(start, a, true)
	exchange(start, hosts[0], hosts[1])
	hosts[0].Apply(start, "host-2", outdated)
	for _, h := range hosts[:2] {
		g.Expect(h.Stats(start).Suspects).To(BeZero())
	}
}

// Guards against a host that has just started and does not know which requests are refused.
func TestStartedHostLearnsOfRefusedRequests(t *testing.T) {
	g := NewWithT(t)
	known, started := newTracker(), newTracker()
	for i := range suspect.MaxEnds {
		end(g, known, start, uint64(i))
	}
	now := start.Add(10 * time.Second)
	started.Apply(now, "host-0", known.Reports(now))
	_, err := begin(started, now)
	_, same := begin(known, now)
	g.Expect(refusedFor(err)).To(Equal(refusedFor(same)))
	g.Expect(refusedFor(err)).To(BeNumerically(">", 0))
}

// Guards against memory and messages that grow with the number of different requests under which upstreams end.
func TestManySuspectsAreBounded(t *testing.T) {
	g := NewWithT(t)
	tracker, now := newTracker(), start
	for i := range suspect.MaxEnds {
		end(g, tracker, now, uint64(i))
	}
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		f := suspect.Fingerprint(100 + i)
		a, err := tracker.Begin(now, f, now.Add(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		tracker.UpstreamEnded(now, a, uint64(i))
		tracker.Done(now, a, false)
	}
	g.Expect(tracker.Stats(now).Suspects).To(BeNumerically("<=", 512))
	g.Expect(len(tracker.Changes(now))).To(BeNumerically("<=", 64))
	_, err := begin(tracker, now)
	g.Expect(refusedFor(err)).To(BeNumerically(">", 0), "the refused request is kept")
	_, err = tracker.Begin(now.Add(24*time.Hour), request, now)
	g.Expect(err).NotTo(HaveOccurred(), "it is forgotten")
}

// Guards against upstreams that end under a request which is popular and was answered after each end.
func TestAnswersClearAPopularRequest(t *testing.T) {
	g := NewWithT(t)
	tracker := newTracker()
	for i := range 100 {
		g.Expect(end(g, tracker, start, uint64(i))).To(Equal(1))
		a, err := begin(tracker, start)
		g.Expect(err).NotTo(HaveOccurred())
		tracker.Done(start, a, true)
	}
}

// Guards against a refused request that operators cannot let pass.
func TestTrustedRequestIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	tracker := newTracker()
	for i := range suspect.MaxEnds {
		end(g, tracker, start, uint64(i))
	}
	tracker.SetTrusted([]suspect.Fingerprint{request})
	_, err := begin(tracker, start)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against different requests that are taken for the same one.
func TestFingerprintDependsOnEachPart(t *testing.T) {
	g := NewWithT(t)
	seen := map[suspect.Fingerprint]bool{}
	for _, i := range []suspect.Identity{
		{}, {Service: "x"}, {Method: "x"}, {Host: "x"}, {Target: "x"}, {Customer: "x"}, {Object: "x"}, {Body: []byte("x")}, {BodyLength: -1}, {Method: "x", Host: "x"},
	} {
		seen[i.Fingerprint()] = true
		g.Expect(i.Fingerprint()).To(Equal(i.Fingerprint()))
	}
	g.Expect(seen).To(HaveLen(10))
}

// Guards against two suspects at one upstream, whose end would count against the harmless one too.
func TestSuspectsKeepApart(t *testing.T) {
	g := NewWithT(t)
	hosts := []*suspect.Tracker{newTracker(), newTracker()}
	other := suspect.Fingerprint(8)
	for _, f := range []suspect.Fingerprint{request, other} {
		a, err := hosts[0].Begin(start, f, start.Add(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		hosts[0].UpstreamEnded(start, a, 1)
		hosts[0].Done(start, a, false)
	}
	exchange(start, hosts...)
	a, err := begin(hosts[0], start)
	g.Expect(err).NotTo(HaveOccurred())
	hosts[0].Placed(&a, 2)
	exchange(start, hosts...)
	for _, h := range hosts {
		b, err := h.Begin(start, other, start.Add(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.Occupied(start, b)).To(Equal([]uint64{2}))
		h.Done(start, b, false)
	}
	hosts[0].Done(start, a, true)
	exchange(start, hosts...)
	b, err := hosts[1].Begin(start, other, start.Add(time.Second))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts[1].Occupied(start, b)).To(BeEmpty())
}
