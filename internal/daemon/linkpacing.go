package daemon

import (
	"context"
	"io"

	"balsambarrow/internal/config"
	"balsambarrow/internal/relay"
)

// paceResponse holds an answer to another region's daemon back to the quota of the
// link it crosses; within a region, and where no link is declared, it passes.
func (d *Daemon) paceResponse(ctx context.Context, requester string, body io.ReadCloser) io.ReadCloser {
	snap := d.view.Load()
	member, known := snap.Find(requester)
	if snap.Config == nil || !known {
		return body
	}
	ownRegion, otherRegion := snap.Config.Region(snap.Self.Zone), snap.Config.Region(member.Zone)
	if ownRegion == otherRegion || !linkDeclared(snap.Config.Config, ownRegion, otherRegion) {
		return body
	}
	return relay.Pace(ctx, body, d.ledger, config.LinkQuota(ownRegion, otherRegion))
}

func linkDeclared(c *config.Config, from, to string) bool {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}
