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

// regionLimiter enforces the request rate limit of this daemon's region in
// front of its handler.
//
// Hosts of several regions may send to one region at the same time. Each of
// them works with delayed headroom reports and does not know about the others'
// requests. The limit is a quota that is shared out over the slots of the
// region's own zones, and its tokens are taken where the request arrives. A
// wrong steering decision can therefore never exceed the limit of the region.
type regionLimiter struct {
	next   relay.Runner
	view   *view.Publisher
	ledger *quota.Ledger
}

// Run implements relay.Runner.
func (l *regionLimiter) Run(ctx context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	name, limited := l.regionQuota()
	if !limited {
		return l.next.Run(ctx, call)
	}
	if ok, wait := l.ledger.Take(name, 1, time.Now()); !ok {
		return nil, wire.NotRunProblem(wire.TypeNoRoom, "the region is at its limit", max(wait, 0))
	}
	response, problem := l.next.Run(ctx, call)
	if problem != nil && problem.Outcome == wire.OutcomeNotRun {
		l.ledger.Refund(name, 1, time.Now())
	}
	return response, problem
}

// regionQuota returns the name of the quota of the daemon's region, and whether
// the region has a limit.
func (l *regionLimiter) regionQuota() (string, bool) {
	snap := l.view.Load()
	if snap.Config == nil {
		return "", false
	}
	region := snap.Config.Region(snap.Self.Zone)
	return config.RegionQuota(region), snap.Config.Config.Regions[region].MaxRequestsPerSecond > 0
}
