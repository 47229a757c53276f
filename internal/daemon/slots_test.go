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

// oneZone is a configuration with one zone and a customer "farm".
func oneZone() *config.Config {
	c := twoRegions()
	delete(c.Zones, "me-a")
	return c
}

// outage is how long the store is out: above the life of a lease, or the five
// minutes of the workloads where figures are wanted.
func outage() time.Duration {
	if os.Getenv("BALSAM_MEASURE") == "1" {
		return 5 * time.Minute
	}
	return 13 * time.Second
}

// slotsOf returns every slot that some daemon spends from, in order; a slot
// twice in it is spent from by two.
func (f *fleet) slotsOf() []int {
	var all []int
	for _, d := range f.daemons {
		all = append(all, d.View().Self.Slots...)
	}
	slices.Sort(all)
	return all
}

var allFour = []int{0, 1, 2, 3}

// Three daemons stand in one zone. A farmer's rate is whole only if every slot
// is held, by one daemon each; a daemon that joins later must get its part
// within seconds, from those that hold more.
func TestNewcomerGetsItsPartOfTheSlots(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZone()))
	g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
	f.start("vt-2", "vt-a")
	f.start("vt-3", "vt-a")
	g.Eventually(func(g Gomega) {
		g.Expect(f.slotsOf()).To(Equal(allFour))
		for _, d := range f.daemons {
			g.Expect(len(d.View().Self.Slots)).To(BeNumerically(">=", 1))
		}
	}, settle, 20*time.Millisecond).Should(Succeed())
}

// A daemon dies without a word. Its part of every customer's rate must be
// spent again by the daemon that is left.
func TestSlotsOfADeadDaemonAreTaken(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZone()))
	g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
	f.kill("vt-2")
	g.Eventually(f.slotsOf, 2*settle).Should(Equal(allFour))
}

// The store goes out for longer than every lease lives. Parents and farmers
// must not notice: no request is refused, and when the store is back the same
// daemons still hold their slots.
func TestStoreOutageRefusesNobody(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("vt-2", "vt-a")
	c := oneZone()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.awaitHandlers("vt-2", "lookup")
	g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
	lookup := func(host string) reply { return f.call(host, http.MethodGet, "lookup/animal/7", "secret", nil) }
	g.Eventually(func() wire.Outcome { return lookup("vt-1").Outcome }, settle).Should(Equal(wire.OutcomeRan))
	g.Eventually(func() wire.Outcome { return lookup("vt-2").Outcome }, settle).Should(Equal(wire.OutcomeRan))
	held := f.daemons["vt-1"].View().Self.Slots

	f.platform.SetFaults(standin.Faults{Down: true})
	for end := time.Now().Add(outage()); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		g.Expect(lookup("vt-1").Outcome).To(Equal(wire.OutcomeRan))
		g.Expect(lookup("vt-2").Outcome).To(Equal(wire.OutcomeRan))
	}
	f.platform.SetFaults(standin.Faults{})
	g.Consistently(f.slotsOf, 4*time.Second, 20*time.Millisecond).Should(Equal(allFour))
	g.Expect(f.daemons["vt-1"].View().Self.Slots).To(Equal(held))
}

// The store takes a claim and its answer gets lost. The daemon must find that
// the slot is its own: otherwise it would lie idle for as long as the daemon
// lives, and a customer would miss a part of its rate.
func TestLostAnswersStrandNoSlot(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", oneZone())
	f.platform.SetFaults(standin.Faults{LoseResponses: 6})
	f.start("vt-2", "vt-a")
	g.Eventually(func(g Gomega) {
		g.Expect(f.slotsOf()).To(Equal(allFour))
		g.Expect(f.daemons["vt-1"].View().Self.Slots).To(HaveLen(2))
	}, 2*settle, 20*time.Millisecond).Should(Succeed())
}

// The control thread stands still for longer than the bound, as it does in a
// paused process, and goes on. Another daemon may hold the slots by now: each
// must be confirmed by the store before it is spent from again.
func TestSlotsAreConfirmedAfterAPause(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	d := f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZone()))
	g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
	asleep := time.Now()
	d.StallControl(membership.PauseThreshold + time.Second)
	g.Eventually(func(g Gomega) {
		held := d.View().Self.HeldSlots
		g.Expect(held).To(HaveLen(4))
		for _, h := range held {
			g.Expect(h.Since).To(BeTemporally(">", asleep))
		}
	}, settle, 20*time.Millisecond).Should(Succeed())
}

// The host list is an hour old and shows only one of three daemons. The two
// that it does not show must find each other by what the first one hears:
// otherwise each takes the other's upstreams for its own.
func TestUnlistedDaemonsFindEachOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.platform.SetFaults(standin.Faults{StaleAge: time.Hour})
	f.start("vt-1", "vt-a")
	c := twoRegions()
	c.Zones["me-b"] = config.Zone{Region: "maine"}
	version := f.apply("vt-1", c)
	f.g.Eventually(func() int { return f.platform.Calls()["/-/kv-range stale"] }, settle).Should(BeNumerically(">", 0))
	f.start("me-1", "me-a")
	f.start("me-2", "me-b")
	f.awaitReady(version)
}
