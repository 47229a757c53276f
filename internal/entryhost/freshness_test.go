package entryhost_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// newLoggedSite returns a site whose logs are printed if the test fails.
func newLoggedSite(t *testing.T) (*site, *syncBuffer) {
	s, logs := newSite(t), &syncBuffer{}
	s.logs = logs
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	return s, logs
}

// Guards against a request that was served by an outdated configuration, of which no log line says
// what had confirmed that configuration.
func TestLogsNameWhatConfirmedTheState(t *testing.T) {
	g := NewWithT(t)
	s, logs := newLoggedSite(t)
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	for _, zone := range []string{"a1", "a2", "a1"} {
		s.host("h-"+zone, zone)
	}
	s.awaitServing()
	g.Eventually(logs.String, "5s", "20ms").Should(MatchRegexp(`msg="state confirmed" .* by=127\.0\.0\.1:\d+ .* version=4 revision=\d+`))
	g.Expect(logs.String()).To(MatchRegexp(`msg="store listed" .* stale=true .* revision=\d+`))
	g.Expect(s.call(s.hosts[0], "GET", "/read/1", "withdrawn", "").status).To(Equal(http.StatusUnauthorized))
	g.Eventually(logs.String, "2s", "20ms").Should(MatchRegexp(`msg=refused .* cause=unknown-key .* age=\S+ version=4 confirmed_by=\S+ revision=\d+`))
	g.Eventually(func() string { return s.metrics(s.hosts[0]) + s.metrics(s.hosts[1]) + s.metrics(s.hosts[2]) }, "5s", "20ms").Should(And(
		ContainSubstring(`balsambarrow_state_confirmations_total{by="peer"}`),
		ContainSubstring(`balsambarrow_state_confirmations_total{by="watch"}`),
	))
}
