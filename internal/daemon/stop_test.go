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

// steady is callers with one request after another over connections that they
// keep alive. Half of them follow each lookup answer; the others stay with a
// host until an answer asks them to close the connection. Requests are POST
// without a posting id: no library replays those, so a cut one shows.
type steady struct {
	f       *fleet
	stop    chan struct{}
	tasks   sync.WaitGroup
	mu      sync.Mutex
	entries []lookup.Entry
	sent    int
	bad     []reply
}

func (f *fleet) steadyCallers(n int) *steady {
	s := &steady{f: f, stop: make(chan struct{})}
	s.lookUp()
	s.tasks.Go(func() { s.each(100*time.Millisecond, s.lookUp) })
	for i := range n {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		client := &http.Client{Transport: &http.Transport{}}
		caller := &steadyCaller{steady: s, client: client, rng: rng, sticky: i%2 == 0}
		s.tasks.Go(func() {
			s.each(5*time.Millisecond, caller.post)
			client.CloseIdleConnections()
		})
	}
	return s
}

func (s *steady) each(pause time.Duration, do func()) {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(pause):
			do()
		}
	}
}

// lookUp asks any host that the last answer named.
func (s *steady) lookUp() {
	s.mu.Lock()
	ask := make([]string, 0, len(s.entries))
	for _, e := range s.entries {
		ask = append(ask, e.Address)
	}
	if len(ask) == 0 {
		for _, d := range s.f.daemons {
			ask = append(ask, d.Identity().CallerAddress)
		}
	}
	s.mu.Unlock()
	for _, address := range ask {
		resp, err := http.Get("http://" + address + "/v1/entries")
		if err != nil {
			continue
		}
		var answer lookup.Response
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Entries) > 0 {
			s.mu.Lock()
			s.entries = answer.Entries
			s.mu.Unlock()
			return
		}
	}
}

type steadyCaller struct {
	*steady
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
		s.f.t.Logf("bad: sticky=%v host=%s problem=%s err=%v", s.sticky, s.host, r.Problem.Type, r.Err)
		s.mu.Lock()
		s.bad = append(s.bad, r)
		s.mu.Unlock()
	}
}

// postOnce also tells whether the answer asks to close the connection.
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

func (s *steady) end() {
	close(s.stop)
	s.tasks.Wait()
}

// Every daemon but the last is stopped in turn while callers post one request
// after another over connections that they keep alive. No caller may see a
// request cut off, refused or in doubt, and the slots must all end at the
// daemon that is left, at once and not when a lease lapses.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	for _, host := range []string{"vt-1", "vt-2", "vt-3", "vt-4"} {
		f.start(host, "vt-a")
	}
	c := oneZone()
	slow := standin.UpstreamOptions{Slots: 8, ServiceTime: 10 * time.Millisecond}
	for _, name := range []string{"lookup-1", "lookup-2", "lookup-3", "lookup-4"} {
		c.Upstreams[name] = f.upstream(name, "lookup", "vt-a", slow)
	}
	f.awaitReady(f.apply("vt-1", c))
	for host := range f.daemons {
		f.awaitHandlers(host, "lookup")
		g.Eventually(func() wire.Outcome {
			return f.call(host, http.MethodGet, "lookup/x", "secret", nil).Outcome
		}, settle).Should(Equal(wire.OutcomeRan))
	}
	callers := f.steadyCallers(4)
	for _, host := range []string{"vt-1", "vt-2", "vt-3"} {
		took := f.stop(host)
		t.Logf("figure: stop of %s took %v, of which %v for the lookup answers", host, took, fleetLookupTTL)
		g.Expect(f.slotsOf()).To(Equal(allFour), "right after the stop of "+host)
	}
	callers.end()
	t.Logf("figure: %d requests, %d cut, refused or in doubt", callers.sent, len(callers.bad))
	g.Expect(callers.sent).To(BeNumerically(">", 100))
	g.Expect(callers.bad).To(BeEmpty())
}

// fleetLookupTTL is what fleet.start sets.
const fleetLookupTTL = 300 * time.Millisecond

// stop ends a daemon as SIGTERM does, and waits until the mates hold its slots.
func (f *fleet) stop(host string) time.Duration {
	d := f.daemons[host]
	delete(f.daemons, host)
	start := time.Now()
	f.g.Expect(stopWithin(d, settle)).To(Succeed())
	took := time.Since(start)
	// Without a hand-over a mate takes the slots SilenceBound later.
	f.g.Eventually(f.slotsOf, membership.HolderTimeout/2, 5*time.Millisecond).Should(Equal(allFour))
	return took
}

func stopWithin(d *daemon.Daemon, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return d.Stop(ctx)
}

// A customer has saved up its burst when one of two daemons is stopped. The
// saved tokens of the stopped daemon's slots must be there at its mate: after a
// restart of hosts, one by one, a customer would otherwise find none left.
func TestPlannedStopPassesBucketLevels(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	c := oneZone()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	c.Customers["farm"] = withRate(c.Customers["farm"], 40)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-2", "lookup")
	g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
	time.Sleep(2 * time.Second) // the buckets fill: 40 tokens at 40 a second
	c.Customers["farm"] = withRate(c.Customers["farm"], 0.01)
	f.awaitReady(f.apply("vt-1", c))
	f.stop("vt-1")

	spent := func() int {
		n := 0
		for f.call("vt-2", http.MethodGet, "lookup/x", "secret", nil).Outcome == wire.OutcomeRan {
			n++
		}
		return n
	}
	total := 0
	g.Eventually(func() int { total += spent(); return total }, settle, 100*time.Millisecond).Should(BeNumerically(">=", 35))
	g.Expect(total).To(BeNumerically("<=", 41))
}

func withRate(c config.Customer, rate float64) config.Customer {
	c.Rate, c.Burst = rate, 40
	return c
}
