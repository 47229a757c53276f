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

// warmSite has one upstream that has answered about an object on three routes, and
// others that joined afterwards. The snapshot of it is written.
func warmSite(t *testing.T) (s *site, warm *standin.Worker) {
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
	// The first one may have been on its way before all requests were answered.
	for range 2 {
		before := s.store.Revision(platform.SnapshotKey)
		g.Eventually(func() uint64 { return s.store.Revision(platform.SnapshotKey) }, "15s", "50ms").Should(BeNumerically(">", before))
	}
	h.daemon.Kill()
	h.stopped.Store(true)
	s.hosts = nil
	return s, warm
}

// askAll asks about the object once on each route.
func (s *site) askAll(h *host) {
	g := NewWithT(s.t)
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Expect(s.call(h, "GET", "/open/1", "", "").status).To(Equal(http.StatusOK))
	g.Expect(s.post(h).status).To(Equal(http.StatusOK))
}

// All hosts lose power while the upstreams live on. Objects must be asked for where
// they are warm, not at upstreams that have never seen them.
func TestRestartedHostsKnowWhatIsWarm(t *testing.T) {
	g := NewWithT(t)
	s, warm := warmSite(t)
	runs := len(warm.Runs())
	h := s.host("h2", "a1")
	s.awaitServing()
	s.askAll(h)
	g.Expect(len(warm.Runs())-runs).To(BeNumerically(">=", 4), "each request went to the upstream that is warm")
}

// Another program has written over the snapshot. The host must start without it.
func TestBrokenSnapshotIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s, _ := warmSite(t)
	s.store.Put(platform.SnapshotKey, []byte("not a snapshot"))
	h := s.host("h2", "a1")
	g.Eventually(h.ready, "10s", 50*time.Millisecond).Should(BeTrue())
	s.awaitServing()
	s.askAll(h)
}
