package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/wire"
)

// lockedBuffer collects the logs of several daemons.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// span contains the fields that the test reads from an exported span.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// Guards against missing spans and leaked keys. A caller sends a traceparent and an
// API key, and the request passes through two daemons. Every hop must export a span
// of the caller's trace. The key must not appear in logs, spans, metrics or responses.
func TestTraceCoversAllHopsWithoutLeakingKeys(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.traces, f.logs = t.TempDir(), &lockedBuffer{}
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	const trace = "0af7651916cd43dd8448eb211c80319c"
	header := map[string]string{"traceparent": "00-" + trace + "-b7ad6b7169203331-01"}
	g.Eventually(func() reply { return f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", header) }, settleTimeout).
		Should(HaveField("Outcome", wire.OutcomeRan))
	rejected := f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret-but-wrong", header)
	output := scrape(g, f.daemons["vt-1"].OperatorsAddress()) + string(rejected.Body)
	for host, d := range f.daemons {
		g.Expect(d.Stop(context.Background())).To(Succeed())
		delete(f.daemons, host)
	}

	hops := map[string]bool{}
	for _, host := range []string{"vt-1", "me-1"} {
		text, err := os.ReadFile(f.traces + "/" + host)
		g.Expect(err).NotTo(HaveOccurred())
		output += string(text)
		for decoder := json.NewDecoder(bytes.NewReader(text)); decoder.More(); {
			var s span
			g.Expect(decoder.Decode(&s)).To(Succeed())
			if s.SpanContext.TraceID == trace {
				hops[host+" "+s.Name] = true
			}
		}
	}
	for _, hop := range []string{"vt-1 entry", "vt-1 relay", "me-1 handler", "me-1 queue", "me-1 upstream attempt"} {
		g.Expect(hops).To(HaveKey(hop))
	}
	output += f.logs.(*lockedBuffer).String()
	g.Expect(output).To(ContainSubstring("balsambarrow_requests_total"))
	g.Expect(output).NotTo(ContainSubstring("secret"))
}

func scrape(g *WithT, address string) string {
	resp, err := http.Get("http://" + address + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}
