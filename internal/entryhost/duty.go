package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/standby"
)

const (
	// freshFor is the age of the configuration up to which the host counts as
	// ready: a watch and a slow answer, and less than keys are accepted for.
	freshFor = 3300 * time.Millisecond
	// yieldAfter is how long others must have been enough before a host stops to
	// take callers: at a start and after a cut, heartbeats of all hosts come
	// within a second or two.
	yieldAfter = 4 * time.Second
	// dutyEvery is the least time between two decisions on it; each looks at all hosts
	// of the region.
	dutyEvery = 100 * time.Millisecond
)

// duty is whether this host takes callers.
type duty struct {
	// wanted says that this host is one of those that should.
	wanted   bool
	wantedAt time.Time
	// decidedAt is when that was decided last, and basis what it went by beside the
	// load of the hosts.
	decidedAt time.Time
	basis     basis
}

type basis struct {
	members       uint64
	able, leaving bool
}

// able tells whether the host could take callers at once.
func (c *control) able(now time.Time) bool {
	known := c.catalog != nil && c.listed
	return known && !c.leaving && now.Sub(c.at) < freshFor
}

// setReady decides whether callers may be sent here.
func (c *control) setReady(now time.Time, heard []fleet.Member) {
	c.decideDuty(now, heard)
	able := c.able(now)
	// A host that stands by serves whoever comes.
	c.d.ready.Store(able)
	ready := c.duty.wanted && able
	if ready == c.ready {
		return
	}
	c.ready = ready
	c.members.SetReady(ready)
	if ready {
		c.recallAgain(now)
	}
	// The others should know at once.
	c.announceToAll(now)
	c.d.events.Info("ready", "ready", ready, "wanted", c.duty.wanted, "version", c.version(), "age", now.Sub(c.at),
		"leaving", c.leaving, "upstreams", c.d.table.Size(), "hosts", c.members.Count())
}

// decideDuty decides whether this host should take callers.
func (c *control) decideDuty(now time.Time, heard []fleet.Member) {
	if !c.knowsOthers(now) {
		return
	}
	d := &c.duty
	next := basis{c.members.Generation(), c.able(now), c.leaving}
	since := now.Sub(d.decidedAt)
	if since < dutyEvery || next == d.basis && since < reviewEvery {
		return
	}
	d.decidedAt, d.basis = now, next
	if c.needed(now, heard) {
		d.wantedAt = now
	}
	wanted := now.Sub(d.wantedAt) < yieldAfter
	if wanted != d.wanted {
		c.d.events.Info("duty", "takes_callers", wanted, "hosts", c.members.Count())
	}
	d.wanted = wanted
}

// knowsOthers tells whether the host can tell if it is needed: right after its start it
// knows only itself, and every host would take callers.
func (c *control) knowsOthers(now time.Time) bool {
	return c.listed && (c.registration.lease > 0 || now.Sub(c.d.startedAt) >= registerWithin)
}

// needed tells whether this host is one of those that take callers, by what is
// known of all. Where no host is able, as in an outage of the store, those go on
// that would be the first to be able again.
func (c *control) needed(now time.Time, heard []fleet.Member) bool {
	self := standby.Host{
		Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region,
		Capacity: c.d.capacity(), Load: c.d.meter.last(),
	}
	var able, all []standby.Host
	if c.able(now) {
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
		if m.Able {
			able = append(able, h)
		}
	}
	// Who should take callers if all were able may spend, so it registers as such.
	c.d.spends.Store(c.duty.wanted || standby.Active(all, self.Region)[self.Instance])
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
	for _, m := range c.members.Unheard(c.d.self.Region) {
		m.Able = true
		out = append(out, m)
	}
	return out
}

func (d *Daemon) capacity() standby.Capacity {
	c := d.settings.Load().Capacity
	return standby.Capacity{Cores: c.CPUShare * max(c.CPUCores, 1), LinkMbps: c.LinkMbps}
}
