package entryhost_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// respondWith returns a handler of an upstream that has run its request.
func respondWith(status, bodyBytes int) func(http.ResponseWriter, *http.Request) {
	body := bytes.Repeat([]byte{'x'}, bodyBytes)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// Guards against a request that ran although the status of its upstream told the caller that it did not.
func TestStatusOfARequestThatRanPromisesNothing(t *testing.T) {
	const long = 3 << 20 // not buffered by the host
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, bodyBytes := range []int{0, 100, long} {
			t.Run(fmt.Sprintf("%d with %d bytes", status, bodyBytes), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := newSite(t)
				u := s.worker("i-1", "s", "a1", 0)
				s.declare(4, "k1")
				h := s.host("h1", "a1")
				s.awaitServing()
				before := len(u.Runs())
				u.SetHandler(respondWith(status, bodyBytes))
				got := s.post(h)
				g.Expect(got.err).NotTo(HaveOccurred())
				g.Expect(len(u.Runs())-before).To(Equal(1), "it ran")
				g.Expect(got.status).To(Equal(http.StatusBadGateway))
				g.Expect(got.body).To(HaveLen(bodyBytes), "the response of the upstream is delivered")
				g.Expect(got.header).NotTo(HaveKey("X-Response-Signature"), "the signature vouches for another status")
				g.Expect(got.header).NotTo(HaveKey("Retry-After"))
			})
		}
	}
}

// Guards against a response of an upstream that is replaced although it promises nothing untrue.
func TestStatusOfAnUpstreamIsKept(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	u := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	for _, c := range []struct {
		call   func(*host) response
		status int
	}{
		{s.post, http.StatusBadRequest}, {s.post, http.StatusUnauthorized}, {s.post, http.StatusInternalServerError}, {s.post, http.StatusGatewayTimeout},
		{s.read, http.StatusTooManyRequests}, {s.read, http.StatusRequestTimeout}, {s.read, http.StatusServiceUnavailable},
	} {
		u.SetHandler(respondWith(c.status, 100))
		got := c.call(h)
		g.Expect(got.status).To(Equal(c.status))
		g.Expect(got.header).To(HaveKey("X-Response-Signature"))
	}
}

// Guards against a success whose request is sent again, since the same response states that it did not run.
func TestSuccessThatStatesItDidNotRunIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	one, two := s.worker("i-1", "s", "a1", 0), s.worker("i-2", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	before := len(one.Runs()) + len(two.Runs())
	contradict := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		respondWith(http.StatusOK, 100)(w, r)
	}
	one.SetHandler(contradict)
	two.SetHandler(contradict)
	g.Expect(s.post(h).status).To(Equal(http.StatusBadGateway))
	g.Expect(len(one.Runs()) + len(two.Runs()) - before).To(Equal(1))
}
