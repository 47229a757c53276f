package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// regionLimiter holds the limit of this daemon's region in front of its handler.
//
// Load pattern: hosts of several regions send to one region at the same time,
// each by lagging headroom and unaware of the others. The limit is a quota
// over the slots of the region's own zones, taken where the work arrives, so
// no mistaken steering decision can put more than the limit on the region.
type regionLimiter struct {
	next   relay.Runner
	view   *view.Publisher
	ledger *quota.Ledger
}

// Run implements relay.Runner.
func (g *regionLimiter) Run(ctx context.Context, call *wire.Call) (*wire.Answer, *wire.Problem) {
	name, limited := g.regionQuota()
	if !limited {
		return g.next.Run(ctx, call)
	}
	if ok, wait := g.ledger.Take(name, 1, time.Now()); !ok {
		return nil, wire.Refuse(wire.TypeNoRoom, "the region is at its limit", max(wait, 0))
	}
	answer, problem := g.next.Run(ctx, call)
	if problem != nil && problem.Outcome == wire.OutcomeNotRun {
		g.ledger.Refund(name, 1, time.Now())
	}
	return answer, problem
}

// regionQuota names the quota of the daemon's region, if it has one.
func (g *regionLimiter) regionQuota() (string, bool) {
	snap := g.view.Load()
	if snap.Config == nil {
		return "", false
	}
	region := snap.Config.Region(snap.Self.Zone)
	return config.RegionQuota(region), snap.Config.Config.Regions[region].MaxRequestsPerSecond > 0
}
