package daemon_test

import (
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/wire"
)

// oneZoneConfig is a configuration with one zone and the customer "farm".
func oneZoneConfig() *config.Config {
	c := twoRegionConfig()
	delete(c.Zones, "me-a")
	return c
}

// outageLength is the length of the store outage: longer than a lease, or five
// minutes as in the workloads when measuring.
func outageLength() time.Duration {
	if os.Getenv("BALSAM_MEASURE") == "1" {
		return 5 * time.Minute
	}
	return 13 * time.Second
}

// usedSlots returns the slots that all daemons spend from, sorted. A slot that two
// daemons spend from appears twice.
func (f *fleet) usedSlots() []int {
	var all []int
	for _, d := range f.daemons {
		all = append(all, d.View().Self.Slots...)
	}
	slices.Sort(all)
	return all
}

var allSlots = []int{0, 1, 2, 3}

// Guards against lost or uneven slots when daemons join a zone. A customer gets its
// full rate only if each slot is held by exactly one daemon. Two more daemons join,
// and each must get a share of the slots within seconds, from those that hold more.
func TestJoiningDaemonGetsItsShareOfSlots(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZoneConfig()))
	g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
	f.start("vt-2", "vt-a")
	f.start("vt-3", "vt-a")
	g.Eventually(func(g Gomega) {
		g.Expect(f.usedSlots()).To(Equal(allSlots))
		for _, d := range f.daemons {
			g.Expect(len(d.View().Self.Slots)).To(BeNumerically(">=", 1))
		}
	}, settleTimeout, 20*time.Millisecond).Should(Succeed())
}

// Guards against a reduced customer rate after a crash: the remaining daemon of the
// zone must claim the slots of the crashed one.
func TestSlotsOfACrashedDaemonAreReassigned(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZoneConfig()))
	g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
	f.kill("vt-2")
	g.Eventually(f.usedSlots, 2*settleTimeout).Should(Equal(allSlots))
}

// Guards against rejecting requests during a store outage longer than the lease TTL.
// No request may be rejected, and after the outage the same daemons must still hold
// their slots.
func TestStoreOutageRejectsNoRequest(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	c := oneZoneConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.awaitHandlers("vt-2", "lookup")
	g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
	lookup := func(host string) reply { return f.call(host, http.MethodGet, "lookup/animal/7", "secret", nil) }
	g.Eventually(func() wire.Outcome { return lookup("vt-1").Outcome }, settleTimeout).Should(Equal(wire.OutcomeRan))
	g.Eventually(func() wire.Outcome { return lookup("vt-2").Outcome }, settleTimeout).Should(Equal(wire.OutcomeRan))
	held := f.daemons["vt-1"].View().Self.Slots

	f.platform.SetFaults(standin.Faults{Down: true})
	for end := time.Now().Add(outageLength()); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		g.Expect(lookup("vt-1").Outcome).To(Equal(wire.OutcomeRan))
		g.Expect(lookup("vt-2").Outcome).To(Equal(wire.OutcomeRan))
	}
	f.platform.SetFaults(standin.Faults{})
	g.Consistently(f.usedSlots, 4*time.Second, 20*time.Millisecond).Should(Equal(allSlots))
	g.Expect(f.daemons["vt-1"].View().Self.Slots).To(Equal(held))
}

// Guards against a slot that stays unused after a lost store response. The store
// applies a write that claims a slot, but its response is lost. The daemon must find
// out that it holds the slot. Otherwise the slot would stay unused for the lifetime
// of the daemon, and customers would get less than their rate.
func TestLostStoreResponsesLeaveNoSlotUnused(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", oneZoneConfig())
	f.platform.SetFaults(standin.Faults{LoseResponses: 6})
	f.start("vt-2", "vt-a")
	g.Eventually(func(g Gomega) {
		g.Expect(f.usedSlots()).To(Equal(allSlots))
		g.Expect(f.daemons["vt-1"].View().Self.Slots).To(HaveLen(2))
	}, 2*settleTimeout, 20*time.Millisecond).Should(Succeed())
}

// Guards against spending from slots that changed hands during a pause. The control
// thread stalls for longer than the pause threshold, as in a suspended process, and
// continues. Another daemon may hold the slots by then, so the store must confirm
// each slot before the daemon spends from it again.
func TestSlotsAreConfirmedAfterAPause(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	d := f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZoneConfig()))
	g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
	pausedAt := time.Now()
	d.StallControl(membership.PauseThreshold + time.Second)
	g.Eventually(func(g Gomega) {
		held := d.View().Self.HeldSlots
		g.Expect(held).To(HaveLen(4))
		for _, h := range held {
			g.Expect(h.Since).To(BeTemporally(">", pausedAt))
		}
	}, settleTimeout, 20*time.Millisecond).Should(Succeed())
}

// Guards against daemons that do not know each other because the host list is stale.
// The list is an hour old and contains only one of three daemons. The other two must
// find each other through gossip from the first one; otherwise each would also assign
// the other's upstreams to itself.
func TestUnlistedDaemonsFindEachOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.platform.SetFaults(standin.Faults{StaleAge: time.Hour})
	f.start("vt-1", "vt-a")
	c := twoRegionConfig()
	c.Zones["me-b"] = config.Zone{Region: "maine"}
	version := f.apply("vt-1", c)
	f.g.Eventually(func() int { return f.platform.Calls()["/-/kv-range stale"] }, settleTimeout).Should(BeNumerically(">", 0))
	f.start("me-1", "me-a")
	f.start("me-2", "me-b")
	f.awaitReady(version)
}
