package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
)

// announce has heartbeats sent at once. Those that stand by are told only by hosts
// that callers are sent to.
func (c *control) announce(now time.Time) {
	c.heartbeatDue = now
	if c.ready {
		c.briefHeartbeatDue = now
	}
}

// announceToAll has heartbeats sent at once to every host.
func (c *control) announceToAll(now time.Time) {
	c.heartbeatDue, c.briefHeartbeatDue, c.toAllHosts = now, now, true
}

// sendHeartbeats sends the heartbeats that are due: full ones to the hosts that take callers,
// brief ones to the others. Hosts that stand by tell nothing to each other.
func (c *control) sendHeartbeats(now time.Time) {
	if !now.Before(c.heartbeatDue) {
		c.heartbeatDue = now.Add(c.members.Interval(c.ready))
		b := c.heartbeat(now)
		c.addLearned(now, b)
		c.sendHeartbeat(b, c.readyPeers())
	}
	if now.Before(c.briefHeartbeatDue) {
		return
	}
	c.briefHeartbeatDue = now.Add(c.members.IntervalToStandby())
	c.rounds++
	all := c.toAllHosts || c.rounds%fleet.RemoteRegionRounds == 0
	tells := c.ready || c.toAllHosts
	c.toAllHosts = false
	if peers := c.members.StandbyPeers(all); tells && len(peers) > 0 {
		b := c.heartbeat(now)
		b.Brief = true
		c.sendHeartbeat(b, peers)
	}
}

// readyPeers lists the hosts that are told all: those that take callers, as far as is
// known.
func (c *control) readyPeers() []string {
	if peers := c.members.ReadyPeers(); len(peers) > 0 {
		return peers
	}
	return c.guides
}

// answerStandby makes this host known to one of its region that stands by and was not heard
// before. Until it hears a host that takes callers, it looks at the store for itself.
func (c *control) answerStandby(now time.Time, b *fleet.Heartbeat, changes []fleet.MemberChange) {
	if !c.ready || b.Ready || b.Leaving || b.Region != c.d.self.Region || len(changes) == 0 {
		return
	}
	own := c.heartbeat(now)
	own.Brief = true
	c.sendHeartbeat(own, []string{b.Peers})
}

func (c *control) sendHeartbeat(b *fleet.Heartbeat, peers []string) {
	if err := c.d.wire.SendHeartbeat(b, peers); err != nil {
		c.d.events.Debug("heartbeat not sent", "error", err)
	}
}

// heartbeat is what this host tells of itself.
func (c *control) heartbeat(now time.Time) *fleet.Heartbeat {
	c.sequence++
	s, load, capacity := c.d.self, c.d.meter.read(now), c.d.capacity()
	return &fleet.Heartbeat{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Peers: s.Peers,
		Sequence: c.sequence, Ready: c.ready, Leaving: c.leaving, Version: c.version(),
		Able: c.canServe(now), Registered: c.held, SeesStore: !c.storeOut, Digest: c.announcedDigest(),
		Cores: float32(capacity.Cores), LinkMbps: float32(capacity.LinkMbps),
		RequestsPerSecond: float32(load.RequestsPerSecond), AnswerMbps: float32(load.ResponseMbps),
	}
}

// addLearned adds what customers ask for here and which objects were seen where.
func (c *control) addLearned(now time.Time, b *fleet.Heartbeat) {
	for customer, rate := range c.d.shares.AnnounceDemand(now) {
		b.Demand = append(b.Demand, &fleet.Demand{Customer: customer, PerSecond: float32(rate)})
	}
	if !c.ready {
		return
	}
	for _, n := range c.d.table.WarmReports(now) {
		b.Warm = append(b.Warm, uint64(n))
	}
}
