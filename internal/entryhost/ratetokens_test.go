package entryhost_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers within their rate that are refused, or wait for each request, because
// the owner of their customer's bucket has died and its heartbeats have not timed out yet.
func TestDeadBucketOwnerRefusesNoCallerWithinTheRate(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.rate = 40
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	hosts := []*host{s.host("h1", "a1"), s.host("h2", "a1"), s.host("h3", "a2")}
	s.awaitServing()
	owners := func() (owners []int) {
		for i, h := range hosts {
			if h.daemon.OwnsBucket("t1") {
				owners = append(owners, i)
			}
		}
		return owners
	}
	g.Eventually(owners, "5s", "10ms").Should(HaveLen(1))
	owner := owners()[0]
	hosts[owner].stopped.Store(true)
	hosts[owner].daemon.Kill()
	other := hosts[(owner+1)%len(hosts)]
	for range 10 {
		g.Expect(s.read(other).status).To(Equal(http.StatusOK))
	}
}

// burstSite starts two hosts of a zone, and returns the one that owns the bucket of the customer, and the
// other.
func burstSite(t *testing.T) (s *site, owner, other *host) {
	s, owner, other, _ = gatedBurstSite(t)
	return s, owner, other
}

// gatedBurstSite is burstSite with a gate between the owner and the store.
func gatedBurstSite(t *testing.T) (s *site, owner, other *host, store *gate) {
	g := NewWithT(t)
	s = newSite(t)
	s.rate = 60
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	var hosts []*host
	var gates []*gate
	for _, name := range []string{"h1", "h2"} {
		gate, address := s.gate()
		gates, hosts = append(gates, gate), append(hosts, s.hostWith(name, "a1", hostOptions{store: address}))
	}
	s.awaitServing()
	owns := func(i int) bool { return hosts[i].daemon.OwnsBucket("t1") }
	g.Eventually(func() bool { return owns(0) != owns(1) }, "10s", "10ms").Should(BeTrue())
	if owns(1) {
		hosts[0], hosts[1] = hosts[1], hosts[0]
		gates[0] = gates[1]
	}
	// The bucket is full, and has the whole rate, once the demand of the other host is forgotten.
	time.Sleep(5 * time.Second)
	return s, hosts[0], hosts[1], gates[0]
}

// readAll sends reads, a few at a time, and returns how many of them were served.
func (s *site) readAll(h *host, n int) int {
	var left, served atomic.Int64
	left.Store(int64(n))
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				if s.read(h).status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return int(served.Load())
}

// stopUntilMoved begins a planned stop of the owner, and waits until the other host owns the bucket.
func stopUntilMoved(t *testing.T, owner, other *host) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stopLikeProcess(owner)
	}()
	t.Cleanup(func() { <-stopped })
	NewWithT(t).Eventually(func() bool { return other.daemon.OwnsBucket("t1") }, "5s", "1ms").Should(BeTrue())
}

// Guards against a burst that is granted again by the next owner of the bucket after a planned stop.
func TestPlannedStopDoesNotRenewTheBurst(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, owner, other := burstSite(t)
	began := time.Now()
	served := s.readAll(owner, 3*s.rate)
	g.Expect(served).To(BeNumerically(">=", s.rate*9/10))
	stopUntilMoved(t, owner, other)
	served += s.readAll(other, 3*s.rate)
	allowed := float64(s.rate)*time.Since(began).Seconds() + float64(s.rate)
	g.Expect(served).To(BeNumerically("<=", 1.1*allowed+1))
}

// Guards against callers within their burst that the next owner of the bucket refuses after a planned stop.
func TestPlannedStopKeepsTheBurst(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, owner, other := burstSite(t)
	stopUntilMoved(t, owner, other)
	g.Expect(s.readAll(other, s.rate*8/10)).To(Equal(s.rate * 8 / 10))
}

// Guards against callers within their burst that are refused because the store has turned the owner of the bucket away.
func TestLapsedRegistrationOfTheOwnerKeepsTheBurst(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, owner, other, store := gatedBurstSite(t)
	g.Expect(s.read(owner).status).To(Equal(http.StatusOK))
	store.shut.Store(true)
	g.Eventually(func() bool { return other.daemon.OwnsBucket("t1") }, "15s", "1ms").Should(BeTrue())
	g.Expect(s.readAll(other, s.rate*8/10)).To(Equal(s.rate * 8 / 10))
}
