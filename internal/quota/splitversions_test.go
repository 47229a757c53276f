package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

func twoZones(rate, burst float64) *config.Config {
	return &config.Config{
		Regions: map[string]config.Region{"vermont": {}, "maine": {}},
		Zones: map[string]config.Zone{
			"vt-a": {Region: "vermont", Slots: 4, Weight: 1}, "me-a": {Region: "maine", Slots: 4, Weight: 1},
		},
		Customers: map[string]config.Customer{"farm": {Rate: rate, Burst: burst}},
	}
}

func newTestLedger(tb testing.TB, c *config.Config) *Ledger {
	tb.Helper()
	l := NewLedger()
	held := &HeldSlots{Zone: "vt-a", Slots: []int{0, 1, 2, 3}, Versions: []*config.Active{config.NewActive(1, c)}}
	l.SetHeldSlots(held, time.Now().Add(-time.Hour))
	return l
}

func slotHolder(zone string, version uint64, slots ...int) membership.Member {
	return membership.Member{Instance: zone, Zone: zone, ConfigVersion: version, Slots: slots}
}

// An operator shifts a customer's weight from Maine to Vermont while Maine is
// partitioned and still runs the old version. Vermont has the new version at
// once but must not spend Maine's share as well. Otherwise the customer would
// get one and a half times its rate for as long as the partition lasts.
func TestRaisedShareWaitsForZoneWithLoweredShare(t *testing.T) {
	g := NewWithT(t)
	reweighted := twoZones(100, 40)
	reweighted.Zones["vt-a"] = config.Zone{Region: "vermont", Slots: 4, Weight: 3}
	v1, v2 := config.NewActive(1, twoZones(100, 40)), config.NewActive(2, reweighted)
	all := []int{0, 1, 2, 3}
	var vt, me SplitVersions
	vt.Observe(v1, nil, start)
	me.Observe(v1, nil, start)
	share := func(versions *SplitVersions, v *config.Active, zone string, at time.Duration, members ...membership.Member) float64 {
		s := HeldSlots{Zone: zone, Slots: all, Versions: versions.Observe(v, members, start.Add(at))}
		own, _, _ := s.Share(CustomerQuota("farm"))
		return own.Rate
	}
	lagging := []membership.Member{slotHolder("vt-a", 2, all...), slotHolder("me-a", 1, all...)}
	g.Expect(share(&vt, v2, "vt-a", time.Hour, lagging...)).To(Equal(50.0))
	g.Expect(share(&me, v1, "me-a", time.Hour)).To(Equal(50.0))

	g.Expect(share(&me, v2, "me-a", time.Hour)).To(Equal(25.0), "a lowered share applies at once")
	upToDate := []membership.Member{slotHolder("vt-a", 2, all...), slotHolder("me-a", 2, all...)}
	g.Expect(share(&vt, v2, "vt-a", time.Hour, upToDate...)).To(Equal(50.0), "loans of Maine's share have not expired yet")
	g.Expect(share(&vt, v2, "vt-a", time.Hour+Quarantine, upToDate...)).To(Equal(75.0))
}

// The fractions of every quota must sum to 1 over at most 64 slots, and quotas
// of links and shifts are split over the sending region only.
func TestSplitSumsToOne(t *testing.T) {
	g := NewWithT(t)
	c := twoZones(100, 40)
	c.Links = map[string]config.Link{"vt-me": {From: "vermont", To: "maine", BitsPerSecond: 1e6}}
	c.Services = map[string]config.Service{"lookup": {ShiftCapPerSecond: 10}}
	for i := range 145 {
		c.Zones[fmt.Sprint("z", i)] = config.Zone{Region: "maine", Slots: 16, Weight: 1 + float64(i%3)}
	}
	for _, name := range []string{CustomerQuota("farm"), config.LinkQuota("vermont", "maine"), config.ShiftQuota("lookup", "vermont", "maine")} {
		split := SplitOf(c, name)
		sum := 0.0
		for _, f := range split {
			sum += f
		}
		g.Expect(sum).To(BeNumerically("~", 1, 1e-9))
		g.Expect(len(split)).To(BeNumerically("<=", MaxQuotaSlots))
	}
	g.Expect(SplitOf(c, config.LinkQuota("vermont", "maine"))).To(HaveLen(4))
}

// A daemon keeps no account for a customer that sends it no requests. When the
// customer sends one later, its account must have the level that it would have
// had all along. An account that was spent from must not be created again with
// more tokens.
func TestAccountsAreCreatedOnUseAndDroppedWhenIdle(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger()
	held := &HeldSlots{Zone: "vt-a", Slots: []int{0, 1}, Versions: []*config.Active{config.NewActive(1, twoZones(100, 40))}}
	l.SetHeldSlots(held, start)
	farm := CustomerQuota("farm")
	ok, _ := l.Take(farm, 5, start.Add(100*time.Millisecond))
	g.Expect(ok).To(BeFalse(), "25/s for 0.1 s is 2.5")
	ok, _ = l.Take(farm, 5, start.Add(200*time.Millisecond))
	g.Expect(ok).To(BeTrue())
	l.DropIdle(start.Add(300 * time.Millisecond))
	g.Expect(l.Names()).To(HaveLen(1))
	l.DropIdle(start.Add(2 * idleTimeout))
	g.Expect(l.Names()).To(BeEmpty())
	g.Expect(l.Plan(CustomerQuota("nobody"), start)).To(BeEmpty())
	ok, _ = l.Take(CustomerQuota("nobody"), 1, start)
	g.Expect(ok).To(BeFalse())
}
