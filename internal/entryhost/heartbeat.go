package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
)

// announce makes heartbeats due at once. Only active hosts send heartbeats to standbys.
func (c *control) announce(now time.Time) {
	c.heartbeatDue = now
	if c.ready {
		c.compactHeartbeatDue = now
	}
}

// announceToAll makes heartbeats to every host due at once.
func (c *control) announceToAll(now time.Time) {
	c.heartbeatDue, c.compactHeartbeatDue, c.heartbeatToAll = now, now, true
}

// sendHeartbeats sends the heartbeats that are due: full ones to active hosts and compact ones
// to standbys. Standbys send no heartbeats to each other.
func (c *control) sendHeartbeats(now time.Time) {
	if !now.Before(c.heartbeatDue) {
		c.heartbeatDue = now.Add(c.members.Interval(c.ready))
		b := c.heartbeat(now)
		c.addLearned(now, b)
		c.sendHeartbeat(b, c.activePeers())
	}
	if now.Before(c.compactHeartbeatDue) {
		return
	}
	c.compactHeartbeatDue = now.Add(c.members.IntervalToStandby())
	c.compactRounds++
	all := c.heartbeatToAll || c.compactRounds%fleet.RemoteRegionRounds == 0
	sendsCompact := c.ready || c.heartbeatToAll
	c.heartbeatToAll = false
	if peers := c.members.StandbyPeers(all); sendsCompact && len(peers) > 0 {
		b := c.heartbeat(now)
		b.Brief = true
		c.sendHeartbeat(b, peers)
	}
}

// activePeers returns the addresses to which full heartbeats are sent: the known active hosts,
// or the hosts of the active-hosts hint if none is known.
func (c *control) activePeers() []string {
	if peers := c.members.ReadyPeers(); len(peers) > 0 {
		return peers
	}
	return c.hintedPeers
}

// replyToStandby sends a heartbeat to a standby of this region that was not known before. Until
// a standby receives a heartbeat from an active host, it reads the store itself.
func (c *control) replyToStandby(now time.Time, b *fleet.Heartbeat, changes []fleet.MemberChange) {
	if !c.ready || b.Ready || b.Leaving || b.Region != c.d.self.Region || len(changes) == 0 {
		return
	}
	own := c.heartbeat(now)
	own.Brief = true
	c.sendHeartbeat(own, []string{b.Peers})
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
		Sequence: c.sequence, Ready: c.ready, Leaving: c.leaving, Version: c.version(),
		Able: c.canServe(now), Registered: c.holdsShares, SeesStore: !c.storeUnreachable,
		BaseDigest: digests.base, UpstreamsDigest: digests.upstreams,
		Cores: float32(capacity.Cores), LinkMbps: float32(capacity.LinkMbps),
		RequestsPerSecond: float32(load.RequestsPerSecond), AnswerMbps: float32(load.ResponseMbps),
		LeavingUpstreams: c.d.table.LeavingReports(),
	}
}

// addLearned adds the demand of customers at this host, the rate limits of upstreams and the
// objects that upstreams are warm for.
func (c *control) addLearned(now time.Time, b *fleet.Heartbeat) {
	for customer, rate := range c.d.shares.AnnounceDemand(now) {
		b.Demand = append(b.Demand, &fleet.Demand{Customer: customer, PerSecond: float32(rate)})
	}
	b.RateLimits = encodeRateLimits(c.d.table.RateLimitReports(now))
	if !c.ready {
		return
	}
	for _, n := range c.d.table.WarmReports(now) {
		b.Warm = append(b.Warm, uint64(n))
	}
}
