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

// sendLoad sends requests to several hosts concurrently, each client as fast as it
// gets responses, for the given length of time. It returns the time from before
// the first request to after the last one.
func (f *fleet) sendLoad(hosts []string, path string, length time.Duration) time.Duration {
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

func (f *fleet) totalRuns() float64 {
	total := 0
	for _, u := range f.upstreams {
		total += u.Stats().Total
	}
	return float64(total)
}

// Guards against a shift cap that each host applies alone. Callers in two zones of
// one region request a service that only another region runs, far above the
// shift's cap, and each host sees free capacity there. The combined rate of both
// hosts must stay below the cap.
func TestShiftCapHoldsAcrossHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-b")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Zones["vt-b"] = config.Zone{Region: "vermont"}
	const limit = 40.0
	c.Services["lookup"] = config.Service{ShiftCapPerSecond: limit}
	c.Customers["farm"] = config.Customer{Rate: 1e5, Burst: 1e5, Keys: c.Customers["farm"].Keys}
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", standin.UpstreamOptions{Slots: 64})
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.awaitHandlers("vt-2", "lookup")
	before := f.totalRuns()
	elapsed := f.sendLoad([]string{"vt-1", "vt-2"}, "lookup/animal/7", 2*time.Second)
	ran := f.totalRuns() - before
	t.Logf("%v ran in %v", ran, elapsed)
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(ran).To(BeNumerically("<=", limit*(0.9*elapsed.Seconds()+0.1)+1))
}

// Guards against a region limit that each host applies alone. Hosts inside and
// outside the region send requests to its upstreams. Their combined rate must stay
// below the limit.
func TestRegionLimitHoldsAcrossHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	const limit = 40.0
	c.Regions["maine"] = config.Region{MaxRequestsPerSecond: limit}
	c.Customers["farm"] = config.Customer{Rate: 1e5, Burst: 1e5, Keys: c.Customers["farm"].Keys}
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", standin.UpstreamOptions{Slots: 64})
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	before := f.totalRuns()
	elapsed := f.sendLoad([]string{"vt-1", "me-1"}, "lookup/animal/7", 2*time.Second)
	ran := f.totalRuns() - before
	t.Logf("%v ran in %v", ran, elapsed)
	g.Expect(ran).To(BeNumerically(">", 0))
	g.Expect(ran).To(BeNumerically("<=", limit*(0.9*elapsed.Seconds()+0.1)+1))
}
