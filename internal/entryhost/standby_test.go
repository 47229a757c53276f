package entryhost_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a caller who is refused by a standby that holds no upstreams, for example
// because the caller uses an outdated response of the directory.
func TestCallerIsServedByStandbyWithoutUpstreams(t *testing.T) {
	const upstreams, nextStandbys = 20, 2
	g := NewWithT(t)
	s := newSite(t)
	for i := range upstreams {
		s.worker(fmt.Sprint("i-", i), "s", "a1", 0)
	}
	s.declare(4, "k1")
	for i := range 3 {
		s.hostWith(fmt.Sprint("strong-", i), "a1", hostOptions{mbps: 200})
	}
	s.awaitServing()
	g.Eventually(s.hintHosts, "15s", "50ms").Should(Equal(3))
	var standbys []*host
	for i := range nextStandbys + 1 {
		standbys = append(standbys, s.hostWith(fmt.Sprint("weak-", i), "a1", hostOptions{mbps: 20}))
	}
	held := func() map[int]int {
		out := map[int]int{}
		for _, h := range standbys {
			if h.ready() {
				out[h.daemon.Upstreams()]++
			}
		}
		return out
	}
	g.Eventually(held, "15s", "50ms").Should(Equal(map[int]int{0: 1, upstreams: nextStandbys}))
	for _, h := range standbys {
		g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	}
	g.Expect(held()).To(Equal(map[int]int{upstreams: nextStandbys + 1}))
}
