package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/standby"
)

const (
	// maxConfigurationAge is the age of the configuration up to which the host counts as
	// ready: a watch and a slow answer, and less than keys are accepted for.
	maxConfigurationAge = 3300 * time.Millisecond
	// deactivateAfter is how long others must have been enough before a host stops to
	// take callers: at a start and after a cut, heartbeats of all hosts come
	// within a second or two.
	deactivateAfter = 4 * time.Second
	// activationEvery is the least time between two decisions on it; each looks at all hosts
	// of the region.
	activationEvery = 100 * time.Millisecond
)

// activation is whether this host takes callers.
type activation struct {
	// active says that this host is one of those that should.
	active   bool
	activeAt time.Time
	// decidedAt is when that was decided last, and basis what it went by beside the
	// load of the hosts.
	decidedAt time.Time
	basis     basis
}

type basis struct {
	members       uint64
	able, leaving bool
}

// canServe tells whether the host could take callers at once.
func (c *control) canServe(now time.Time) bool {
	known := c.catalog != nil && c.listed
	return known && !c.leaving && now.Sub(c.confirmedAt) < maxConfigurationAge
}

// setReady decides whether callers may be sent here.
func (c *control) setReady(now time.Time, heard []fleet.Member) {
	c.decideActivation(now, heard)
	able := c.canServe(now)
	// A host that stands by serves whoever comes.
	c.d.ready.Store(able)
	ready := c.activation.active && able
	if ready == c.ready {
		return
	}
	c.ready = ready
	c.members.SetReady(ready)
	if ready {
		c.restoreSnapshotAgain(now)
	}
	// The others should know at once.
	c.announceToAll(now)
	c.d.events.Info("ready", "ready", ready, "active", c.activation.active, "version", c.version(), "age", now.Sub(c.confirmedAt),
		"leaving", c.leaving, "upstreams", c.d.table.Size(), "hosts", c.members.Count())
}

// decideActivation decides whether this host should take callers.
func (c *control) decideActivation(now time.Time, heard []fleet.Member) {
	if !c.knowsOthers(now) {
		return
	}
	d := &c.activation
	next := basis{c.members.Generation(), c.canServe(now), c.leaving}
	since := now.Sub(d.decidedAt)
	// What this host itself can do shows at once.
	own := next.able != d.basis.able || next.leaving != d.basis.leaving
	if !own && (since < activationEvery || next == d.basis && since < reviewEvery) {
		return
	}
	d.decidedAt, d.basis = now, next
	if c.shouldBeActive(now, heard) {
		d.activeAt = now
	}
	wanted := now.Sub(d.activeAt) < deactivateAfter
	if wanted != d.active {
		c.d.events.Info("activation", "takes_callers", wanted, "hosts", c.members.Count())
	}
	d.active = wanted
}

// knowsOthers tells whether the host can tell if it is needed: right after its start it
// knows only itself, and every host would take callers.
func (c *control) knowsOthers(now time.Time) bool {
	return c.listed && (c.registration.lease > 0 || now.Sub(c.d.startedAt) >= registerWithin)
}

// shouldBeActive tells whether this host is one of those that take callers, by what is
// known of all. Where no host is able, as in an outage of the store, those go on
// that would be the first to be able again.
func (c *control) shouldBeActive(now time.Time, heard []fleet.Member) bool {
	self := standby.Host{
		Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region,
		Capacity: c.d.capacity(), Load: c.d.meter.last(),
	}
	var able, all []standby.Host
	if c.canServe(now) {
		able = append(able, self)
	}
	if !c.leaving {
		all = append(all, self)
	}
	for _, m := range c.others(heard) {
		if m.Leaving || m.Region != self.Region {
			continue
		}
		h := standby.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region, Capacity: m.Capacity, Load: m.Load}
		all = append(all, h)
		if m.Eligible {
			able = append(able, h)
		}
	}
	// Who should take callers if all were able may spend, so it registers as such.
	c.d.spends.Store(c.activation.active || standby.Active(all, self.Region)[self.Instance])
	active := standby.Active(able, self.Region)
	if len(active) == 0 {
		active = standby.Active(all, self.Region)
	}
	return active[self.Instance]
}

// others are the hosts that this one goes by. One that stands by does not hear the
// others that do, and takes them to be as able as they are registered.
func (c *control) others(heard []fleet.Member) []fleet.Member {
	if c.ready {
		return heard
	}
	out := heard[:len(heard):len(heard)]
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
