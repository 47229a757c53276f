package daemon

import (
	"context"
	"io"

	"balsambarrow/internal/config"
	"balsambarrow/internal/relay"
)

// pace holds an answer to another region's daemon back to the quota of the
// link it crosses; within a region, and where no link is declared, it passes.
func (d *Daemon) pace(ctx context.Context, from string, body io.ReadCloser) io.ReadCloser {
	snap := d.view.Load()
	asker, known := snap.Find(from)
	if snap.Config == nil || !known {
		return body
	}
	own, other := snap.Config.Region(snap.Self.Zone), snap.Config.Region(asker.Zone)
	if own == other || !linked(snap.Config.Config, own, other) {
		return body
	}
	return relay.Pace(ctx, body, d.ledger, config.LinkQuota(own, other))
}

func linked(c *config.Config, from, to string) bool {
	for _, l := range c.Links {
		if l.From == from && l.To == to {
			return true
		}
	}
	return false
}
