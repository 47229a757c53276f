package entryhost_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/platform"
)

const (
	// siteUpstreams is the number of upstreams of a siteWithStandbys, and nextStandbys the number of
	// standbys that hold them.
	siteUpstreams = 20
	nextStandbys  = 2
)

// siteWithStandbys is a site with three active hosts and three standbys.
type siteWithStandbys struct {
	*site
	standbys []*host
	// cold is the standby that holds no upstreams.
	cold *host
}

// newSiteWithStandbys starts a site. storeOf returns the address at which the i-th standby reaches
// the store; "" means the address that all hosts use.
func newSiteWithStandbys(t *testing.T, storeOf func(s *site, i int) string) *siteWithStandbys {
	g := NewWithT(t)
	s := &siteWithStandbys{site: newSite(t)}
	for i := range siteUpstreams {
		s.worker(fmt.Sprint("i-", i), "s", "a1", 0)
	}
	s.declare(4, "k1")
	for i := range 3 {
		s.hostWith(fmt.Sprint("strong-", i), "a1", hostOptions{mbps: 200})
	}
	s.awaitServing()
	g.Eventually(s.hintHosts, "15s", "50ms").Should(Equal(3))
	for i := range nextStandbys + 1 {
		s.standbys = append(s.standbys, s.hostWith(fmt.Sprint("weak-", i), "a1", hostOptions{mbps: 20, store: storeOf(s.site, i)}))
	}
	g.Eventually(s.held, "15s", "50ms").Should(Equal(map[int]int{0: 1, siteUpstreams: nextStandbys}))
	for _, h := range s.standbys {
		if h.daemon.Upstreams() == 0 {
			s.cold = h
		}
	}
	return s
}

// held returns the numbers of standbys by the number of upstreams that they hold.
func (s *siteWithStandbys) held() map[int]int {
	out := map[int]int{}
	for _, h := range s.standbys {
		if h.ready() {
			out[h.daemon.Upstreams()]++
		}
	}
	return out
}

// Guards against a standby without upstreams that refuses its callers, or copies all upstreams for
// each single one. Many callers make it copy them.
func TestCallersOfStandbyWithoutUpstreams(t *testing.T) {
	g := NewWithT(t)
	s := newSiteWithStandbys(t, func(*site, int) string { return "" })
	cold := s.cold
	g.Expect(s.read(cold).status).To(Equal(http.StatusOK))
	g.Eventually(func() int { return s.read(cold).status }, "10s", "1ms").Should(Equal(http.StatusOK))
	g.Consistently(func() int { return s.read(cold).status }, "300ms", "1ms").Should(Equal(http.StatusOK))
	g.Expect(s.held()).To(Equal(map[int]int{siteUpstreams: nextStandbys + 1}))
}

// Guards against a single caller that is refused because it arrives when the sample of a standby
// expires.
func TestCallerOfStandbyWhoseSampleExpires(t *testing.T) {
	g := NewWithT(t)
	s := newSiteWithStandbys(t, func(*site, int) string { return "" })
	for range 3 {
		g.Eventually(s.cold.daemon.Upstreams, "10s", "1ms").Should(BeZero())
		g.Expect(s.read(s.cold).status).To(Equal(http.StatusOK))
	}
}

// Guards against standbys that read the store for each single caller although a peer sends them
// the upstreams.
func TestSingleCallersOfStandbyCauseNoReadsOfTheStore(t *testing.T) {
	g := NewWithT(t)
	stores := make([]*countingStore, nextStandbys+1)
	s := newSiteWithStandbys(t, func(s *site, i int) string {
		stores[i] = &countingStore{Handler: s.store}
		server := httptest.NewServer(stores[i])
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return server.Listener.Addr().String()
	})
	store := stores[slices.Index(s.standbys, s.cold)]
	before := store.reads.Load()
	for range 3 {
		g.Eventually(s.cold.daemon.Upstreams, "10s", "10ms").Should(BeZero(), "the sample has expired")
		g.Expect(s.read(s.cold).status).To(Equal(http.StatusOK))
	}
	g.Expect(store.reads.Load()).To(Equal(before))
}

// countingStore counts the reads of the store, and the listings of the complete store.
type countingStore struct {
	http.Handler
	reads, completeListings atomic.Int64
}

// ServeHTTP implements http.Handler.
func (c *countingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		c.reads.Add(1)
	}
	if q := r.URL.Query(); strings.HasSuffix(r.URL.Path, "/kv-range") && q.Get("prefix") == platform.AllKeys {
		c.completeListings.Add(1)
	}
	c.Handler.ServeHTTP(w, r)
}

// Guards against hundreds of standbys that all list thousands of upstreams after a loss of all
// hosts, because the stronger hosts are not there yet to send them the state. The selected
// standbys serve callers although no stronger host returns.
func TestStandbysThatStartAloneDoNotListAllUpstreams(t *testing.T) {
	const standbys = 6
	g := NewWithT(t)
	s := newSite(t)
	store := &countingStore{Handler: s.store}
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.worker("i-0", "s", "a1", 0)
	s.declare(4, "k1")
	for i := range 3 {
		s.hostWith(fmt.Sprint("strong-", i), "a1", hostOptions{mbps: 200})
	}
	s.awaitServing()
	g.Eventually(s.hintHosts, "15s", "50ms").Should(Equal(3))
	for _, h := range s.hosts {
		h.daemon.Kill()
		h.stopped.Store(true)
	}
	s.hosts = nil
	for i := range standbys {
		s.hostWith(fmt.Sprint("weak-", i), "a1", hostOptions{mbps: 20, store: server.Listener.Addr().String()})
	}
	s.awaitServing()
	g.Expect(store.completeListings.Load()).To(BeZero())
}
