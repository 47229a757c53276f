package entryhost_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// takenOver is an address that another instance takes over with its open connections. The instance before rejects
// the posting that it gets, and states so again when the next request arrives on the connection.
type takenOver struct {
	address string
	// arrived is closed when a posting has arrived at the first instance, which rejects it once released is closed.
	arrived, released chan struct{}

	mu       sync.Mutex
	instance string
	ran      []string
}

func (s *site) takenOver() *takenOver {
	u := &takenOver{arrived: make(chan struct{}), released: make(chan struct{}), instance: "i-1"}
	u.address = s.listen(u.serve)
	return u
}

// listen serves each connection to an address of its own, which it returns.
func (s *site) listen(serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(s.t).Expect(err).NotTo(HaveOccurred())
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *takenOver) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br, late := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id, expected := r.Header.Get("X-Request-Id"), r.Header.Get("X-Expected-Instance")
		if r.Method == http.MethodPost && expected == "i-1" {
			close(u.arrived)
			<-u.released
		}
		_, _ = io.WriteString(c, late)
		late = ""
		if expected != u.current() {
			late = fmt.Sprintf("HTTP/1.1 421 x\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, late)
			continue
		}
		u.mu.Lock()
		u.ran = append(u.ran, id+" at "+expected)
		u.mu.Unlock()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

func (u *takenOver) current() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instance
}

func (u *takenOver) runs() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.ran...)
}

func (u *takenOver) takeOver() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance = "i-2"
}

// Guards against a statement about one attempt that is taken for the response to the next attempt of the same request.
func TestStatementCountsForItsAttemptOnly(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	u := s.takenOver()
	s.register(&standin.PlatformUpstream{ID: "i-1"}, "s", u.address, "a1", "ready", 1)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	got := make(chan response, 1)
	go func() { got <- s.post(h) }()
	g.Eventually(u.arrived, "5s").Should(BeClosed())
	u.takeOver()
	s.store.Delete("servers/i-1")
	s.register(&standin.PlatformUpstream{ID: "i-2"}, "s", u.address, "a1", "ready", 1)
	g.Eventually(func() int { return s.read(h).status }, "2s", "10ms").Should(Equal(http.StatusOK), "the host knows the other instance")
	before := len(u.runs())
	close(u.released)
	r := <-got
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(u.runs()).To(HaveLen(before+1), "the posting ran")
	g.Expect(r.status).To(Equal(http.StatusOK))
}

// Guards against an upstream's own failure that is taken for the statement that the request did not run.
func TestFailureThatCountsAsRunIsNoStatement(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusGatewayTimeout} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSite(t)
			one, two := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)
			s.declare(4, "k1")
			h := s.host("h1", "a1")
			s.awaitServing()
			before := len(one.Runs()) + len(two.Runs())
			contradict := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Not-Executed", "1")
				respondWith(status, 100)(w, r)
			}
			one.SetHandler(contradict)
			two.SetHandler(contradict)
			g.Expect(s.post(h).status).To(Equal(status))
			g.Expect(len(one.Runs()) + len(two.Runs()) - before).To(Equal(1))
		})
	}
}

// Guards against a late response without an ID that is taken for the response to a request without one.
func TestRequestWithoutIDIsNotMatchedWithAnEarlierResponse(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	var ran atomic.Int64
	address := s.listen(func(c net.Conn) { serveWithLateRefusals(c, &ran) })
	s.register(&standin.PlatformUpstream{ID: "i-1"}, "s", address, "a1", "ready", 1)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	r, err := http.NewRequest(http.MethodPost, "http://"+h.listen.Callers+"/post/1", strings.NewReader("weight=200"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "x.example"
	r.Header.Set("Authorization", "Bearer k1")
	before := ran.Load()
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(ran.Load()).To(Equal(before+1), "the posting ran")
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// serveWithLateRefusals serves requests, and sends a refusal without an ID ahead of each response but the first.
func serveWithLateRefusals(c net.Conn, ran *atomic.Int64) {
	defer func() { _ = c.Close() }()
	br, late := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ran.Add(1)
		_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok", late, r.Header.Get("X-Request-Id"))
		late = "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
}
