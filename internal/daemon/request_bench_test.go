package daemon_test

import (
	"io"
	"net/http"
	"testing"

	"balsambarrow/internal/config"
	"balsambarrow/internal/standin"
)

// BenchmarkRequest measures one request from a caller through a daemon to an
// upstream and back. The caller and the upstream run in the same process.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b)
	f.logs = io.Discard
	f.start("vt-1", "vt-a")
	c := twoRegionConfig()
	c.Customers["farm"] = config.Customer{Rate: 1e9, Burst: 1e9, Keys: c.Customers["farm"].Keys}
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", standin.UpstreamOptions{Slots: 64})
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	b.ReportAllocs()
	for b.Loop() {
		if r := f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil); r.Status != http.StatusOK {
			b.Fatalf("%+v", r)
		}
	}
}
