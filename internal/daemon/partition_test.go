package daemon_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/wire"
)

// Guards against an outage in a partitioned zone. A zone loses the connection to
// every other zone and to the platform. Its own upstreams must keep serving its
// callers. When the partition heals, the zone must apply the version that was
// accepted meanwhile.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	lookup := func() reply { return f.call("vt-1", http.MethodGet, "lookup/animal/7", "secret", nil) }
	g.Eventually(lookup, settleTimeout).Should(HaveField("Outcome", wire.OutcomeRan))

	f.network.partition("vt-1", "platform")
	f.network.partition("vt-1", "me-1")
	c.Regions["massachusetts"] = c.Regions["maine"]
	version := f.apply("me-1", c)
	for range 20 {
		g.Expect(lookup().Outcome).To(Equal(wire.OutcomeRan))
	}
	g.Expect(f.daemons["vt-1"].View().Self.ConfigVersion).To(BeNumerically("<", version))

	f.network.heal("vt-1", "platform")
	f.network.heal("vt-1", "me-1")
	f.awaitReady(version)
}

// Guards against lookup responses that name a crashed host. A daemon crashes, and
// the remaining daemon must remove its host from the lookup responses.
func TestCrashedHostIsRemovedFromLookupResponses(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	f.awaitReady(f.apply("vt-1", twoRegionConfig()))
	f.kill("me-1")
	g.Eventually(func() int { return len(f.daemons["vt-1"].View().Ready) }, settleTimeout).Should(Equal(1))
}
