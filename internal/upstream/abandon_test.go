package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/upstream"
)

// Guards against an abandoned request that a partition holds back and delivers when it heals.
func TestAbandonedRequestResetsItsConnection(t *testing.T) {
	for name, response := range map[string]string{
		"before the response":            "",
		"before the end of the response": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			received, ended := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					ended <- err
					return
				}
				_, _ = io.WriteString(conn, response)
				close(received)
				_, err = io.Copy(io.Discard, reader)
				ended <- err
			}()
			client := upstream.NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if response == "" {
				go func() {
					<-received
					cancel()
				}()
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/x", strings.NewReader("weight=612"))
			g.Expect(err).NotTo(HaveOccurred())
			resp, _, err := client.Send(req)
			if response == "" {
				g.Expect(err).To(HaveOccurred())
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
			}
			g.Expect(<-ended).To(MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against connections that are reset although their requests have been answered, and
// against new connections in place of reusable ones.
func TestAnsweredRequestKeepsItsConnection(t *testing.T) {
	for name, response := range map[string]string{
		"with body":    okResponse,
		"without body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			ended := make(chan error, 8)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						reader := bufio.NewReader(conn)
						for {
							req, err := http.ReadRequest(reader)
							if err != nil {
								ended <- err
								return
							}
							_, _ = io.Copy(io.Discard, req.Body)
							_, _ = io.WriteString(conn, response)
						}
					}()
				}
			}()
			client := upstream.NewClient(nil)
			for range 3 {
				resp, _, err := send(t, client, http.MethodPost, l.Addr().String(), "weight=612", "")
				g.Expect(err).NotTo(HaveOccurred())
				_, _ = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			g.Eventually(func() int {
				client.Close()
				return len(ended)
			}, "5s", "5ms").Should(Equal(1))
			g.Expect(<-ended).To(MatchError(io.EOF))
		})
	}
}
