package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/memory"
)

// Guards against headers that are not counted as held memory, or that count after they are gone.
func TestHeaderIsChargedUntilTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(284, 0.6)
	held := func() int64 { return budget.Usage().Held[memory.Headers] }
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	refused := 0
	listener := &MemoryListener{Listener: plain, Budget: budget, Observe: func(MemoryEvent) { refused++ }, MakeRoom: func() bool { return false }}
	during := make(chan int64, 1)
	server := &http.Server{ConnState: TrackHeader, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { during <- held() })}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()

	conn, err := net.Dial("tcp4", plain.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	responses := bufio.NewReader(conn)
	for _, c := range []struct{ length, least int }{{100, 0}, {10_000, 90_000}, {100, 0}} {
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", c.length))
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(responses, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		if c.least == 0 {
			g.Expect(<-during).To(BeZero())
		} else {
			g.Expect(<-during).To(BeNumerically(">", c.least))
		}
		g.Eventually(held).Should(BeZero())
	}
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 10_000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(held).Should(BeNumerically(">", 100_000))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(held).Should(BeZero())
	g.Expect(refused).To(BeZero())
}

// Guards against callers that are cut off because a body counts as header if it arrives with it.
func TestBodyThatArrivesWithTheHeaderIsNotCharged(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(284, 0.6)
	for u := budget.Usage(); u.Total() < u.Limit*6/10; u = budget.Usage() {
		_, err := budget.Admit(memory.Request{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := &MemoryListener{Listener: plain, Budget: budget, Observe: func(MemoryEvent) {}, MakeRoom: func() bool { return false }}
	server := &http.Server{ConnState: TrackHeader, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp4", plain.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20_000))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// Guards against requests that are served although their header exceeds the operators' limit.
func TestHeaderBeyondTheConfiguredLimitIsRefused(t *testing.T) {
	g := NewWithT(t)
	r := httptest.NewRequest(http.MethodGet, "/read/1?a=b", nil)
	r.Header.Set("X-Long", strings.Repeat("x", 1000))
	var written strings.Builder
	_, _ = fmt.Fprintf(&written, "%s %s %s\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Proto, r.Host)
	g.Expect(r.Header.Write(&written)).To(Succeed())
	length := written.Len() + len("\r\n")
	g.Expect(headerBytes(r)).To(Equal(length))
	g.Expect(checkHeader(r, catalog.Limits{})).To(BeNil(), "no limit")
	g.Expect(checkHeader(r, catalog.Limits{MaxHeaderBytes: length})).To(BeNil())
	refused := checkHeader(r, catalog.Limits{MaxHeaderBytes: length - 1})
	g.Expect(refused.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}
