package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/daemon"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/wire"
)

// steadyLoad is a group of callers that send requests one after another over
// keep-alive connections. Half of them pick a host from the latest lookup response
// for each request; the others stay with a host until a response asks them to close
// the connection. The requests are POST without a posting id: no HTTP client retries
// those, so an aborted request is visible.
type steadyLoad struct {
	f        *fleet
	stop     chan struct{}
	tasks    sync.WaitGroup
	mu       sync.Mutex
	entries  []lookup.Entry
	sent     int
	failures []reply
}

func (f *fleet) startSteadyLoad(n int) *steadyLoad {
	s := &steadyLoad{f: f, stop: make(chan struct{})}
	s.refreshEntries()
	s.tasks.Go(func() { s.repeat(100*time.Millisecond, s.refreshEntries) })
	for i := range n {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		client := &http.Client{Transport: &http.Transport{}}
		caller := &steadyCaller{steadyLoad: s, client: client, rng: rng, sticky: i%2 == 0}
		s.tasks.Go(func() {
			s.repeat(5*time.Millisecond, caller.post)
			client.CloseIdleConnections()
		})
	}
	return s
}

func (s *steadyLoad) repeat(pause time.Duration, do func()) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
			do()
		}
	}
}

// refreshEntries sends a lookup to the hosts of the last response, or to any daemon
// if there is none yet, until one responds.
func (s *steadyLoad) refreshEntries() {
	s.mu.Lock()
	addresses := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		addresses = append(addresses, e.Address)
	}
	if len(addresses) == 0 {
		for _, d := range s.f.daemons {
			addresses = append(addresses, d.Identity().CallerAddress)
		}
	}
	s.mu.Unlock()
	for _, address := range addresses {
		resp, err := http.Get("http://" + address + "/v1/entries")
		if err != nil {
			continue
		}
		var response lookup.Response
		err = json.NewDecoder(resp.Body).Decode(&response)
		_ = resp.Body.Close()
		if err == nil && len(response.Entries) > 0 {
			s.mu.Lock()
			s.entries = response.Entries
			s.mu.Unlock()
			return
		}
	}
}

type steadyCaller struct {
	*steadyLoad
	client *http.Client
	rng    *rand.Rand
	sticky bool
	host   string
}

func (s *steadyCaller) post() {
	s.mu.Lock()
	if !s.sticky || s.host == "" {
		s.host = s.entries[s.rng.IntN(len(s.entries))].Address
	}
	s.sent++
	s.mu.Unlock()
	r, closed := postOnce(s.client, "http://"+s.host+"/svc/lookup/x?size=2000")
	if closed {
		s.host = ""
	}
	if r.Err != nil || r.Outcome != wire.OutcomeRan || len(r.Body) != 2000 {
		s.f.t.Logf("failed request: sticky=%v host=%s problem=%s err=%v", s.sticky, s.host, r.Problem.Type, r.Err)
		s.mu.Lock()
		s.failures = append(s.failures, r)
		s.mu.Unlock()
	}
}

// postOnce sends one POST, and also reports whether the response closes the connection.
func postOnce(client *http.Client, url string) (reply, bool) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		return reply{Err: err}, true
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	if err != nil {
		return reply{Err: err}, true
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r := reply{Status: resp.StatusCode, Outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), Body: body, Err: err}
	if r.Outcome != wire.OutcomeRan {
		_ = json.Unmarshal(body, &r.Problem)
	}
	return r, resp.Close
}

func (s *steadyLoad) finish() {
	close(s.stop)
	s.tasks.Wait()
}

// Guards against planned stops that abort requests. All daemons but one are stopped
// in turn while callers send requests over keep-alive connections. No request may be
// aborted, rejected or uncertain. Right after each stop, the remaining daemons must
// hold all slots, without waiting for a lease to expire.
func TestPlannedStopsAbortNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	for _, host := range []string{"vt-1", "vt-2", "vt-3", "vt-4"} {
		f.start(host, "vt-a")
	}
	c := oneZoneConfig()
	slow := standin.UpstreamOptions{Slots: 8, ServiceTime: 10 * time.Millisecond}
	for _, name := range []string{"lookup-1", "lookup-2", "lookup-3", "lookup-4"} {
		c.Upstreams[name] = f.upstream(name, "lookup", "vt-a", slow)
	}
	f.awaitReady(f.apply("vt-1", c))
	for host := range f.daemons {
		f.awaitHandlers(host, "lookup")
		g.Eventually(func() wire.Outcome {
			return f.call(host, http.MethodGet, "lookup/x", "secret", nil).Outcome
		}, settleTimeout).Should(Equal(wire.OutcomeRan))
	}
	callers := f.startSteadyLoad(4)
	for _, host := range []string{"vt-1", "vt-2", "vt-3"} {
		took := f.stop(host)
		t.Logf("figure: stop of %s took %v, of which %v is the lookup TTL", host, took, fleetLookupTTL)
		g.Expect(f.usedSlots()).To(Equal(allSlots), "right after the stop of "+host)
	}
	callers.finish()
	t.Logf("figure: %d requests, %d aborted, rejected or uncertain", callers.sent, len(callers.failures))
	g.Expect(callers.sent).To(BeNumerically(">", 100))
	g.Expect(callers.failures).To(BeEmpty())
}

