package daemon

import (
	"time"

	"balsambarrow/internal/quota"
	"balsambarrow/internal/view"
)

// quotaState is the control thread's part for quotas.
type quotaState struct{}

func newQuotaState() quotaState { return quotaState{} }

func (c *control) tickQuota(time.Time) {}

// publishShares sets this daemon's buckets to the shares of its usable slots.
func (c *control) publishShares(snap *view.Snapshot, now time.Time) {
	c.d.ledger.SetShares(quota.Shares(snap.Config, snap.Self.Zone, len(snap.Self.Slots)), now)
}
