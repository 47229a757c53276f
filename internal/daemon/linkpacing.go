package daemon

import (
	"context"
	"io"

	"balsambarrow/internal/config"
	"balsambarrow/internal/relay"
)

// paceResponse limits a response to a daemon of another region to the quota of
// the link between the regions. A response within the region, or over a link
// that is not declared, is not limited.
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
	return relay.NewPacedBody(ctx, body, d.ledger, config.LinkQuota(ownRegion, otherRegion))
}

func linkDeclared(c *config.Config, from, to string) bool {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}
