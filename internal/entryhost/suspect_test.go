package entryhost_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
	"balsambarrow/internal/tcpreset"
)

// maxEnds is the number of upstreams that may end under one request before all hosts refuse it.
const maxEnds = 3

// fragileUpstreams end when they get a request whose target contains "ends".
type fragileUpstreams struct {
	s     *site
	ended atomic.Int64
	// takes is the time from the request to the end. A request whose target contains "slow" takes three
	// times as long.
	takes time.Duration
	// mended upstreams answer each request.
	mended atomic.Bool
}

// add starts a fragile upstream and registers it.
func (f *fragileUpstreams) add(id, zone string) {
	k := &standin.PlatformUpstream{ID: id}
	server := httptest.NewServer(k)
	f.s.t.Cleanup(server.Close)
	var gone atomic.Bool
	k.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if f.mended.Load() || !strings.Contains(r.RequestURI, "ends") {
			if strings.Contains(r.RequestURI, "slow") {
				time.Sleep(3 * f.takes)
			}
			w.Header().Set("X-Response-Signature", "signed")
			_, _ = w.Write([]byte("ok"))
			return
		}
		time.Sleep(f.takes)
		if gone.CompareAndSwap(false, true) {
			f.ended.Add(1)
			_ = server.Listener.Close()
			go server.CloseClientConnections()
		}
		panic(http.ErrAbortHandler)
	})
	f.s.register(k, "s", server.Listener.Addr().String(), zone, "ready", 1)
}

// newFragileSite returns a site with twelve fragile upstreams in zone a1 and hosts in the given zones.
func newFragileSite(t *testing.T, zones ...string) (*site, *fragileUpstreams, *syncBuffer) {
	s, logs := newLoggedSite(t)
	f := &fragileUpstreams{s: s}
	for i := range 12 {
		f.add(fmt.Sprint("i-", i), "a1")
	}
	s.declare(4, "k1")
	for i, zone := range zones {
		s.host(fmt.Sprint("h", i), zone)
	}
	s.awaitServing()
	for _, h := range s.hosts {
		g := NewWithT(t)
		g.Eventually(func() int { return s.activeHosts(h) }, "15s", "20ms").Should(Equal(len(zones)), "active hosts that a host knows")
	}
	return s, f, logs
}

// activeHosts returns the number of active hosts that a host knows in all regions.
func (s *site) activeHosts(h *host) int {
	active := map[string]bool{}
	for _, region := range []string{"a", "b"} {
		resp, err := http.Get("http://" + h.listen.Directory + "/-/resolve?name=x.example&region=" + region)
		if err != nil {
			return 0
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil {
			return 0
		}
		for _, a := range answer.Addresses {
			active[a] = true
		}
	}
	return len(active)
}

// Guards against a request that callers repeat at all hosts, each time with another ID, until no upstream runs.
func TestRepeatedRequestEndsThreeUpstreamsAtMost(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{{"GET", "/read/ends", ""}, {"POST", "/post/ends", "weight=200"}} {
		t.Run(c.method, func(t *testing.T) {
			g := NewWithT(t)
			s, f, _ := newFragileSite(t, "a1", "a1")
			refused, others := 0, 0
			for i := range 20 {
				a := s.call(s.hosts[i%2], c.method, c.path, "k1", c.body)
				g.Expect(a.status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable))
				if a.status == http.StatusServiceUnavailable {
					g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
					refused++
				}
				if s.read(s.hosts[i%2]).status == http.StatusOK {
					others++
				}
				time.Sleep(50 * time.Millisecond)
			}
			g.Expect([]int{int(f.ended.Load()), others}).To(Equal([]int{maxEnds, 20}), "ended upstreams, other requests that were served")
			g.Expect(refused).To(BeNumerically(">", 0))
		})
	}
}

// Guards against an end of an upstream of which no line says which request was in flight.
func TestUpstreamEndIsLoggedWithTheRequest(t *testing.T) {
	g := NewWithT(t)
	s, _, logs := newFragileSite(t, "a1")
	_ = s.call(s.hosts[0], "GET", "/read/ends", "k1", "")
	g.Eventually(logs.String, "5s", "20ms").Should(MatchRegexp(`msg="upstream ended" .* request=[0-9a-f]{16} route=read service=s customer=t1 upstream=i-\d+ zone=a1`))
	g.Expect(s.metrics(s.hosts[0])).To(MatchRegexp(`balsambarrow_requests_at_upstream_end_total\{service="s"\} [12]`))
}

