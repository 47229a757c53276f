package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"balsambarrow/internal/config"
	"balsambarrow/internal/retry"
	"balsambarrow/internal/wire"
)

// Guards against a request that is sent to a second upstream when the first has used up its time.
func TestRequestWithoutTimeLeftIsNotRetried(t *testing.T) {
	g := NewWithT(t)
	deadline := time.Now().Add(300 * time.Millisecond)
	var received atomic.Int32
	upstreams := lookupUpstreams("u1", "u2")
	for id := range upstreams {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			time.Sleep(time.Until(deadline.Add(-retry.MinTime / 2)))
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer server.Close()
		upstreams[id] = config.Upstream{Service: "lookup", Slots: 8, Address: server.Listener.Addr().String()}
	}
	h := NewHandler()
	h.Assign(lookupConfig(nil), upstreams, false)
	client := NewClient(nil)
	defer client.Close()
	runner := &Runner{
		Handler: h, Client: client, KeyValid: func(config.Digest, string) bool { return true },
		Tracer: noop.NewTracerProvider().Tracer("test"),
	}
	call := &wire.Call{
		Service: "lookup", Method: http.MethodGet, Path: "/animal/7", Header: http.Header{}, Customer: "a",
		KeyDigest: config.DigestOf("secret").String(), Deadline: deadline,
	}
	ctx, cancel := call.WithDeadline(context.Background())
	defer cancel()
	_, problem := runner.Run(ctx, call)
	g.Expect(problem).NotTo(BeNil())
	g.Expect(received.Load()).To(Equal(int32(1)))
}
