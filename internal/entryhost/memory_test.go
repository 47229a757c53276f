package entryhost_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/entryhost"
)

// smallHost starts a host with the given memory, and returns it once it serves callers. Bodies of
// any size are allowed.
func (s *site) smallHost(memoryMB float64) *host {
	s.bodyLimit = 1 << 30
	s.declare(4, "k1")
	h := s.hostWith("h1", "a1", hostOptions{memoryMB: memoryMB})
	s.awaitServing()
	return h
}

// open sends the head of a request and a part of its body on a new connection.
func (s *site) open(h *host, method, path, header string, body []byte) net.Conn {
	g := NewWithT(s.t)
	conn, err := net.Dial("tcp", h.listen.Callers)
	g.Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: open-%d\r\nAuthorization: Bearer k1\r\n%s\r\n",
		method, path, s.serial.Add(1), header)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(body)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// readStatus returns the status of the response on a connection, and whether the connection ends
// after it.
func readStatus(t *testing.T, conn net.Conn) (status int, closed bool) {
	g := NewWithT(t)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	_, err = r.ReadByte()
	return resp.StatusCode, errors.Is(err, io.EOF)
}

// Guards against a body that stalls in the middle and holds the host's memory: the caller is told
// that the request was not run, which must be true, and other requests on other connections go on.
func TestStalledBodyIsEnded(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.timeLimit = "500ms"
	k := s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(284)
	runs := len(k.Runs())
	conn := s.open(h, "POST", "/post/1", "Content-Length: 100000\r\n", make([]byte, 5000))
	status, closed := readStatus(t, conn)
	g.Expect(status).To(Equal(http.StatusRequestTimeout))
	g.Expect(closed).To(BeTrue())
	g.Expect(k.Runs()).To(HaveLen(runs))
	g.Expect(s.metrics(h)).To(ContainSubstring(`balsambarrow_memory_events_total{event="body-stalled"} 1`))
	g.Expect(s.metrics(h)).To(ContainSubstring(`balsambarrow_memory_held_bytes{kind="bodies"} 0`))
}

// Guards against callers that get no response from a host of unknown memory because they stop in the middle of a body.
func TestStalledBodyIsEndedAtHostOfUnknownMemory(t *testing.T) {
	for sent, want := range map[int]int{5000: http.StatusRequestTimeout, 600_000: http.StatusGatewayTimeout} {
		g := NewWithT(t)
		s := newSite(t)
		s.timeLimit = "500ms"
		k := s.worker("i-1", "s", "a1", 0)
		h := s.smallHost(0)
		runs := len(k.Runs())
		conn := s.open(h, "POST", "/post/1", "Content-Length: 1000000\r\n", make([]byte, sent))
		g.Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		status, closed := readStatus(t, conn)
		g.Expect(status).To(Equal(want))
		g.Expect(closed).To(BeTrue())
		g.Expect(k.Runs()).To(HaveLen(runs))
	}
}

