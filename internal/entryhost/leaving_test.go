package entryhost_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// Guards against hosts that trust an outdated registration more than the upstream's own word.
func TestLeavingUpstreamGetsNoRequestsWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	leaving, other := s.worker("i-1", "s", "a1", time.Millisecond), s.worker("i-2", "s", "a1", time.Millisecond)
	s.declare(4, "k1")
	told, untold := s.host("h1", "a1"), s.host("h2", "a2")
	s.awaitServing()
	s.store.SetFaultFunc(func(string) standin.StoreFault { return standin.StoreUnavailable })
	// reaches reports whether a request at the host, on a route without keys, reaches the upstream.
	reaches := func(h *host, u *standin.PlatformUpstream) bool {
		before := len(u.Runs())
		g.Expect(s.call(h, "GET", "/open/1", "", "").status).To(Equal(http.StatusOK))
		return len(u.Runs()) > before
	}
	if !reaches(told, leaving) {
		leaving, other = other, leaving
	}
	g.Eventually(func() bool { return reaches(untold, leaving) }, "10s", "50ms").Should(BeTrue(), "the object is warm there")

	leaving.Leave()
	g.Expect(reaches(told, leaving)).To(BeTrue())
	for range 5 {
		g.Expect(reaches(told, leaving)).To(BeFalse(), "the host was told")
	}
	n := len(leaving.Runs())
	g.Eventually(func() bool { return reaches(untold, other) }, "10s", "50ms").Should(BeTrue(), "the other host learns of it")
	g.Expect(len(leaving.Runs())-n).To(BeNumerically("<=", 1), "at the latest when it is told itself")
	for range 5 {
		g.Expect(reaches(untold, leaving)).To(BeFalse())
	}
}
