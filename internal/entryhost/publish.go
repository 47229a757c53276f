package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/front"
	"balsambarrow/internal/place"
	"balsambarrow/internal/retry"
)

// published is the state that the control thread has published to the other goroutines.
type published struct {
	// expiredAt is when hosts were last checked for expiry, and reviewedAt and demandAt are when
	// the hosts and the demand were last published.
	expiredAt, reviewedAt, demandAt time.Time
	// generation and demandGeneration are the generations of the members and of their demand
	// that were last published.
	generation, demandGeneration uint64
	// peers are the other hosts that are alive, and othersReady is whether any of them is active.
	peers       []fleet.Member
	othersReady bool
	// activeSummary is the summary for standbys; nil on a standby.
	activeSummary *fleet.ActiveSummary
	self          selfState
	state         front.State
	buckets       ownedBuckets
}

// selfState is the state of this host on which the directory, the bucket hosts and the retry budget
// depend.
type selfState struct {
	ready, leaving, reachesStore, holdsShares, counted bool
}

// publish publishes what has changed. Most messages change nothing that other goroutines use.
func (c *control) publish(now time.Time) {
	p := &c.published
	if now.Sub(p.expiredAt) >= expiryInterval {
		p.expiredAt = now
		c.logMemberChanges(c.members.Expire(now))
	}
	changed := p.generation != c.members.Generation()
	review := now.Sub(p.reviewedAt) >= reviewInterval
	if changed || review {
		p.generation, p.peers = c.members.Generation(), c.members.Alive()
	}
	c.updateReady(now, p.peers)
	c.updateCounted(now)
	next := selfState{c.ready, c.leaving, !c.storeUnreachable, c.holdsShares, !c.countedUntil.IsZero()}
	if changed || review || next != p.self {
		p.self, p.reviewedAt = next, now
		c.publishHosts(now)
	}
	c.publishState()
	c.publishDemand(now, changed)
}

// publishHosts publishes the known hosts to the directory, the active ones to the placement
// table, and the holders of customers' buckets to the callers of awaitBucketHosts. It also
// applies the bounds of the settings, which may have been reloaded.
func (c *control) publishHosts(now time.Time) {
	peers := c.published.peers
	d := &directory{self: c.d.self, ready: c.ready, leaving: c.leaving, reachesStore: !c.storeUnreachable, peers: peers}
	c.d.directory.Store(d)
	c.published.othersReady = d.otherReady()
	hosts := make([]place.Host, 0, len(peers)+1)
	for _, m := range peers {
		if m.Ready {
			hosts = append(hosts, place.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region})
		}
	}
	if c.ready {
		hosts = append(hosts, place.Host{Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region})
	}
	c.published.activeSummary = nil
	if c.ready {
		c.published.activeSummary = c.activeSummary()
	}
	c.d.table.SetHosts(hosts)
	c.d.rooms.setPeers(peers)
	c.d.publishTunnelPeers(peers)
	c.publishBucketHosts(now)
	c.d.hostsUpdated.fire()
	bounds := c.d.settings.Load().Bounds
	c.d.retries.SetShare(now, retry.Share{
		Slack: bounds.RetrySlack, Hosts: c.members.Count(), CountedUntil: c.countedUntil, Unused: c.slackUnused(now),
	})
	c.d.table.SetMaxRegionShift(bounds.MaxShift)
	c.d.shares.SetSlack(bounds.RateSlack)
}

// publishState publishes the state by which requests are served.
func (c *control) publishState() {
	next := front.State{
		Catalog: c.catalog, OutdatedSince: c.outdatedSince, ConfirmedAt: c.confirmedAt, ConfirmedBy: c.confirmedBy, Revision: c.completeTo(), UpstreamsKnown: c.upstreamsKnown(),
		Standby: !c.activation.active, OthersReady: c.published.othersReady,
	}
	if next == c.published.state {
		return
	}
	c.published.state = next
	c.d.state.Store(&next)
	c.d.stateUpdated.fire()
}

// publishDemand publishes the customers' demand at the other hosts.
func (c *control) publishDemand(now time.Time, changed bool) {
	p := &c.published
	if !changed && (p.demandGeneration == c.members.DemandGeneration() || now.Sub(p.demandAt) < demandInterval) {
		return
	}
	p.demandGeneration, p.demandAt = c.members.DemandGeneration(), now
	c.d.shares.SetRegionFraction(c.members.HeardFraction())
	c.d.shares.SetOwnersUnheard(c.members.OwnersUnheard())
	c.d.shares.SetRemoteDemand(c.members.Demand(), c.bucketCount(), c.members.DemandComplete())
}