// Guards against a keep-alive connection on which the deadline of one body ends a later request.
func TestConnectionIsKeptAfterSlowBody(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 1200*time.Millisecond)
	h := s.smallHost(284)
	conn := s.open(h, "POST", "/post/1", "Content-Length: 40000\r\n", make([]byte, 10_000))
	r := bufio.NewReader(conn)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		_, err := conn.Write(make([]byte, 10_000))
		g.Expect(err).NotTo(HaveOccurred())
	}
	for i := range 2 {
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		if i == 0 {
			_, err = io.WriteString(conn, "GET /read/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: again\r\nAuthorization: Bearer k1\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// Guards against a long body that stalls while it is forwarded: the upstream's connection must end,
// and the status must not deny that the upstream may have run the request.
func TestStalledForwardedBodyPromisesNothing(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.timeLimit = "60s"
	k := s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(284)
	runs := len(k.Runs())
	conn := s.open(h, "POST", "/post/1", "Content-Length: 1000000\r\n", make([]byte, 600_000))
	g.Eventually(func() string { return s.metrics(h) }, "5s", "20ms").Should(ContainSubstring("balsambarrow_upstream_held_bytes 1"))
	h.daemon.FillMemory(0.6)
	status, closed := readStatus(t, conn)
	g.Expect(status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(closed).To(BeTrue())
	g.Expect(k.Runs()).To(HaveLen(runs))
	g.Expect(s.metrics(h)).To(ContainSubstring(`balsambarrow_upstream_held_bytes 0`))
}

// Guards against a caller that stops reading a long response: it must not hold the upstream's
// connection and the memory, and must not take what it got for the whole response.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.timeLimit = "60s"
	k := s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(284)
	const length = 64 << 20
	ended := make(chan error, 1)
	k.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "signed")
		w.Header().Set("Content-Length", fmt.Sprint(length))
		_, err := io.Copy(w, io.LimitReader(zeros{}, length))
		ended <- err
	})
	h.daemon.FillMemory(0.6)
	conn := s.open(h, "GET", "/read/1", "", nil)
	g.Eventually(ended, "20s").Should(Receive(HaveOccurred()))
	g.Eventually(func() string { return s.metrics(h) }, "5s").Should(And(
		ContainSubstring(`balsambarrow_memory_events_total{event="reader-stalled"} 1`),
		ContainSubstring(`balsambarrow_memory_held_bytes{kind="responses"} 0`)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	g.Expect(err).To(HaveOccurred())
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against an upload without a length that grows although the budget is full, and against
// uploads that starve reads. The refused request must not have run.
func TestUploadWithoutLengthAtFullBudget(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.timeLimit = "60s"
	k := s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(40)
	growing := s.open(h, "POST", "/post/1", "Transfer-Encoding: chunked\r\n", chunk(1000))
	h.daemon.FillMemory(0.6)
	runs := len(k.Runs())
	status, closed := readStatus(t, s.open(h, "POST", "/post/1", "Content-Length: 250000\r\n", make([]byte, 250_000)))
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(closed).To(BeTrue())
	_, err := growing.Write(bytes.Repeat(chunk(10_000), 24))
	g.Expect(err).NotTo(HaveOccurred())
	status, closed = readStatus(t, growing)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(closed).To(BeTrue())
	g.Expect(k.Runs()).To(HaveLen(runs))
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
}

func chunk(size int) []byte {
	return []byte(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
}

// Guards against an upstream that crashes because of the bodies that it holds, and whose successor
// is given as many: its bytes are counted, and the crash lowers the bound.
func TestUpstreamThatCrashesWithLargeBodies(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.timeLimit = "20s"
	k := s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(536)
	small, large := strings.Repeat("x", 5000), strings.Repeat("x", 200_000)
	for range 60 {
		g.Expect(s.call(h, "POST", "/post/1", "k1", small).status).To(Equal(http.StatusOK))
	}
	crash, waiting := make(chan struct{}), make(chan struct{}, 8)
	release := sync.OnceFunc(func() { close(crash) })
	t.Cleanup(release)
	k.SetHandler(func(http.ResponseWriter, *http.Request) {
		waiting <- struct{}{}
		<-crash
		panic(http.ErrAbortHandler)
	})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.call(h, "POST", "/post/1", "k1", large)
		}()
		<-waiting
	}
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_upstream_held_bytes 800000"))
	release()
	callers.Wait()
	g.Eventually(func() string { return s.metrics(h) }, "5s").Should(And(
		ContainSubstring("balsambarrow_upstream_held_bytes 0"), ContainSubstring(`event="crash-bound"} 1`)))
	k.SetHandler(nil)
	g.Eventually(func() int { return s.call(h, "POST", "/post/1", "k1", small).status }, "10s", "100ms").Should(Equal(http.StatusOK))
}

// Guards against settings that are accepted and make a host refuse everything, or nothing.
func TestFaultySettingsOfMemory(t *testing.T) {
	g := NewWithT(t)
	_, err := entryhost.ParseSettings("test", []byte(`{"memory": {"callers_fraction": 0.9, "upstream_mb": -1}}`))
	g.Expect(err).To(MatchError(And(ContainSubstring("/memory/callers_fraction"), ContainSubstring("/memory/upstream_mb"))))
}

// Guards against connections that are left open and take the memory of new callers: beside idle ones
// and those that send no complete header, a new caller must be served.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", 0)
	h := s.smallHost(40)
	limit := h.daemon.MaxConnections()
	for range limit / 2 {
		conn := s.open(h, "GET", "/read/1", "", nil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
	}
	time.Sleep(1100 * time.Millisecond)
	for range limit - limit/2 {
		conn, err := net.Dial("tcp", h.listen.Callers)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /read/1 HT")
		g.Expect(err).NotTo(HaveOccurred())
	}
	for range 5 {
		g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	}
}
