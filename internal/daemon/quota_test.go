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

// arrivalRecorder is an upstream that records when requests arrive.
type arrivalRecorder struct {
	mu        sync.Mutex
	arrivedAt []time.Time
}

func (a *arrivalRecorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	a.arrivedAt = append(a.arrivedAt, time.Now())
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (a *arrivalRecorder) times() []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.SortedFunc(slices.Values(a.arrivedAt), time.Time.Compare)
}

// delayVariation is how much the delay between admission and the upstream may differ
// between two requests on a busy machine.
const delayVariation = 250 * time.Millisecond

// maxExcess returns the largest excess over rate*t + burst in any window.
func maxExcess(at []time.Time, rate, burst float64) float64 {
	maximum := 0.0
	for i := range at {
		for j := i; j < len(at); j++ {
			window := (at[j].Sub(at[i]) + delayVariation).Seconds()
			maximum = max(maximum, float64(j-i+1)-rate*window-burst)
		}
	}
	return maximum
}

// Guards against exceeding a customer's rate during failures. The customer sends
// five times its rate through three daemons; one is partitioned from the others and
// from the platform, and another crashes. The upstreams must see no more than the
// customer's rate and burst in any window, and requests must continue to arrive.
// The rate is exceeded if a part of the quota is spent by both the source and the
// borrower of a loan, or if two daemons spend from the same slot of the crashed
// daemon.
func TestCustomerRateHoldsThroughCrashAndPartition(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	hosts := map[string]string{"vt-1": "vt-a", "vt-2": "vt-a", "me-1": "me-a"}
	for host, zone := range hosts {
		f.start(host, zone)
	}
	const rate, burst = 100, 20
	c := twoRegionConfig()
	farm := c.Customers["farm"]
	farm.Rate, farm.Burst = rate, burst
	c.Customers["farm"] = farm
	recorder := &arrivalRecorder{}
	for _, zone := range []string{"vt-a", "me-a"} {
		server := httptest.NewServer(recorder)
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
	g.Eventually(func() int { return len(recorder.times()) }, settleTimeout).Should(BeNumerically(">", 4*rate))
	f.network.partition("me-1", "platform")
	f.network.partition("me-1", "vt-1")
	f.network.partition("me-1", "vt-2")
	arrivedBeforePartition := len(recorder.times())
	g.Eventually(func() int { return len(recorder.times()) }, settleTimeout).Should(BeNumerically(">", arrivedBeforePartition+2*rate))
	f.kill("vt-2")
	arrivedBeforeCrash := len(recorder.times())
	g.Eventually(func() int { return len(recorder.times()) }, settleTimeout).Should(BeNumerically(">", arrivedBeforeCrash+2*rate))
	close(stop)
	callers.Wait()
	g.Expect(maxExcess(recorder.times(), rate, burst)).To(BeZero())
}

// flood sends requests at a fixed rate until stop is closed, and ignores the outcomes.
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
