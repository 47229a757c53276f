package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/h1"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a host that runs out of memory because an upstream sends bytes without an end.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	const maxRead = 2 << 20 // the longest response to another request that is skipped, and as much again
	for name, response := range map[string]struct{ start, repeated string }{
		"no line end":                  {"", strings.Repeat("x", 1000)},
		"status line":                  {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		"header fields":                {"HTTP/1.1 200 OK\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n"},
		"short header fields":          {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"one header field":             {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000)},
		"continued header field":       {"HTTP/1.1 200 OK\r\nA: x\r\n", " " + strings.Repeat("x", 1000) + "\r\n"},
		"interim responses":            {"", "HTTP/1.1 103 Early Hints\r\nA: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
		"response to another request":  {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("x", 1000)},
		"responses to other requests":  {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"chunks for another request":   {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
		"chunk extension":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1000)},
		"chunks of mostly extensions":  {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":                      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n"},
		"trailer of another response":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + strings.Repeat("x", 1000) + "\r\n"},
		"header after another request": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if readRequest(r) == nil {
					return
				}
				_, err := io.WriteString(c, response.start)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat(response.repeated, 16))
				}
			})
			var read atomic.Int64
			p := h1.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{c, &read}, err
			}, time.Now)
			_, err := send(t, p, address, request("1"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(ContainSubstring("i/o timeout")), "the read ends by itself")
			g.Expect(read.Load()).To(BeNumerically("<=", maxRead))
		})
	}
}

// Guards against memory that is exhausted by headers with many short fields, which hold far more than their bytes.
func TestHeaderWithManyFieldsIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 10_000))
			_, _ = io.Copy(io.Discard, c)
		}
	})
	_, err := send(t, newPool(), address, request("1"))
	g.Expect(err).To(MatchError(ContainSubstring("header is too long")))
}

// Guards against a bound of headers that fails long bodies, long headers or interim responses.
func TestLongResponsesAreRead(t *testing.T) {
	body := strings.Repeat("x\n", 2<<20)
	for name, header := range map[string]string{
		"many fields":       "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A: x\r\n", 300) + "\r\n",
		"long header":       "HTTP/1.1 200 OK\r\nId: 1\r\nA: " + strings.Repeat("x", 20<<10) + "\r\n\r\n",
		"interim responses": strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"another response":  "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000\r\n\r\n" + body[:100000] + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					_, _ = io.WriteString(c, header+body)
				}
			})
			got, err := send(t, newPool(), address, request("1"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(HaveLen(len(body)))
		})
	}
}
