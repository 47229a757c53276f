package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
)

// fewActive is the number of other active hosts of a region up to which an active host announces
// itself to the standbys, because they may not know one that they could ask for a summary.
const fewActive = 2

// seekInterval is the time between heartbeats of a host that knows no active host.
const seekInterval = 500 * time.Millisecond

// announce makes heartbeats to active hosts due at once. Standbys learn of the change with their
// next summary.
func (c *control) announce(now time.Time) { c.heartbeatDue = now }

// announceToAll makes heartbeats to active hosts due at once, and to standbys if the region has few
// active hosts or this one leaves. Standbys answer the directory, and a host that leaves accepts
// callers for a short time only.
func (c *control) announceToAll(now time.Time) {
	c.heartbeatDue = now
	few := len(c.d.directory.Load().activePeers(c.isOwnRegion)) <= fewActive
	c.announceToStandbys = c.announceToStandbys || few || c.ready && c.leaving
}

// sendHeartbeats sends the heartbeats that are due: full ones to active hosts, and compact ones
// to standbys after a change of this host's state. Standbys send no heartbeats to each other.
func (c *control) sendHeartbeats(now time.Time) {
	if !now.Before(c.heartbeatDue) {
		c.heartbeatDue = now.Add(c.members.Interval(c.amongActive()))
		b := c.heartbeat(now)
		if b.SeeksActive {
			c.heartbeatDue = now.Add(seekInterval)
		}
		c.addLearned(now, b)
		c.sendHeartbeat(b, c.activePeers())
	}
	if !c.announceToStandbys {
		return
	}
	c.announceToStandbys = false
	if peers := c.members.StandbyPeers(); len(peers) > 0 {
		c.sendHeartbeat(c.compactHeartbeat(now), peers)
	}
}

// amongActive reports whether this host exchanges heartbeats with all active hosts: it is active, or
// registers as a host that holds rate shares.
func (c *control) amongActive() bool { return c.ready || c.d.wantsShares.Load() }

// activePeers returns the addresses to which full heartbeats are sent: the known active hosts,
// for a standby a few of them, or the hosts of the active-hosts hint if none is known.
func (c *control) activePeers() []string {
	peers := c.members.ReadyPeers()
	if !c.amongActive() && !c.leaving {
		peers = c.members.StandbyTargets()
	}
	if len(peers) > 0 {
		return peers
	}
	return c.hintedPeers
}

// activeSummary returns the summary of the active hosts for standbys, without their heartbeats.
func (c *control) activeSummary() *fleet.ActiveSummary {
	load, own := c.members.ActiveLoad(), c.d.meter.latest()
	s := &fleet.ActiveSummary{Digest: c.members.ActiveDigest(), Region: c.d.self.Region, LeavingUpstreams: c.d.table.LeavingReports()}
	for _, r := range encodeSuspects(c.d.suspects.tracker.Reports(c.d.now())) {
		r.InFlight = 0
		s.Suspects = append(s.Suspects, r)
	}
	if c.ready {
		s.Digest = fleet.AddToActiveDigest(s.Digest, fleet.ActiveState{
			Instance: c.d.self.Instance, Leaving: c.leaving, StoreReachable: !c.storeUnreachable, Registered: c.holdsShares,
		})
		load.RequestsPerSecond += own.RequestsPerSecond
		load.ResponseMbps += own.ResponseMbps
	}
	s.RequestsPerSecond, s.AnswerMbps = float32(load.RequestsPerSecond), float32(load.ResponseMbps)
	return s
}

// applyActiveSummary applies the summary that an active host has sent.
func (c *control) applyActiveSummary(now time.Time, s *fleet.ActiveSummary) {
	if c.ready || s == nil {
		return
	}
	c.logMemberChanges(c.members.ApplyActiveSummary(now, s))
	c.d.suspects.apply(s.Suspects, "summary")
	for _, id := range c.d.table.ApplyLeavingReports(s.LeavingUpstreams) {
		c.d.events.Info("upstream leaving", "upstream", id, "source", "summary")
	}
}

// replyToStandby sends a heartbeat to a standby of this region that knows no active host. Until
// a standby receives a heartbeat from an active host, it reads the store itself.
func (c *control) replyToStandby(now time.Time, b *fleet.Heartbeat) {
	if !c.ready || !b.SeeksActive || b.Region != c.d.self.Region {
		return
	}
	c.sendHeartbeat(c.compactHeartbeat(now), []string{b.Peers})
}

func (c *control) sendHeartbeat(b *fleet.Heartbeat, peers []string) {
	if err := c.d.transport.SendHeartbeat(b, peers); err != nil {
		c.d.events.Debug("heartbeat not sent", "error", err)
	}
}

// heartbeat returns the heartbeat of this host.
func (c *control) heartbeat(now time.Time) *fleet.Heartbeat {
	c.sequence++
	s, load, capacity, digests := c.d.self, c.d.meter.update(now), c.d.capacity(), c.announcedDigests()
	return &fleet.Heartbeat{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Peers: s.Peers,
		Tunnels: s.Tunnels, LinksDown: c.d.links.LinksDown(),
		Sequence: c.sequence, Ready: c.ready, Leaving: c.leaving, Version: c.version(),
		Able: c.canServe(now), Registered: c.holdsShares, SeesStore: !c.storeUnreachable,
		SeeksActive: !c.ready && !c.leaving && !c.d.directory.Load().anyReady(),
		BaseDigest:  digests.base, UpstreamsDigest: digests.upstreams,
		Cores: float32(capacity.Cores), LinkMbps: float32(capacity.LinkMbps),
		RequestsPerSecond: float32(load.RequestsPerSecond), AnswerMbps: float32(load.ResponseMbps),
		LeavingUpstreams: c.d.table.LeavingReports(),
	}
}

// compactHeartbeat returns a heartbeat without demand and warm objects.
func (c *control) compactHeartbeat(now time.Time) *fleet.Heartbeat {
	b := c.heartbeat(now)
	b.Brief = true
	return b
}

// addLearned adds the demand of customers at this host, the rate limits of upstreams and the
// objects that upstreams are warm for.
func (c *control) addLearned(now time.Time, b *fleet.Heartbeat) {
	for customer, rate := range c.d.shares.AnnounceDemand(now) {
		b.Demand = append(b.Demand, &fleet.Demand{Customer: customer, PerSecond: float32(rate)})
	}
	b.Suspects = encodeSuspects(c.d.suspects.tracker.Reports(now))
	b.Sent = encodeSent(c.d.table.SentReports())
	b.RateLimits = encodeRateLimits(c.d.table.RateLimitReports(now))
	if !c.ready {
		return
	}
	for _, n := range c.d.table.WarmReports(now) {
		b.Warm = append(b.Warm, uint64(n))
	}
}
