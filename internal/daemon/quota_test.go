package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/wire"
)

// arrivals is an upstream that notes when requests come.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	a.at = append(a.at, time.Now())
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (a *arrivals) times() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.SortedFunc(slices.Values(a.at), time.Time.Compare)
}

// onTheWay is how far the ways of two requests from admission to the upstream
// may differ in time on a busy machine.
const onTheWay = 250 * time.Millisecond

// excess is the most by which any window saw more than rate*t + burst.
func excess(at []time.Time, rate, burst float64) float64 {
	most := 0.0
	for i := range at {
		for j := i; j < len(at); j++ {
			window := (at[j].Sub(at[i]) + onTheWay).Seconds()
			most = max(most, float64(j-i+1)-rate*window-burst)
		}
	}
	return most
}

// One customer sends five times its rate through three daemons. One of them
// dies, and another is cut off from the rest and from the platform. The
// upstreams must see no more than the customer's rate and burst in any window,
// and the callers must still get a good part of the rate. The causes guarded
// against: a part of the quota spent by its lender and its borrower, and a
// dead daemon's slots spent by two heirs.
func TestCustomerOverItsRateThroughAKillAndACut(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	hosts := map[string]string{"vt-1": "vt-a", "vt-2": "vt-a", "me-1": "me-a"}
	for host, zone := range hosts {
		f.start(host, zone)
	}
	const rate, burst = 100, 20
	c := twoRegions()
	farm := c.Customers["farm"]
	farm.Rate, farm.Burst = rate, burst
	c.Customers["farm"] = farm
	seen := &arrivals{}
	for _, zone := range []string{"vt-a", "me-a"} {
		server := httptest.NewServer(seen)
		t.Cleanup(server.Close)
		c.Upstreams["lookup-"+zone] = config.Upstream{
			Service: "lookup", Zone: zone, Slots: 64, Address: strings.TrimPrefix(server.URL, "http://"),
		}
	}
	f.awaitReady(f.apply("vt-1", c))
	for host := range hosts {
		f.awaitHandlers(host, "lookup")
	}

	stop := make(chan struct{})
	var callers sync.WaitGroup
	for host := range hosts {
		address := f.daemons[host].Identity().CallerAddress
		callers.Go(func() { f.flood(address, 5*rate/len(hosts), stop) })
	}
	g.Eventually(func() int { return len(seen.times()) }, settle).Should(BeNumerically(">", 4*rate))
	f.network.cut("me-1", "platform")
	f.network.cut("me-1", "vt-1")
	f.network.cut("me-1", "vt-2")
	cutAt := len(seen.times())
	g.Eventually(func() int { return len(seen.times()) }, settle).Should(BeNumerically(">", cutAt+2*rate))
	f.kill("vt-2")
	killAt := len(seen.times())
	g.Eventually(func() int { return len(seen.times()) }, settle).Should(BeNumerically(">", killAt+2*rate))
	close(stop)
	callers.Wait()
	g.Expect(excess(seen.times(), rate, burst)).To(BeZero())
}

// flood sends requests at perSecond until stop; whatever comes back counts.
func (f *fleet) flood(address string, perSecond int, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/svc/lookup/animal/%d", address, n), nil)
			if err != nil {
				panic(err)
			}
			req.Header.Set("Authorization", "Bearer secret")
			req.Header.Set(wire.HeaderTimeoutMs, "2000")
			if resp, err := f.client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
}
