package entryhost_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// rejectWithRetryAfter returns a handler that rejects every request without running it.
func rejectWithRetryAfter(seconds string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", seconds)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against hosts that ignore the pause which an upstream asks for with a rejection.
func TestRejectingUpstreamGetsNoRequestsDuringItsPause(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	upstreams := []*standin.PlatformUpstream{
		s.worker("i-1", "s", "a1", time.Millisecond), s.worker("i-2", "s", "a2", time.Millisecond),
	}
	s.declare(4, "k1")
	hosts := []*host{s.host("h1", "a1"), s.host("h2", "a2")}
	s.awaitServing()
	before := make([]int, len(upstreams))
	for i, u := range upstreams {
		before[i] = len(u.Runs())
		u.SetHandler(rejectWithRetryAfter("60"))
	}
	for range 10 {
		for _, h := range hosts {
			g.Expect(s.read(h).status).To(Equal(http.StatusServiceUnavailable))
		}
	}
	for i, u := range upstreams {
		g.Expect(len(u.Runs())-before[i]).To(BeNumerically("<=", len(hosts)), "one rejection for each host")
	}
}

// Guards against callers that are told to return long before any upstream takes requests.
func TestRefusedCallerIsToldWhenThePauseEnds(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	upstreams := []*standin.PlatformUpstream{
		s.worker("i-1", "s", "a1", time.Millisecond), s.worker("i-2", "s", "a2", time.Millisecond),
	}
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	for _, u := range upstreams {
		u.SetHandler(rejectWithRetryAfter("60"))
	}
	// The first request reaches both upstreams, the second none.
	for range 2 {
		r := s.read(h)
		g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(BeNumerically(">", 30))
	}
}
