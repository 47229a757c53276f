package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/front"
	"balsambarrow/internal/standby"
)

const (
	// maxConfigurationAge is the highest age of the confirmed configuration at which the host
	// is ready.
	maxConfigurationAge = front.MaxStateAge
	// deactivateAfter is how long this host stays active after it was last selected as an
	// active host. After a start or a network partition, the heartbeats of all hosts arrive
	// within one or two seconds.
	deactivateAfter = 4 * time.Second
	// activationInterval is the least time between two activation decisions. Each decision goes
	// through all hosts of the region.
	activationInterval = 100 * time.Millisecond
)

// activation is the decision whether this host is an active host, that is, whether callers are
// directed to it. A host that is not active is a standby.
type activation struct {
	// active is the decision in force, and lastSelectedAt is when this host was last selected
	// as one of the active hosts.
	active         bool
	lastSelectedAt time.Time
	// decidedAt is when the decision was last made, and inputs is what it depended on, apart
	// from the load of the hosts.
	decidedAt time.Time
	inputs    activationInputs
	// needsUpstreams is set if this host is active, or would be if all hosts could serve.
	needsUpstreams bool
	// nextSince is since when this host has been one of the next standbys; zero if it is not.
	nextSince time.Time
}

type activationInputs struct {
	membersGeneration uint64
	canServe, leaving bool
}

// isReady reports whether the host accepts callers, also if it holds no upstreams; see
// upstreamstate.go.
func (c *control) isReady(now time.Time) bool {
	loaded := c.catalog != nil && c.listed
	return loaded && !c.leaving && now.Sub(c.confirmedAt) < maxConfigurationAge
}

// canServe reports whether the host could serve callers now.
func (c *control) canServe(now time.Time) bool { return c.isReady(now) && c.upstreamDemand.known }

// updateReady updates the result of the readiness check, and decides whether callers may be
// directed to this host.
func (c *control) updateReady(now time.Time, peers []fleet.Member) {
	c.decideActivation(now, peers)
	canServe := c.canServe(now)
	// A standby reports itself ready too, because it serves callers that connect to it anyway.
	c.d.ready.Store(c.isReady(now))
	ready := c.activation.active && canServe
	if ready == c.ready {
		return
	}
	c.ready = ready
	c.members.SetReady(ready)
	if c.d.OnActive != nil {
		c.d.OnActive(ready)
	}
	if ready {
		c.rereadSnapshot(now)
	}
	// Peers must learn of the change without delay.
	c.announceToAll(now)
	c.d.events.Info("ready", "ready", ready, "active", c.activation.active, "version", c.version(), "age", now.Sub(c.confirmedAt),
		"leaving", c.leaving, "upstreams", c.d.table.Size(), "hosts", c.members.Count())
}

// decideActivation decides whether this host should be active.
func (c *control) decideActivation(now time.Time, peers []fleet.Member) {
	if !c.knowsPeers(now) {
		return
	}
	d := &c.activation
	next := activationInputs{c.members.Generation(), c.canServe(now), c.leaving}
	since := now.Sub(d.decidedAt)
	// A change of whether this host can serve or is leaving is applied without delay.
	ownChanged := next.canServe != d.inputs.canServe || next.leaving != d.inputs.leaving
	if !ownChanged && (since < activationInterval || next == d.inputs && since < reviewInterval) {
		return
	}
	d.decidedAt, d.inputs = now, next
	if c.shouldBeActive(now, peers) {
		d.lastSelectedAt = now
	}
	stayActive := now.Sub(d.lastSelectedAt) < deactivateAfter
	if stayActive != d.active {
		c.d.events.Info("activation", "takes_callers", stayActive, "hosts", c.members.Count())
	}
	d.active = stayActive
}

// knowsPeers reports whether the host knows enough peers to decide whether it must be active.
// Right after its start a host knows only itself, so without this check every host would become
// active.
func (c *control) knowsPeers(now time.Time) bool {
	return c.listed && (c.ownRegistration.lease > 0 || now.Sub(c.d.startedAt) >= registrationTimeout)
}

// shouldBeActive reports whether this host is one of the hosts that should be active, and
// updates wantsShares. If no host of the region can serve, as during a store outage, the active
// hosts are selected as if all could serve, because the selected hosts would be the first to be
// able to serve again.
func (c *control) shouldBeActive(now time.Time, peers []fleet.Member) bool {
	self := standby.Host{
		Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region,
		Capacity: c.d.capacity(), Load: c.d.meter.latest(),
	}
	var eligible, all []standby.Host
	if c.canServe(now) {
		eligible = append(eligible, self)
	}
	if !c.leaving {
		all = append(all, self)
	}
	for _, m := range c.knownPeers(peers) {
		if m.Leaving || m.Region != self.Region {
			continue
		}
		h := standby.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region, Capacity: m.Capacity, Load: m.Load}
		all = append(all, h)
		if m.Eligible {
			eligible = append(eligible, h)
		}
	}
	// A host that would be active if all hosts could serve may hold rate shares, so it
	// registers as a host that holds them.
	selected, next := standby.Select(all, self.Region)
	wantsShares := c.activation.active || selected[self.Instance]
	c.d.setWantsShares(wantsShares)
	c.activation.needsUpstreams = wantsShares
	switch {
	case !next[self.Instance] || now.Sub(c.hosts.confirmedAt) > hostsReadStoreAge:
		c.activation.nextSince = time.Time{}
	case c.activation.nextSince.IsZero():
		c.activation.nextSince = now
	}
	active := standby.Active(eligible, self.Region)
	if len(active) == 0 {
		active = selected
	}
	return active[self.Instance]
}

// knownPeers returns the peers that the activation decision takes into account. A standby
// receives no heartbeats from other standbys, and assumes that each registered standby can
// serve.
func (c *control) knownPeers(peers []fleet.Member) []fleet.Member {
	if c.ready {
		return peers
	}
	out := peers[:len(peers):len(peers)]
	for _, m := range c.members.PresumedStandbys(c.d.self.Region) {
		m.Eligible = true
		out = append(out, m)
	}
	return out
}

func (d *Daemon) capacity() standby.Capacity {
	c := d.settings.Load().Capacity
	return standby.Capacity{Cores: c.CPUShare * max(c.CPUCores, 1), LinkMbps: c.LinkMbps}
}