// Guards against a harmless request that is refused because it was in flight at upstreams that ended under another one.
func TestRequestBesideOneThatEndsUpstreamsIsServed(t *testing.T) {
	g := NewWithT(t)
	s, f, _ := newFragileSite(t, "a1", "a1")
	f.takes = 60 * time.Millisecond
	var harmful sync.WaitGroup
	for i := range 2 {
		harmful.Go(func() {
			for range 10 {
				_ = s.call(s.hosts[i], "GET", "/read/ends", "k1", "")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i := range 10 {
		a := s.call(s.hosts[i%2], "GET", "/read/slow", "k1", "")
		g.Expect(a.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
	}
	harmful.Wait()
	g.Expect(f.ended.Load()).To(BeNumerically(">=", maxEnds))
	g.Expect(s.call(s.hosts[0], "GET", "/read/slow", "k1", "").status).To(Equal(http.StatusOK))
	g.Expect(s.call(s.hosts[1], "GET", "/read/ends", "k1", "").body).To(ContainSubstring("ends-upstreams"))
}

// Guards against a host that has just started and sends a request that all others refuse.
func TestStartedHostRefusesARequestThatEndsUpstreams(t *testing.T) {
	g := NewWithT(t)
	s, f, _ := newFragileSite(t, "a1", "a1")
	for i := range 5 {
		_ = s.call(s.hosts[i%2], "GET", "/read/ends", "k1", "")
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(f.ended.Load()).To(BeEquivalentTo(maxEnds))
	started := s.host("h2", "a1")
	g.Eventually(func() string { return s.metrics(started) }, "15s", "50ms").Should(ContainSubstring("balsambarrow_suspect_requests_refused 1"))
	g.Expect(s.call(started, "GET", "/read/ends", "k1", "").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(f.ended.Load()).To(BeEquivalentTo(maxEnds))
}

// Guards against a restart within milliseconds that hides that the upstream has ended.
func TestUpstreamThatRestartsAtOnceHasEnded(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	k := &standin.PlatformUpstream{ID: "i-1"}
	server := httptest.NewServer(k)
	t.Cleanup(server.Close)
	k.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	address := server.Listener.Addr().String()
	s.register(k, "s", address, "a1", "ready", 1)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	g.Eventually(func() int { return s.read(h).status }, "15s", "50ms").Should(Equal(http.StatusBadGateway))
	g.Expect(logs.String()).NotTo(ContainSubstring("upstream ended"))
	s.store.Put("servers/i-1", bytes.Replace(k.RegistryEntry("s", address, "a1", "ready", 1), []byte("1700000000000"), []byte("1700000000001"), 1))
	g.Eventually(logs.String, "5s", "20ms").Should(MatchRegexp(`msg="upstream ended" .* upstream=i-1 zone=a1 ends=1`))
}

// Guards against operators who cannot let a refused request pass.
func TestTrustedRequestIsSentAgain(t *testing.T) {
	g := NewWithT(t)
	s, f, logs := newFragileSite(t, "a1")
	h := s.hosts[0]
	for range 5 {
		_ = s.call(h, "GET", "/read/ends", "k1", "")
	}
	g.Expect(f.ended.Load()).To(BeEquivalentTo(maxEnds))
	var line []string
	g.Eventually(func() []string {
		line = regexp.MustCompile(`msg="request refused by all hosts" .* request=([0-9a-f]{16}) .* ends=3 refused_for=1m0s`).FindStringSubmatch(logs.String())
		return line
	}, "5s", "20ms").Should(HaveLen(2))
	f.mended.Store(true)
	g.Expect(s.call(h, "GET", "/read/ends", "k1", "").status).To(Equal(http.StatusServiceUnavailable))
	settings := *h.daemon.Settings()
	settings.TrustedRequests = line[1:]
	h.daemon.Reload(&settings)
	g.Expect(s.call(h, "GET", "/read/ends", "k1", "").status).To(Equal(http.StatusOK))
	settings.TrustedRequests = nil
	h.daemon.Reload(&settings)
	g.Expect(s.call(h, "GET", "/read/ends", "k1", "").status).To(Equal(http.StatusOK), "the answer has cleared it")
}

// Guards against an upstream that counts as ended because it takes no more connections, or a path to it refuses them.
func TestUpstreamWithOpenConnectionsHasNotEnded(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	s.worker("i-1", "s", "a1", 0).SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.RequestURI, "lost") {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(100 * time.Millisecond)
		w.Header().Set("X-Response-Signature", "signed")
	})
	s.declare(4, "k1")
	uplink := &standin.Uplink{}
	h := s.hostWith("h1", "a1", hostOptions{uplink: uplink})
	s.awaitServing()
	var reads sync.WaitGroup
	for range 4 {
		reads.Go(func() { _ = s.read(h) })
	}
	reads.Wait()
	uplink.SetFault(standin.UplinkRefusesNew)
	g.Expect(s.call(h, "POST", "/post/lost", "k1", "weight=200").status).To(Equal(http.StatusBadGateway))
	g.Eventually(logs.String, "5s", "20ms").Should(ContainSubstring(`msg="answer lost"`))
	g.Expect(logs.String()).NotTo(ContainSubstring(`msg="upstream ended"`))
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_suspect_requests 0"))
}

// Guards against an upstream that counts as ended because it resets connections while it accepts new ones.
func TestUpstreamThatAcceptsConnectionsHasNotEnded(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	var resets atomic.Int64
	s.rawUpstream("i-1", func(c net.Conn, _ string) {
		resets.Add(1)
		tcpreset.Enable(c)
	})
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	g.Eventually(func() int64 {
		_ = s.read(h)
		return resets.Load()
	}, "15s", "50ms").Should(BeNumerically(">=", 2*maxEnds))
	g.Eventually(logs.String, "5s", "20ms").Should(ContainSubstring(`msg="answer lost"`))
	g.Expect(logs.String()).NotTo(ContainSubstring(`msg="upstream ended"`))
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_suspect_requests 0"))
}

// Guards against an upstream that counts as ended because it stops as announced, or spoils a response.
func TestAnnouncedStopAndSpoiledResponseAreNoEnds(t *testing.T) {
	for _, state := range []string{"draining", "removed", "spoils"} {
		t.Run(state, func(t *testing.T) {
			g := NewWithT(t)
			s, logs := newLoggedSite(t)
			k := &standin.PlatformUpstream{ID: "i-1"}
			server := httptest.NewServer(k)
			t.Cleanup(server.Close)
			started, finish := make(chan struct{}, 1), make(chan struct{})
			k.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				if !strings.Contains(r.RequestURI, "last") {
					w.Header().Set("X-Response-Signature", "signed")
					return
				}
				started <- struct{}{}
				<-finish
				_ = server.Listener.Close()
				if state != "spoils" {
					panic(http.ErrAbortHandler)
				}
				// A success without a signature.
			})
			address := server.Listener.Addr().String()
			s.register(k, "s", address, "a1", "ready", 1)
			s.declare(4, "k1")
			h := s.host("h1", "a1")
			s.awaitServing()
			answer := make(chan response, 1)
			go func() { answer <- s.call(h, "POST", "/post/last", "k1", "weight=200") }()
			<-started
			switch state {
			case "draining":
				s.register(k, "s", address, "a1", "draining", 2)
				g.Eventually(logs.String, "5s", "20ms").Should(MatchRegexp(`upstream=i-1 .*state=draining|draining.*i-1`))
			case "removed":
				s.store.Delete("servers/i-1")
				g.Eventually(h.daemon.Upstreams, "5s", "20ms").Should(BeZero())
			}
			close(finish)
			g.Expect((<-answer).status).To(Equal(http.StatusBadGateway))
			g.Eventually(logs.String, "5s", "20ms").Should(ContainSubstring(`msg="answer lost"`))
			g.Consistently(logs.String, "300ms", "50ms").ShouldNot(ContainSubstring(`msg="upstream ended"`))
		})
	}
}

// Guards against a further connection to an upstream to which one was opened a moment ago to find out whether it has ended.
func TestConnectionThatShowsNoEndCarriesTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	var lose atomic.Bool
	k := &standin.PlatformUpstream{ID: "i-1"}
	server := httptest.NewUnstartedServer(k)
	var opened atomic.Int64
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	k.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		if lose.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Response-Signature", "signed")
	})
	s.register(k, "s", server.Listener.Addr().String(), "a1", "ready", 1)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	g.Expect(s.post(h).status).To(Equal(http.StatusOK))
	lose.Store(true)
	before := opened.Load()
	g.Expect(s.post(h).status).To(Equal(http.StatusBadGateway))
	const checks = 2 // of the upstream, and of the links
	g.Eventually(func() int64 { return opened.Load() - before }, "5s", "5ms").Should(Equal(int64(checks)))
	g.Expect(s.post(h).status).To(Equal(http.StatusOK))
	g.Expect(opened.Load()-before).To(Equal(int64(checks)), "the request has opened none")
}
