package standin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/upstream"
)

// Guards against a request that a partition holds back, and that reaches the upstream when it heals,
// after the caller has been told that the request failed: in the clients of both interfaces, and
// in a client that closes its connections in the usual way, to show that the check detects it.
func TestPartitionHealsAfterTheCallerHasLeft(t *testing.T) {
	dial := (&net.Dialer{}).DialContext
	for name, c := range map[string]struct {
		send      func(ctx context.Context, dial standin.DialFunc, address string) error
		delivered int
	}{
		"entry host": {func(ctx context.Context, dial standin.DialFunc, address string) error {
			_, err := h1.NewPool(dial, time.Now).Send(ctx, address, &h1.Request{Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{}})
			return err
		}, 0},
		"earlier daemon": {func(ctx context.Context, dial standin.DialFunc, address string) error {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
			if err == nil {
				_, _, err = upstream.NewClient(dial).Send(r)
			}
			return err
		}, 0},
		"orderly close": {func(ctx context.Context, dial standin.DialFunc, address string) error {
			conn, err := dial(ctx, "tcp", address)
			if err != nil {
				return err
			}
			_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
			<-ctx.Done()
			_ = conn.Close()
			return ctx.Err()
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan struct{}, 4)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received <- struct{}{} }))
			t.Cleanup(server.Close)
			uplink := &standin.Uplink{}
			// The connection is open, and the request not yet written, when the partition begins.
			partitioned := func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := uplink.Dialer(dial)(ctx, network, address)
				uplink.SetFault(standin.UplinkSilent)
				return conn, err
			}
			ctx, leave := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer leave()
			g.Expect(c.send(ctx, partitioned, server.Listener.Addr().String())).To(HaveOccurred())
			uplink.SetFault(standin.UplinkWorks)
			if c.delivered > 0 {
				g.Eventually(received, "2s").Should(Receive())
				return
			}
			g.Consistently(received, "300ms").ShouldNot(Receive())
		})
	}
}
