package daemon_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/standin"
)

// hammer sends requests to several hosts at once, as fast as they are
// answered, for a length of time. It returns how
// long it took, from before the first request to after the last.
func (f *fleet) hammer(hosts []string, path string, length time.Duration) time.Duration {
	start := time.Now()
	var tasks sync.WaitGroup
	for _, host := range hosts {
		for range 4 {
			tasks.Go(func() {
				for time.Since(start) < length {
					f.call(host, http.MethodGet, path, "secret", nil)
				}
			})
		}
	}
	tasks.Wait()
	return time.Since(start)
}

func (f *fleet) ran() float64 {
	total := 0
	for _, u := range f.upstreams {
		total += u.Stats().Total
	}
	return float64(total)
}

// Callers in two zones of one region ask for a service that only another
// region runs, far above the shift's cap. Both hosts believe that there is
// room. What arrives there, over both together, must stay under the cap.
func TestShiftCapHoldsOverAllHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-b")
	f.start("me-1", "me-a")
	c := twoRegions()
	c.Zones["vt-b"] = config.Zone{Region: "vermont"}
	const limit = 40.0
	c.Services["lookup"] = config.Service{ShiftCapPerSecond: limit}
	c.Customers["farm"] = config.Customer{Rate: 1e5, Burst: 1e5, Keys: c.Customers["farm"].Keys}
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", standin.UpstreamOptions{Slots: 64})
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.awaitHandlers("vt-2", "lookup")
	before := f.ran()
	passed := f.hammer([]string{"vt-1", "vt-2"}, "lookup/animal/7", 2*time.Second)
	ran := f.ran() - before
	t.Logf("%v ran in %v", ran, passed)
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(ran).To(BeNumerically("<=", limit*(0.9*passed.Seconds()+0.1)+1))
}

// The same, for the limit of a region: hosts inside and outside of it send to
// it together, and each alone would stay under the limit.
func TestRegionLimitHoldsOverAllHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegions()
	const limit = 40.0
	c.Regions["maine"] = config.Region{MaxRequestsPerSecond: limit}
	c.Customers["farm"] = config.Customer{Rate: 1e5, Burst: 1e5, Keys: c.Customers["farm"].Keys}
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", standin.UpstreamOptions{Slots: 64})
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	before := f.ran()
	passed := f.hammer([]string{"vt-1", "me-1"}, "lookup/animal/7", 2*time.Second)
	ran := f.ran() - before
	t.Logf("%v ran in %v", ran, passed)
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(ran).To(BeNumerically("<=", limit*(0.9*passed.Seconds()+0.1)+1))
}
