package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/wire"
)

// sickUpstream starts a worker that breaks off each connection, and counts the
// requests that reach it.
func sickUpstream(t *testing.T, zone string, asked *atomic.Int64) config.Upstream {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/animal/") {
			asked.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return config.Upstream{Service: "lookup", Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4}
}

// One of three workers breaks off each connection at once, so it always has
// the fewest requests running. Callers of lookups must not notice: what fails
// there runs on another worker, and after a few failures the worker is left
// out but for single trials.
func TestCallersDoNotNoticeAFailingUpstream(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	var asked atomic.Int64
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	c.Upstreams["lookup-2"] = f.upstream("lookup-2", "lookup", "vt-a", quick)
	c.Upstreams["lookup-3"] = sickUpstream(t, "vt-a", &asked)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	const requests = 400
	for range requests {
		r := f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil)
		g.Expect(r.Status).To(Equal(http.StatusOK), "%+v", r.Problem)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeRan))
	}
	t.Logf("the failing worker got %d of %d requests", asked.Load(), requests)
	g.Expect(asked.Load()).To(BeNumerically(">=", 4))
	g.Expect(asked.Load()).To(BeNumerically("<", requests/20))
}

// Every worker of a service breaks off its connections, in two zones with two
// workers each. Each request could be tried at all four. The workers, which may
// fail because they are full, must get little more than was asked for.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	var asked atomic.Int64
	c := twoRegions()
	for name, zone := range map[string]string{"lookup-1": "vt-a", "lookup-2": "vt-a", "lookup-3": "me-a", "lookup-4": "me-a"} {
		c.Upstreams[name] = sickUpstream(t, zone, &asked)
	}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	const requests = 300
	for range requests {
		f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil)
	}
	t.Logf("the workers got %d requests for %d", asked.Load(), requests)
	g.Expect(asked.Load()).To(BeNumerically("<", requests*3/2))
}

// An operator takes a worker out while callers use it. From the moment at
// which the daemon has the version, the worker must get nothing new, and no
// caller may be refused for it.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	c.Upstreams["lookup-2"] = f.upstream("lookup-2", "lookup", "vt-a", quick)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	use := func() {
		for range 50 {
			g.Expect(f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil).Status).To(Equal(http.StatusOK))
		}
	}
	use()
	c.Drains = map[string]config.Drain{"service-day": {Kind: config.DrainUpstream, Target: "lookup-1"}}
	f.awaitReady(f.apply("vt-1", c))
	before := f.upstreams["lookup-1"].Stats().Total
	g.Expect(before).To(BeNumerically(">", 0))
	use()
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(before))
}
