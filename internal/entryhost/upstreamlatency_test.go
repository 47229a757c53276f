package entryhost_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against late responses that cannot be explained: the log line and the metrics must
// hold both the expected and the actual time, so that a bad choice of upstream can be
// distinguished from a slow upstream.
func TestLateResponseReportsExpectedTimes(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	var logs syncBuffer
	s.logs = &logs
	s.worker("i-1", "s", "a1", 600*time.Millisecond)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Eventually(logs.String, "5s").Should(MatchRegexp(
		`msg=answered .*target=500ms .*expected=\S+ expected_wait=0s upstream_took=\S+ waited=`))
	metrics := s.metrics(h)
	for _, of := range []string{"expected", "actual"} {
		g.Expect(metrics).To(ContainSubstring(`balsambarrow_upstream_answer_seconds_count{route="read",of="` + of + `"}`))
		g.Expect(metrics).To(ContainSubstring(`balsambarrow_upstream_wait_seconds_count{route="read",of="` + of + `"}`))
	}
}

// Guards against hosts whose metrics do not show that they get no responses from upstreams.
func TestMetricsShowUpstreamsThatDoNotRespond(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	k := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_upstreams_ejected 0\n"))
	k.SetHandler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 3 {
		s.post(h)
	}
	text := s.metrics(h)
	g.Expect(text).To(ContainSubstring("balsambarrow_upstreams_ejected 1\n"))
	g.Expect(text).To(ContainSubstring(`balsambarrow_upstream_failed_attempts_total{outcome="lost",zone="a1"} 3` + "\n"))
}
