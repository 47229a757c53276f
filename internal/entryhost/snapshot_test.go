package entryhost_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
	"balsambarrow/platform"
)

// warmSite returns a site with one upstream that has served an object on three routes, and
// others that joined afterwards. A snapshot of this state is in the store, and no host runs.
func warmSite(t *testing.T) (s *site, warm *standin.PlatformUpstream) {
	g := NewWithT(t)
	s = newSite(t)
	s.declare(4, "k1")
	warm = s.worker("warm", "s", "a1", 80*time.Millisecond)
	h := s.host("h1", "a1")
	s.awaitServing()
	g.Expect(s.call(h, "GET", "/open/1", "", "").status).To(Equal(http.StatusOK))
	g.Expect(s.post(h).status).To(Equal(http.StatusOK))
	for i := range 6 {
		s.worker(fmt.Sprint("later-", i), "s", "a1", 80*time.Millisecond)
	}
	// The first snapshot may have been encoded before all requests were served.
	for range 2 {
		before := s.store.Revision(platform.SnapshotKey)
		g.Eventually(func() uint64 { return s.store.Revision(platform.SnapshotKey) }, "15s", "50ms").Should(BeNumerically(">", before))
	}
	h.daemon.Kill()
	h.stopped.Store(true)
	s.hosts = nil
	return s, warm
}

// requestAll requests the object once on each route.
func (s *site) requestAll(h *host) {
	g := NewWithT(s.t)
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Expect(s.call(h, "GET", "/open/1", "", "").status).To(Equal(http.StatusOK))
	g.Expect(s.post(h).status).To(Equal(http.StatusOK))
}

// Guards against cold requests after all hosts lost power while the upstreams kept running:
// requests for an object must go to the upstream that is warm for it, not to one that has never
// served it.
func TestRestartedHostsPreferWarmUpstreams(t *testing.T) {
	g := NewWithT(t)
	s, warm := warmSite(t)
	runs := len(warm.Runs())
	h := s.host("h2", "a1")
	s.awaitServing()
	s.requestAll(h)
	g.Expect(len(warm.Runs())-runs).To(BeNumerically(">=", 4), "each request went to the upstream that is warm")
}

// Guards against a host that fails to start because another program has overwritten the
// snapshot. The host must start without it.
func TestBrokenSnapshotIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s, _ := warmSite(t)
	s.store.Put(platform.SnapshotKey, []byte("not a snapshot"))
	h := s.host("h2", "a1")
	g.Eventually(h.ready, "10s", 50*time.Millisecond).Should(BeTrue())
	s.awaitServing()
	s.requestAll(h)
}
