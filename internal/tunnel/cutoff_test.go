package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
	"balsambarrow/internal/tcpreset"
)

// Guards against a response that breaks off behind a tunnel and is taken for a whole one at its other end.
func TestResponseThatBreaksOffInATunnelIsNoResponse(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"length":                       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
		"length, reset":                {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		"chunks":                       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false},
		"end of the connection, reset": {"HTTP/1.1 200 OK\r\n\r\nhello", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(t)
			l := n.addUpstream("a1", "a")
			n.addPeer("a1", "a", works)
			n.cut.Store(true)
			lengths := make(chan int, 1)
			go func() {
				for length := range lengths {
					upstream, err := l.Accept()
					for ; err == nil; upstream, err = l.Accept() {
						// Checks of the links connect without a request.
						if _, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
							break
						}
						_ = upstream.Close()
					}
					if err != nil {
						return
					}
					if c.reset {
						tcpreset.Enable(upstream)
					}
					_, _ = io.WriteString(upstream, c.text[:length])
					_ = upstream.Close()
				}
			}()
			defer close(lengths)
			for length := range len(c.text) {
				lengths <- length
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				pool := h1.NewPool(n.dialer.DialContext, time.Now)
				resp, err := pool.Send(ctx, n.upstreams[0].Address, &h1.Request{Method: http.MethodGet, Target: "/", Host: "x", Header: http.Header{}})
				if err == nil {
					g.Expect(resp.Relay).NotTo(BeEmpty(), "it came through the tunnel")
					_, err = io.ReadAll(resp)
					resp.Close(0)
				}
				cancel()
				g.Expect(err).To(HaveOccurred(), fmt.Sprintf("%q", c.text[:length]))
				var unsent *h1.UnsentError
				g.Expect(err).NotTo(BeAssignableToTypeOf(unsent))
			}
		})
	}
}
