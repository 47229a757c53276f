package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"balsambarrow/internal/config"
	"balsambarrow/internal/wire"
)

// A probe costs the upstream 6 ms. An upstream without requests is probed
// most often, and even then probes must cost less than 1% of its time.
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
	t.Logf("probes cost %.2f%% of the upstream's time", 100*cost.Seconds()/span.Seconds())
	g.Expect(cost).To(BeNumerically("<", span/100))
	g.Expect(cost).To(BeNumerically(">", 0))
}

// An upstream that responds to requests must not be probed.
func TestBusyUpstreamIsNotProbed(t *testing.T) {
	g := NewWithT(t)
	h := NewHandler()
	h.Assign(lookupConfig(nil), lookupUpstreams("u1"), false)
	acquire(g, h).Done(Result{Took: time.Millisecond})
	g.Expect(h.DueProbes(time.Now())).To(BeEmpty())
	g.Expect(h.DueProbes(time.Now().Add(maxResponseAge + time.Second))).To(HaveLen(1))
}

// A new connection costs the upstream 1 ms. Repeated requests on all slots
// must reuse the first connections.
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

// Guards against an unhealthy upstream that returns to use because its health
// endpoint reports success and its load report is low: only results of
// requests may end an ejection. A request that is not safe to retry may be a
// trial request only after a successful probe.
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
	g.Expect(h.TrialDue(false, due)).To(BeFalse(), "no probe has succeeded")
	s := &upstreamState{health: h, limit: NewLimit(4)}
	s.recordProbe(ProbeResult{OK: true}, due)
	g.Expect(h.condition).To(Equal(onTrial), "a probe does not end the ejection")
	g.Expect(h.TrialDue(false, due)).To(BeTrue())
	g.Expect(h.RecordTrial(false, 0, 1, due)).To(BeFalse())
	g.Expect(h.TrialDue(true, due.Add(firstEjection))).To(BeFalse(), "the second ejection is longer")
	secondDue := due.Add(2 * firstEjection)
	g.Expect(h.TrialDue(true, secondDue)).To(BeTrue())
	g.Expect(h.RecordTrial(true, 1, 1, secondDue)).To(BeFalse())
	g.Expect(h.RecordTrial(true, 1, 1, secondDue)).To(BeFalse())
	g.Expect(h.RecordTrial(true, 1, 1, secondDue)).To(BeTrue())
}

// Guards against load reports that are read only in responses to probes.
func TestLoadReportInAnyResponseLowersWeight(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Balsam-Load", "0.95")
	}))
	defer server.Close()
	h := NewHandler()
	upstreams := lookupUpstreams("u1")
	upstreams["u1"] = config.Upstream{Service: "lookup", Slots: 8, Address: server.Listener.Addr().String()}
	h.Assign(lookupConfig(nil), upstreams, false)
	client := NewClient(nil)
	defer client.Close()
	runner := &Runner{
		Handler: h, Client: client, KeyValid: func(config.Digest, string) bool { return true },
		Tracer: noop.NewTracerProvider().Tracer("test"),
	}
	call := &wire.Call{
		Service: "lookup", Method: http.MethodGet, Path: "/animal/7", Header: http.Header{}, Customer: "a",
		KeyDigest: config.DigestOf("secret").String(), Deadline: time.Now().Add(time.Minute),
	}
	response, problem := runner.Run(context.Background(), call)
	g.Expect(problem).To(BeNil())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(h.pools["lookup"].upstreams[0].health.warnedUntil).NotTo(BeZero())
}
