package upstream

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A worker pays 6 ms for a probe. An upstream that is never in use is probed
// most; even that must cost it less than 1% of its time.
func TestProbesCostLessThanOnePercent(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	start := time.Now()
	const span = 10 * time.Minute
	for d := time.Duration(0); d < span; d += probeCheckInterval {
		h.DueProbes(start.Add(d))
	}
	cost := time.Duration(h.pools["lookup"].upstreams[0].probe.sent) * probeCost
	t.Logf("probes cost %.2f%% of one worker's time", 100*cost.Seconds()/span.Seconds())
	g.Expect(cost).To(BeNumerically("<", span/100))
	g.Expect(cost).To(BeNumerically(">", 0))
}

// An upstream that answers its requests needs no probe.
func TestBusyUpstreamIsNotProbed(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	acquire(g, h).Done(Result{Took: time.Millisecond})
	g.Expect(h.DueProbes(time.Now())).To(BeEmpty())
	g.Expect(h.DueProbes(time.Now().Add(maxResponseAge + time.Second))).To(HaveLen(1))
}

// A worker pays 1 ms for a new connection. Requests on all slots, again and
// again, must use the first connections.
func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	const slots = 4
	var callers sync.WaitGroup
	for range slots {
		callers.Go(func() {
			for range 100 {
				req, _ := http.NewRequest(http.MethodGet, server.URL, nil)
				if resp, _, err := client.Send(req); err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	callers.Wait()
	cost := time.Duration(opened.Load()) * connectionCost
	t.Logf("%d connections for %d requests cost %v", opened.Load(), slots*100, cost)
	g.Expect(opened.Load()).To(BeNumerically("<=", maxIdlePerHost))
}

// The health endpoint of a sick upstream says fine and its load report says
// idle. Neither may bring it back: only its own answers do. A service of
// postings risks one there only after a probe was answered.
func TestProbesOnlyLowerWeight(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	now := time.Unix(0, 0)
	before := h.Weight(now)
	h.RecordWarning(now)
	g.Expect(h.Weight(now)).To(BeNumerically("<", before))
	g.Expect(h.Weight(now.Add(warningDuration))).To(Equal(before))

	h.Eject(now)
	due := now.Add(firstEjection)
	g.Expect(h.TrialDue(true, now)).To(BeFalse())
	g.Expect(h.TrialDue(false, due)).To(BeFalse(), "no probe was answered")
	w := &upstreamState{health: h, limit: NewLimit(4)}
	w.recordProbe(ProbeResult{OK: true}, due)
	g.Expect(h.condition).To(Equal(onTrial), "a probe does not bring it back")
	g.Expect(h.TrialDue(false, due)).To(BeTrue())
	g.Expect(h.RecordTrial(false, 0, 1, due)).To(BeFalse())
	g.Expect(h.TrialDue(true, due.Add(firstEjection))).To(BeFalse(), "the second ejection is longer")
	back := due.Add(2 * firstEjection)
	g.Expect(h.TrialDue(true, back)).To(BeTrue())
	g.Expect(h.RecordTrial(true, 1, 1, back)).To(BeFalse())
	g.Expect(h.RecordTrial(true, 1, 1, back)).To(BeFalse())
	g.Expect(h.RecordTrial(true, 1, 1, back)).To(BeTrue())
}
