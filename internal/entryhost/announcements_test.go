package entryhost_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/standin"
)

// Guards against a late heartbeat that undoes what a newer one has reported.
func TestLateHeartbeatDoesNotUndoNewerAnnouncements(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	s.worker("i-1", "s", "a1", time.Millisecond)
	s.worker("i-2", "s", "a1", time.Millisecond)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	peer, err := fleet.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	report := func(sequence uint64, upstream string, limited bool) {
		const startedMs = 1_700_000_000_000
		b := &fleet.Heartbeat{
			Instance: "peer-1", Host: "peer", Zone: "b1", Region: "b", Peers: peer.Address(), Sequence: sequence,
			RateLimits: []*fleet.RateLimit{{
				Upstream: xxhash.Sum64String(upstream)<<32 | uint64(uint32(startedMs&0xffffffff)), Limited: limited, PerSecond: 2,
			}},
		}
		g.Expect(peer.SendHeartbeat(b, []string{h.listen.Peers})).To(Succeed())
	}
	limited := func() string { return s.metrics(h) }
	report(10, "i-1", true)
	g.Eventually(limited, "5s", "10ms").Should(ContainSubstring("balsambarrow_upstreams_rate_limited 1\n"))
	report(9, "i-1", false)
	report(11, "i-2", true)
	g.Eventually(limited, "5s", "10ms").Should(ContainSubstring("balsambarrow_upstreams_rate_limited 2\n"))
}

// Guards against a rate limit that a refusal, which does not mention it, ends at all hosts.
func TestRefusalDoesNotEndARateLimit(t *testing.T) {
	g := NewWithT(t)
	s := newSite(t)
	u := s.worker("i-1", "s", "a1", 0)
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	u.SetRateLimit("50")
	g.Expect(s.read(h).status).To(Equal(http.StatusOK))
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_upstreams_rate_limited 1"))
	u.Reject(time.Millisecond)
	g.Eventually(func() []standin.PlatformRun { s.read(h); return u.Rejected() }, "5s", "50ms").ShouldNot(BeEmpty())
	g.Expect(s.metrics(h)).To(ContainSubstring("balsambarrow_upstreams_rate_limited 1"))
	u.Reject(0)
	u.SetRateLimit("")
	g.Eventually(func() string { s.read(h); return s.metrics(h) }, "5s", "20ms").Should(ContainSubstring("balsambarrow_upstreams_rate_limited 0"), "a response to a request that ran ends it")
}