// fleetLookupTTL is the lookup TTL that fleet.start sets.
const fleetLookupTTL = 300 * time.Millisecond

// stop stops a daemon as SIGTERM does, and waits until its zone peers hold its slots.
func (f *fleet) stop(host string) time.Duration {
	d := f.daemons[host]
	delete(f.daemons, host)
	start := time.Now()
	f.g.Expect(stopWithin(d, settleTimeout)).To(Succeed())
	took := time.Since(start)
	// Without a transfer, a zone peer would claim the slots only after the full holder timeout.
	f.g.Eventually(f.usedSlots, membership.HolderTimeout/2, 5*time.Millisecond).Should(Equal(allSlots))
	return took
}

func stopWithin(d *daemon.Daemon, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d.Stop(ctx)
}

// Guards against losing the saved burst of a customer in a rolling restart. A
// customer has a full burst when one of two daemons is stopped. The tokens of the
// stopped daemon's slots must be transferred to its zone peer.
func TestPlannedStopTransfersBucketLevels(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	c := oneZoneConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	c.Customers["farm"] = withRate(c.Customers["farm"], 40)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-2", "lookup")
	g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
	time.Sleep(2 * time.Second) // fills the buckets: 40 tokens at 40 per second
	c.Customers["farm"] = withRate(c.Customers["farm"], 0.01)
	f.awaitReady(f.apply("vt-1", c))
	f.stop("vt-1")

	spendAll := func() int {
		n := 0
		for f.call("vt-2", http.MethodGet, "lookup/x", "secret", nil).Outcome == wire.OutcomeRan {
			n++
		}
		return n
	}
	total := 0
	g.Eventually(func() int { total += spendAll(); return total }, settleTimeout, 100*time.Millisecond).Should(BeNumerically(">=", 35))
	g.Expect(total).To(BeNumerically("<=", 41))
}

func withRate(c config.Customer, rate float64) config.Customer {
	c.Rate, c.Burst = rate, 40
	return c
}

// Guards against requests that a stopping daemon accepts and aborts at its exit while an upstream works on them.
func TestPlannedStopAcceptsOnlyWhatItCanAnswer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	c := oneZoneConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	c.Services["slow"] = config.Service{TimeoutMs: 8000}
	c.Upstreams["slow-1"] = f.upstream("slow-1", "slow", "vt-a", standin.UpstreamOptions{Slots: 64, ServiceTime: 12 * time.Second})
	f.awaitReady(f.apply("vt-1", c))
	for _, service := range []string{"lookup", "slow"} {
		f.awaitHandlers("vt-1", service)
	}
	address := f.daemons["vt-1"].Identity().CallerAddress
	g.Eventually(func() wire.Outcome { return f.callAt(address, http.MethodGet, "lookup/x", "secret", nil).Outcome }, settleTimeout).Should(Equal(wire.OutcomeRan))
	stopping := f.daemons["vt-1"]
	delete(f.daemons, "vt-1")
	stopped := make(chan error, 1)
	go func() { stopped <- stopWithin(stopping, 4*time.Second) }()
	g.Eventually(func() membership.State { return stopping.View().Self.State }, settleTimeout, time.Millisecond).Should(Equal(membership.StateLeaving))
	long := f.callAt(address, http.MethodPost, "slow/x", "secret", nil)
	short := f.callAt(address, http.MethodPost, "lookup/x", "secret", map[string]string{wire.HeaderTimeoutMs: "500"})
	g.Expect(long.Err).NotTo(HaveOccurred())
	g.Expect(long.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(long.Problem.RetryAfterMs).To(BeNumerically(">", 0))
	g.Expect(f.upstreams["slow-1"].Arrivals()).To(BeEmpty())
	g.Expect(short.Outcome).To(Equal(wire.OutcomeRan))
	g.Expect(<-stopped).To(Succeed())
}
