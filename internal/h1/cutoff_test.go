package h1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/tcpreset"
)

// cutResponses are whole responses to request 1. whole is the number of bytes from which on an orderly close leaves a
// whole response; 0: all of them.
var cutResponses = map[string]struct {
	method, text string
	whole        int
}{
	"length":                    {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 11\r\n\r\nhello world", 0},
	"length before other field": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: 1\r\nServer: x\r\n\r\nhello", 0},
	"no body":                   {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", 0},
	"line feeds only":           {"GET", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nhello", 0},
	"HTTP/1.0":                  {"GET", "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello", 0},
	"chunks":                    {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n", 0},
	"chunks and trailer":        {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: 12\r\nU: 3\r\n\r\n", 0},
	"no chunks":                 {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0},
	"continue":                  {"POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello", 0},
	"early hints":               {"GET", "HTTP/1.1 103 Early Hints\r\nId: 1\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello", 0},
	"response to another":       {"GET", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello", 0},
	"HEAD":                      {"HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n", 0},
	"no content":                {"GET", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", 0},
	"refusal":                   {"GET", "HTTP/1.1 503 Unavailable\r\nId: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 0},
	"end of the connection":     {"GET", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello", len("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")},
}

// Guards against a response that breaks off anywhere, as in the middle of its header, and is taken for a whole one.
func TestResponseThatBreaksOffIsNoResponse(t *testing.T) {
	for name, response := range cutResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				whole := response.whole
				if whole == 0 || reset {
					whole = len(response.text)
				}
				for length := range whole {
					address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
						if readRequest(r) == nil {
							return
						}
						if reset {
							tcpreset.Enable(c)
						}
						_, _ = io.WriteString(c, response.text[:length])
					})
					r := request("1")
					r.Method = response.method
					body, err := send(t, newPool(), address, r)
					g.Expect(err).To(HaveOccurred(), "%q was taken for a response with the body %q", response.text[:length], body)
				}
			})
		}
	}
}

// Guards against a check of responses that break off which fails whole ones.
func TestWholeResponsesAreRead(t *testing.T) {
	for name, response := range cutResponses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					_, _ = io.WriteString(c, response.text)
				}
			})
			r := request("1")
			r.Method = response.method
			body, err := send(t, newPool(), address, r)
			g.Expect(err).NotTo(HaveOccurred())
			if response.method != http.MethodHead && strings.Contains(response.text, "hello") {
				g.Expect(body).To(HavePrefix("hello"))
			}
		})
	}
}
