package entryhost_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against callers within their rate that are refused, or wait for each request, because
// the owner of their customer's bucket has died and its heartbeats have not timed out yet.
func TestDeadBucketOwnerRefusesNoCallerWithinTheRate(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.rate = 40
	s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	hosts := []*host{s.host("h1", "a1"), s.host("h2", "a1"), s.host("h3", "a2")}
	s.awaitServing()
	owners := func() (owners []int) {
		for i, h := range hosts {
			if h.daemon.OwnsBucket("t1") {
				owners = append(owners, i)
			}
		}
		return owners
	}
	g.Eventually(owners, "5s", "10ms").Should(HaveLen(1))
	owner := owners()[0]
	hosts[owner].stopped.Store(true)
	hosts[owner].daemon.Kill()
	other := hosts[(owner+1)%len(hosts)]
	for range 10 {
		g.Expect(s.read(other).status).To(Equal(http.StatusOK))
	}
}
