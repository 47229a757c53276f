package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/quota"
)

// A daemon is paused for so long that another daemon acquires its slots, and
// then resumes. A request that runs before the control thread does must not be
// admitted.
func TestFenceStopsSpendingAfterPause(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1e9, 0)
	l := quota.NewLedger()
	version := config.NewActive(1, &config.Config{
		Zones:     map[string]config.Zone{"vt-a": {Slots: 1, Weight: 1}},
		Customers: map[string]config.Customer{"farm": {Rate: 10, Burst: 10}},
	})
	l.SetHeldSlots(&quota.HeldSlots{Zone: "vt-a", Slots: []int{0}, Versions: []*config.Active{version}}, now)
	farm := quota.CustomerQuota("farm")
	l.Fence.Extend(now.Add(3 * time.Second))
	ok, _ := l.Take(farm, 1, now.Add(2*time.Second))
	g.Expect(ok).To(BeTrue())
	ok, _ = l.Take(farm, 1, now.Add(20*time.Second))
	g.Expect(ok).To(BeFalse())
	l.Fence.Extend(now.Add(23 * time.Second))
	ok, _ = l.Take(farm, 1, now.Add(20*time.Second))
	g.Expect(ok).To(BeTrue())
}
