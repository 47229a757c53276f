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

// failingUpstream starts an upstream that closes each connection without a response,
// and counts the requests that it receives.
func failingUpstream(t *testing.T, zone string, received *atomic.Int64) config.Upstream {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/animal/") {
			received.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return config.Upstream{Service: "lookup", Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4}
}

// Guards against preferring an upstream that fails fast. One of three upstreams
// closes every connection at once, so it always has the fewest running requests.
// No caller may notice: its failed requests must run on another upstream, and after
// a few failures it must get only single probe requests.
func TestCallersDoNotNoticeAFailingUpstream(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	var received atomic.Int64
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	c.Upstreams["lookup-2"] = f.upstream("lookup-2", "lookup", "vt-a", fastUpstream)
	c.Upstreams["lookup-3"] = failingUpstream(t, "vt-a", &received)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	const requests = 400
	for range requests {
		r := f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil)
		g.Expect(r.Status).To(Equal(http.StatusOK), "%+v", r.Problem)
		g.Expect(r.Outcome).To(Equal(wire.OutcomeRan))
	}
	t.Logf("the failing upstream received %d of %d requests", received.Load(), requests)
	g.Expect(received.Load()).To(BeNumerically(">=", 4))
	g.Expect(received.Load()).To(BeNumerically("<", requests/20))
}

// Guards against retries that amplify an outage. All upstreams of a service, two in
// each of two zones, fail every request, and each request could be tried on all
// four. They may be failing because of overload, so the retry budget must limit the
// requests to less than one and a half times those of the callers.
func TestRetriesDoNotMultiplyLoadInAnOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	var received atomic.Int64
	c := twoRegionConfig()
	for name, zone := range map[string]string{"lookup-1": "vt-a", "lookup-2": "vt-a", "lookup-3": "me-a", "lookup-4": "me-a"} {
		c.Upstreams[name] = failingUpstream(t, zone, &received)
	}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	const requests = 300
	for range requests {
		f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil)
	}
	t.Logf("the upstreams received %d requests for %d calls", received.Load(), requests)
	g.Expect(received.Load()).To(BeNumerically("<", requests*3/2))
}

// Guards against sending requests to a drained upstream. An operator drains an
// upstream while callers use it. Once the daemon has the version, the upstream must
// get no new requests, and no request may be rejected because of the drain.
func TestDrainedUpstreamGetsNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	c.Upstreams["lookup-2"] = f.upstream("lookup-2", "lookup", "vt-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	sendRequests := func() {
		for range 50 {
			g.Expect(f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil).Status).To(Equal(http.StatusOK))
		}
	}
	sendRequests()
	c.Drains = map[string]config.Drain{"service-day": {Kind: config.DrainUpstream, Target: "lookup-1"}}
	f.awaitReady(f.apply("vt-1", c))
	before := f.upstreams["lookup-1"].Stats().Total
	g.Expect(before).To(BeNumerically(">", 0))
	sendRequests()
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(before))
}
