package entryhost_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/standin"
)

func TestServesRequestsEndToEnd(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	s.store.SetFaultFunc(func(string) standin.StoreFault { return standin.StoreUnavailable })
	one, two := s.host("h1", "a1"), s.host("h2", "a2")
	g.Expect(s.read(one).status).To(Equal(http.StatusServiceUnavailable), "no configuration is known yet")
	g.Expect(one.ready()).To(BeFalse())
	s.store.SetFaultFunc(nil)
	s.awaitServing()
	a := s.post(two)
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.header.Get("X-Response-Signature")).To(Equal("signed-by-i-1"))
	runs := k.Runs()
	last := runs[len(runs)-1]
	g.Expect(last.Customer).To(Equal("t1"))
	g.Expect(last.Key).To(BeEmpty())
	g.Expect(last.Body).To(Equal("weight=200"))
	g.Expect(s.call(one, "GET", "/read/1", "", "").status).To(Equal(http.StatusUnauthorized))
	g.Expect(s.call(one, "GET", "/read/1", "none", "").status).To(Equal(http.StatusUnauthorized))
	g.Expect(s.call(one, "GET", "/none/", "k1", "").status).To(Equal(http.StatusNotFound))
	g.Expect(s.call(one, "GET", "/open/1?a=%2F", "", "").status).To(Equal(http.StatusOK))
	g.Expect(s.call(one, "POST", "/post/1", "k1", strings.Repeat("x", 1001)).status).To(Equal(http.StatusRequestEntityTooLarge))
	runs = k.Runs()
	g.Expect(runs[len(runs)-1].Target).To(Equal("/open/1?a=%2F"))
	g.Eventually(func() []string { return directory(t, one, "a") }, "5s", "50ms").Should(
		ConsistOf(one.listen.Callers, two.listen.Callers))
	g.Expect(directory(t, one, "b")).To(HaveLen(2), "the region has no hosts, so hosts of other regions are named")
	g.Expect(one.ready()).To(BeTrue())
	g.Expect(status(one.listen.Metrics, "/metrics")).To(Equal(http.StatusOK))
}

func directory(t *testing.T, h *host, region string) []string {
	resp, err := http.Get("http://" + h.listen.Directory + "/-/resolve?name=x.example&region=" + region + "&zone=" + region + "1")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	text, err := io.ReadAll(resp.Body)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(json.Unmarshal(text, &d)).To(Succeed())
	NewWithT(t).Expect(time.ParseDuration(d.TTL)).To(BeNumerically(">", 0))
	return d.Addresses
}

// Guards against a withdrawn API key that still works: it must be refused, other keys must go
// on working, and a later write of an older version must not restore it.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1", "k2")
	h := s.host("h1", "a1")
	s.awaitServing()
	withdrawn := func() int { return s.call(h, "GET", "/read/1", "k2", "").status }
	g.Expect(withdrawn()).To(Equal(http.StatusOK))
	s.declare(9, "k1")
	g.Eventually(withdrawn, "5s", "20ms").Should(Equal(http.StatusUnauthorized))
	s.declare(8, "k1", "k2")
	s.store.Put("op/config", []byte(`{"version":"r10","routes":`))
	g.Consistently(withdrawn, "500ms", "50ms").Should(Equal(http.StatusUnauthorized))
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	s.store.CompactHistory()
	s.declare(12, "k1", "k2")
	g.Eventually(withdrawn, "5s", "20ms").Should(Equal(http.StatusOK), "after a compaction too")
}

// Guards against a withdrawn API key that works longer than promised on a host that has lost
// the store, for each way in which the store can fail. The host must refuse all keys in time,
// respond that the request has not run, and leave the directory. When the store is back, the
// host must serve again.
func TestHostWithoutStoreRefusesKeys(t *testing.T) {
	for name, fault := range map[string]standin.StoreFault{
		"silent": standin.StoreUnresponsive, "busy": standin.StoreUnavailable, "many": standin.StoreTooManyRequests, "reset": standin.StoreReset,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSite(t)
			s.worker("i-1", "s", "a1", 0)
			s.declare(4, "k1")
			h := s.host("h1", "a1")
			s.awaitServing()
			s.store.SetFaultFunc(func(string) standin.StoreFault { return fault })
			var a response
			g.Eventually(func() int {
				a = s.read(h)
				return a.status
			}, "10s", "50ms").Should(Equal(http.StatusServiceUnavailable))
			g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Eventually(h.ready, "10s", "50ms").Should(BeFalse())
			g.Expect(s.call(h, "GET", "/open/1", "", "").status).To(Equal(http.StatusOK), "the route needs no key")
			g.Expect(s.call(h, "GET", "/none/", "k1", "").status).To(Equal(http.StatusServiceUnavailable), "the path may belong to a newer configuration")
			s.store.SetFaultFunc(nil)
			g.Eventually(func() int { return s.read(h).status }, "10s", "50ms").Should(Equal(http.StatusOK))
			g.Eventually(h.ready, "10s", "50ms").Should(BeTrue())
		})
	}
}

