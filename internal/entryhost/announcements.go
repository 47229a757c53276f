package entryhost

import (
	"fmt"
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// InvalidRateLimitError reports a rate limit in a peer's heartbeat that cannot be used.
type InvalidRateLimitError struct {
	// Peer is the instance of the peer.
	Peer      string
	PerSecond float64
}

func (e *InvalidRateLimitError) Error() string {
	return fmt.Sprintf("entryhost: heartbeat of %s: invalid rate limit %g", e.Peer, e.PerSecond)
}

func encodeRateLimits(reports []place.RateLimitReport) []*fleet.RateLimit {
	out := make([]*fleet.RateLimit, 0, len(reports))
	for _, r := range reports {
		out = append(out, &fleet.RateLimit{
			Upstream: r.Instance, Limited: r.Limited, PerSecond: r.PerSecond, AgeMs: uint32(r.Age.Milliseconds()),
		})
	}
	return out
}

// decodeRateLimits returns the valid rate limits of a heartbeat. The error is an
// *InvalidRateLimitError for the last one that is not valid.
func decodeRateLimits(b *fleet.Heartbeat) ([]place.RateLimitReport, error) {
	var err error
	out := make([]place.RateLimitReport, 0, len(b.RateLimits))
	for _, l := range b.RateLimits {
		if !(l.PerSecond >= 0) { // also true of NaN
			err = &InvalidRateLimitError{b.Instance, l.PerSecond}
			continue
		}
		out = append(out, place.RateLimitReport{
			Instance: l.Upstream, RateLimit: traffic.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond},
			Age: time.Duration(l.AgeMs) * time.Millisecond,
		})
	}
	return out, err
}

func encodeSent(reports []place.SentReport) []*fleet.Sent {
	out := make([]*fleet.Sent, 0, len(reports))
	for _, r := range reports {
		out = append(out, &fleet.Sent{Region: r.Region, Count: int32(r.Count)})
	}
	return out
}

// applySent applies what another host of this region has sent to upstreams.
func (c *control) applySent(now time.Time, b *fleet.Heartbeat) {
	if b.Region != c.d.self.Region || len(b.Sent) == 0 {
		return
	}
	reports := make([]place.SentReport, 0, len(b.Sent))
	for _, r := range b.Sent {
		reports = append(reports, place.SentReport{Region: r.Region, Count: int(r.Count)})
	}
	c.d.table.ApplySentReports(now, reports)
}

// applyAnnouncements applies what upstreams have announced to a peer.
func (c *control) applyAnnouncements(now time.Time, b *fleet.Heartbeat) {
	reports, err := decodeRateLimits(b)
	if err != nil {
		c.d.events.Warn("heartbeat invalid", "peer", b.Host, "error", err)
	}
	for _, change := range c.d.table.ApplyRateLimitReports(now, reports) {
		c.d.events.Info("upstream rate limit", "upstream", change.Upstream, "zone", change.Zone, "limited", change.Limited,
			"per_second", change.PerSecond, "source", b.Host)
	}
	for _, id := range c.d.table.ApplyLeavingReports(b.LeavingUpstreams) {
		c.d.events.Info("upstream leaving", "upstream", id, "source", b.Host)
	}
}