// Guards against requests to an upstream that is leaving, for each way in which an upstream can
// leave. The other upstream must serve meanwhile.
func TestLeavingUpstreamsReceiveNoNewRequests(t *testing.T) {
	for name, leave := range map[string]func(*site, *standin.PlatformUpstream){
		"draining": func(s *site, k *standin.PlatformUpstream) { s.register(k, "s", "127.0.0.1:1", "a1", "draining", 2) },
		"removed":  func(s *site, k *standin.PlatformUpstream) { s.store.Delete("servers/" + k.ID) },
		"invalid":  func(s *site, k *standin.PlatformUpstream) { s.store.Put("servers/"+k.ID, []byte(`{"service":7}`)) },
		"evacuated": func(s *site, _ *standin.PlatformUpstream) {
			s.store.Put("op/evacuate/a1", []byte(`{}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSite(t)
			leaving, remaining := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "b1", 0)
			s.declare(4, "k1")
			h := s.host("h1", "a1")
			s.awaitServing()
			leave(s, leaving)
			seen := func() int { return len(leaving.Runs()) }
			noNewRequests := func() bool {
				before := seen()
				for range 10 {
					if s.read(h).status != http.StatusOK {
						return false
					}
				}
				return seen() == before
			}
			g.Eventually(noNewRequests, "6s", "100ms").Should(BeTrue())
			g.Expect(noNewRequests()).To(BeTrue())
			g.Expect(remaining.Runs()).NotTo(BeEmpty())
		})
	}
}

// Checks the response to the caller, and how often the request has run, for each way in which
// an attempt can fail. A posting must never run twice, and "not run" must be true.
func TestOutcomesOfFailedAttempts(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "from nobody") }
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, "x")
	}
	short := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}
	fails := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Signature", "failure-of-first")
		w.WriteHeader(http.StatusInternalServerError)
	}
	cases := []struct {
		name    string
		handler func(http.ResponseWriter, *http.Request)
		post    bool
		status  int
		// arrivals is the number of arrivals at both upstreams together.
		arrivals int
	}{
		{"read, aborted", abort, false, http.StatusBadGateway, 2},
		{"post, aborted", abort, true, http.StatusBadGateway, 1},
		{"read, shed", shed, false, http.StatusServiceUnavailable, 2},
		{"post, shed", shed, true, http.StatusServiceUnavailable, 2},
		{"read, unsigned", unsigned, false, http.StatusBadGateway, 2},
		{"post, unsigned", unsigned, true, http.StatusBadGateway, 1},
		{"read, encoded", encoded, false, http.StatusBadGateway, 2},
		{"read, truncated", short, false, http.StatusBadGateway, 2},
		{"post, truncated", short, true, http.StatusBadGateway, 1},
		{"read, failed", fails, false, http.StatusInternalServerError, 2},
		{"post, failed", fails, true, http.StatusInternalServerError, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSite(t)
			one, two := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)
			s.declare(4, "k1")
			h := s.host("h1", "a1")
			s.awaitServing()
			before := len(one.Runs()) + len(two.Runs())
			one.SetHandler(c.handler)
			two.SetHandler(c.handler)
			call := s.read
			if c.post {
				call = s.post
			}
			got := call(h)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(c.status), got.body)
			g.Expect(len(one.Runs()) + len(two.Runs()) - before).To(Equal(c.arrivals))
			if c.status == http.StatusServiceUnavailable {
				g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			}
			if c.status != http.StatusInternalServerError {
				g.Expect(got.header.Get("X-Response-Signature")).To(BeEmpty())
			}
		})
	}
}

// Guards against failures of one upstream that reach the caller: a read must be served by the
// other upstream.
func TestReadIsRetriedAtAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	one, two := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	failing := one
	if len(two.Runs()) > 0 {
		failing = two
	}
	failing.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 20 {
		g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	}
}

// Guards against a wrong outcome when an upstream's address passes to another upstream while
// the old entry is still in use. The other upstream refuses the request, and the response must
// say that the request has not run.
func TestAddressReusedByAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	before := len(k.Runs())
	k.SetInstanceID("i-other")
	g.Expect(s.post(h).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(k.Runs()).To(HaveLen(before))
}

// Guards against requests that are lost when a host is stopped while it serves requests and
// receives more. Each must get its complete response, and the directory must no longer name the
// host.
func TestStopCompletesRunningRequests(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 300*time.Millisecond)
	s.worker("i-2", "s", "a2", 300*time.Millisecond)
	s.declare(4, "k1")
	stopping, other := s.host("h1", "a1"), s.host("h2", "a2")
	s.awaitServing()
	g.Eventually(func() []string { return directory(t, other, "a") }, "5s", "50ms").Should(HaveLen(2))
	var wait sync.WaitGroup
	var mu sync.Mutex
	failures := []string{}
	for i := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			if a := s.post(stopping); a.err != nil || a.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprint(a.status, a.err, a.body))
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	stopping.stopped.Store(true)
	stopping.daemon.Stop()
	wait.Wait()
	g.Expect(failures).To(BeEmpty())
	g.Expect(directory(t, other, "a")).To(ConsistOf(other.listen.Callers))
	g.Expect(s.store.Keys("balsambarrow/hosts/")).To(HaveLen(1), "its registration is removed")
}

// Guards against a request that goes on at the upstream after its caller has disconnected.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	canceled := make(chan struct{})
	k.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(canceled)
	})
	client := &http.Client{Timeout: 200 * time.Millisecond}
	r, err := http.NewRequest("GET", "http://"+h.listen.Callers+"/read/1", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "x.example"
	r.Header = http.Header{"X-Request-Id": {"leaves"}, "Authorization": {"Bearer k1"}}
	_, err = client.Do(r)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(canceled, "2s").Should(BeClosed())
}

// Guards against hosts that start together and do not find each other because stale reads of
// the store do not show their registrations yet. They must know each other before they serve,
// since otherwise each would grant the full rate of every customer.
func TestHostsThatStartTogetherFindEachOther(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.store.SetStaleReadsEmpty(true)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	one, two := s.host("h1", "a1"), s.host("h2", "a2")
	s.awaitServing()
	for _, h := range []*host{one, two} {
		g.Eventually(func() []string { return directory(t, h, "a") }, "5s", "50ms").Should(
			ConsistOf(one.listen.Callers, two.listen.Callers))
	}
}

// Guards against a customer that uses up all file descriptors of a host. Callers keep their
// connections open, and retry on a new one after a refusal. A refusal must therefore close its
// connection, while a served request keeps it.
func TestRefusalClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	client := &http.Client{Transport: &http.Transport{}}
	request := func() (status int, closes bool) {
		r, err := http.NewRequest("GET", "http://"+h.listen.Callers+"/open/1", nil)
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = "x.example"
		r.Header.Set("X-Request-Id", fmt.Sprint("id-", s.serial.Add(1)))
		resp, err := client.Do(r)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Close
	}
	status, closes := request()
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "no upstream")
	g.Expect(closes).To(BeTrue())
	s.worker("i-1", "s", "a1", 0)
	g.Eventually(func() int { status, closes = request(); return status }, "10s", "50ms").Should(Equal(http.StatusOK))
	g.Expect(closes).To(BeFalse())
}

// Guards against a request that is sent to an upstream after its caller has disconnected. On a
// busy host, the caller may close its connection before the host has read the request.
// TCP_CORK holds the request back here until the connection is closed.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	before := len(k.Runs())
	for range 50 {
		c, err := net.Dial("tcp", h.listen.Callers)
		g.Expect(err).NotTo(HaveOccurred())
		// The close arrives together with the request.
		raw, err := c.(*net.TCPConn).SyscallConn()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1)
		})).To(Succeed())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "GET /open/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: left\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Close()).To(Succeed())
	}
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Expect(len(k.Runs())-before).To(Equal(1), "only the request whose caller waits for the response")
}

// Guards against callers that are directed to a host with a slow link, where their responses
// are queued behind large responses to other callers. In a fleet with three fast hosts, the
// directory of every host must name only those. The slow host must be ready, and serve a caller
// that uses an old address by the current configuration; when the fast hosts have died, it must
// become active.
func TestWeakHostIsStandby(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	fast := hostOptions{mbps: 200}
	strong := []*host{s.hostWith("h1", "a1", fast), s.hostWith("h2", "a2", fast), s.hostWith("h3", "a2", fast)}
	weak := s.hostWith("h4", "a1", hostOptions{mbps: 10})
	s.awaitServing()
	var named []string
	for _, h := range strong {
		named = append(named, h.listen.Callers)
	}
	for _, h := range s.hosts {
		g.Eventually(func() []string { return directory(t, h, "a") }, "20s", "50ms").Should(ConsistOf(named))
	}
	g.Expect(weak.ready()).To(BeTrue())
	g.Expect(s.read(weak).status).To(Equal(http.StatusOK))

	s.declare(7, "k2")
	// The standby's own next read of the store is minutes away.
	granted := func() int { return s.call(weak, "GET", "/read/1", "k2", "").status }
	g.Eventually(granted, "2500ms", "100ms").Should(Equal(http.StatusOK), "the standby learns of the new configuration")
	for _, h := range strong {
		h.stopped.Store(true)
		h.daemon.Kill()
	}
	g.Eventually(func() []string { return directory(t, weak, "a") }, "20s", "50ms").Should(ConsistOf(weak.listen.Callers))
	g.Eventually(weak.ready, "5s", "50ms").Should(BeTrue())
}

// Guards against refusals after the loss of all hosts: they start together, and callers arrive
// before any host knows the configuration, the active hosts or the holder of the customer's
// bucket. Most callers retry only once.
func TestCallersDuringStartupAreServed(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	s.store.SetFaultFunc(func(string) standin.StoreFault { return standin.StoreUnavailable })
	longWait := hostOptions{startupWait: time.Minute}
	hosts := []*host{s.hostWith("h1", "a1", longWait), s.hostWith("h2", "a2", longWait)}
	var callers sync.WaitGroup
	statuses, named := make([]int, len(hosts)), make([][]string, len(hosts))
	for i, h := range hosts {
		callers.Go(func() { statuses[i] = s.read(h).status })
		callers.Go(func() { named[i] = directory(t, h, "a") })
	}
	s.store.SetFaultFunc(nil)
	callers.Wait()
	for i := range hosts {
		g.Expect(statuses[i]).To(Equal(http.StatusOK))
		g.Expect(named[i]).NotTo(BeEmpty())
	}
}

// Guards against a start that costs several store calls per host. A host that joins stronger
// hosts must read the active-hosts hint, get the rest of the state from one of them, register
// once, as a standby, and never become active.
func TestWeakHostStartsWithFewStoreCalls(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	var named []string
	for i := range 3 {
		named = append(named, s.hostWith(fmt.Sprint("strong-", i), "a1", hostOptions{mbps: 200}).listen.Callers)
	}
	s.awaitServing()
	g.Eventually(s.hintHosts, "10s", "10ms").Should(Equal(3))
	before := s.store.Calls()
	weak := s.hostWith("weak", "a1", hostOptions{mbps: 10})
	g.Eventually(weak.ready, "5s", "10ms").Should(BeTrue())
	g.Eventually(func() []string { return directory(t, weak, "a") }, "5s", "10ms").Should(ConsistOf(named))
	g.Eventually(func() int { return s.store.Calls()["/-/kv-lease"] - before["/-/kv-lease"] }, "5s", "10ms").Should(Equal(1), "the registration")
	after := s.store.Calls()
	g.Expect(after["/-/kv-range"]-before["/-/kv-range"]).To(BeZero(), "current listings")
	g.Expect(after["/-/kv-range stale"]-before["/-/kv-range stale"]).To(Equal(1), "the active-hosts hint")
	g.Expect(after["/-/kv-lease"] - before["/-/kv-lease"]).To(Equal(1))
	g.Eventually(func() []string { return directory(t, s.hosts[0], "a") }, "5s", "10ms").Should(ConsistOf(named))
}

// Guards against a host whose first registration takes longer than its first watch waits for
// it, as with a slow store: it would be active and refuse all requests as over their rate until
// its next read of the store.
func TestLateFirstRegistrationTriggersStoreRead(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	logs := &syncBuffer{}
	s.logs = logs
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	s.store.SetFaultFunc(func(path string) standin.StoreFault {
		if path == "/-/kv-lease" {
			return standin.StoreUnavailable
		}
		return standin.StoreHealthy
	})
	h := s.host("h1", "a1")
	g.Eventually(h.ready, "10s", "10ms").Should(BeTrue(), "it does not wait for its registration")
	s.store.SetFaultFunc(nil)
	g.Eventually(logs.String, "10s", "10ms").Should(ContainSubstring("cause=registered"))
	s.awaitServing()
}

// Guards against a read of the store, or a refusal, for each caller that connects to a standby:
// the watcher must confirm the standby's state. In this test the store does not respond to the
// standby at all.
func TestStandbyIsConfirmedByWatcher(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	for i := range 3 {
		s.hostWith(fmt.Sprint("strong-", i), "a1", hostOptions{mbps: 200})
	}
	gate, address := s.gate()
	weak := s.hostWith("weak", "a1", hostOptions{mbps: 10, store: address})
	s.awaitServing()
	g.Eventually(func() int { return len(directory(t, weak, "a")) }, "10s", "10ms").Should(Equal(3))
	gate.shut.Store(true)
	for range 50 {
		g.Expect(s.read(weak).status).To(Equal(http.StatusOK))
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against refusals on a host that the store rejects while it serves the others. A peer
// confirms that nothing has changed, so callers of that host must still be served. A withdrawn
// API key must not be accepted longer than promised, although the host cannot read the new
// configuration from the store.
func TestHostRejectedByStoreIsConfirmedByPeer(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1", "k2")
	var gates []*gate
	for _, name := range []string{"h1", "h2"} {
		gate, address := s.gate()
		gates = append(gates, gate)
		s.hostWith(name, "a1", hostOptions{store: address})
	}
	s.awaitServing()
	for i, h := range s.hosts {
		served := func() int { return s.read(h).status }
		withdrawn := func() int { return s.call(h, "GET", "/read/1", "k2", "").status }
		gates[i].shut.Store(true)
		g.Consistently(served, "6s", "100ms").Should(Equal(http.StatusOK), "well past the bound on withdrawn keys")
		g.Expect(withdrawn()).To(Equal(http.StatusOK))
		s.declare(5+2*i, "k1")
		g.Eventually(withdrawn, "4s", "50ms").ShouldNot(Equal(http.StatusOK))
		g.Consistently(withdrawn, "1s", "50ms").ShouldNot(Equal(http.StatusOK))
		gates[i].shut.Store(false)
		s.declare(6+2*i, "k1", "k2")
		g.Eventually(withdrawn, "5s", "50ms").Should(Equal(http.StatusOK))
		s.awaitServing()
	}
}

// Guards against a large configuration that peers cannot pass on: each host would have to read
// it from the store, and a host that the store rejects would refuse requests to new routes, or
// serve dropped ones, for as long as it is rejected.
func TestLargeConfigurationReachesHostThroughPeer(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.extraRoutes = 2000
	s.declare(4, "k1")
	s.host("h1", "a1")
	gate, address := s.gate()
	h := s.hostWith("h2", "a1", hostOptions{store: address})
	s.awaitServing()
	added := func() int { return s.call(h, "GET", fmt.Sprintf("/added-%d/", s.extraRoutes-1), "", "").status }
	g.Expect(added()).To(Equal(http.StatusOK))
	gate.shut.Store(true)
	for i, routes := range []int{2001, 4000} {
		s.extraRoutes = routes
		s.declare(5+i, "k1")
		g.Eventually(added, "10s", "50ms").Should(Equal(http.StatusOK))
	}
}

// Guards against refusals when the store stops responding to all hosts of a region and serves
// the other region. One host after the other finds out and passes the watch on to the next,
// which does not reach the store either. Their callers must still be served by the state of the
// other region.
func TestRegionRejectedByStoreIsConfirmedByOtherRegion(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	var gates []*gate
	var shut []*host
	for _, zone := range []string{"a1", "a2"} {
		gate, address := s.gate()
		gates = append(gates, gate)
		shut = append(shut, s.hostWith("h-"+zone, zone, hostOptions{store: address}))
	}
	s.host("h-b1", "b1")
	s.awaitServing()
	for _, gate := range gates {
		gate.shut.Store(true)
	}
	for range 60 {
		for _, h := range shut {
			g.Expect(s.read(h).status).To(Equal(http.StatusOK))
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.declare(5, "k2")
	for _, h := range shut {
		g.Eventually(func() int { return s.call(h, "GET", "/read/1", "k2", "").status }, "4s", "50ms").Should(Equal(http.StatusOK),
			"changes arrive too")
		g.Expect(s.read(h).status).To(Equal(http.StatusUnauthorized))
	}
}

func TestSettingsFaults(t *testing.T) {
	g := NewWithT(t)
	_, err := entryhost.ParseSettings("boot", []byte(`{
		"host": "", "zone": "x", "zones": {"a": "r"},
		"listen": {"callers": "host:1"},
		"bounds": {"grace": "6", "max_shift": 2},
		"unknown": 1,
		"overload": {"sharing": "yes", "queue": "never"},
		"trusted_requests": ["00ff00ff00ff00ff", "ff"],
		"log_level": "loud"
	}`))
	var faults jsonc.Faults
	g.Expect(err).To(BeAssignableToTypeOf(faults))
	for _, place := range []string{"/host", "/zone", "/listen/callers", "/store", "/bounds/grace", "/bounds/max_shift", "/unknown", "/overload/sharing", "/overload/queue", "/trusted_requests/1", "/log_level"} {
		g.Expect(err.Error()).To(ContainSubstring(place))
	}
}

// Guards against customers' API keys in logs or metrics, including those of refused, failed and
// unauthorized requests.
func TestKeysStayOutOfLogsAndMetrics(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	var logs syncBuffer
	s.logs = &logs
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1", "secret-granted")
	h := s.host("h1", "a1")
	s.awaitServing()
	s.store.Put("op/config", []byte(`{"version":"r9","tenants":{"columns":["api-keys"],"rows":[["secret-broken"]]}}`))
	use := func() {
		s.call(h, "GET", "/read/1", "secret-granted", "")
		s.call(h, "POST", "/post/1", "secret-granted", "x")
		s.call(h, "GET", "/read/1", "secret-unknown", "")
		s.call(h, "GET", "/open/1", "secret-needless", "")
	}
	use()
	k.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	use()
	s.store.Delete("servers/i-1")
	g.Eventually(func() int { return s.read(h).status }, "5s", "50ms").Should(Equal(http.StatusServiceUnavailable))
	use()
	metrics := s.metrics(h)
	g.Expect(metrics).To(ContainSubstring("balsambarrow_answers_total"))
	g.Eventually(logs.String, "5s").Should(ContainSubstring("no-upstream"))
	g.Eventually(logs.String, "5s", "20ms").Should(ContainSubstring("configuration refused"))
	g.Expect(logs.String() + metrics).NotTo(ContainSubstring("secret"))
}

// A request that is tried at two upstreams must leave a span for the host and one for each
// attempt, all with the caller's trace id.
func TestSpansOfARequest(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.traces = filepath.Join(t.TempDir(), "spans")
	one, two := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	one.SetHandler(abort)
	two.SetHandler(abort)
	r, err := http.NewRequest("GET", "http://"+h.listen.Callers+"/read/1", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "x.example"
	const trace = "0af7651916cd43dd8448eb211c80319c"
	r.Header = http.Header{"X-Request-Id": {"traced"}, "Authorization": {"Bearer k1"}, "Traceparent": {"00-" + trace + "-b7ad6b7169203331-01"}}
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	h.stopped.Store(true)
	h.daemon.Stop()
	text, err := os.ReadFile(s.traces)
	g.Expect(err).NotTo(HaveOccurred())
	names := map[string]int{}
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, trace) {
			for _, name := range []string{`"Name":"entry"`, `"Name":"upstream"`} {
				names[name] += strings.Count(line, name)
			}
		}
	}
	g.Expect(names).To(Equal(map[string]int{`"Name":"entry"`: 1, `"Name":"upstream"`: 2}))
}

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
