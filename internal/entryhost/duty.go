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
)

// duty is whether this host takes callers.
type duty struct {
	// wanted says that this host is one of those that should.
	wanted   bool
	wantedAt time.Time
	// decidedAt is when that was decided last; each heartbeat brings a turn of
	// the control thread, and the decision looks at all hosts.
	decidedAt time.Time
}

// able tells whether the host could take callers at once.
func (c *control) able(now time.Time) bool {
	known := c.catalog != nil && c.listed && !c.hostsListed.IsZero()
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
	// The others should know at once.
	c.beatDue = now
	c.d.events.Info("ready", "ready", ready, "wanted", c.duty.wanted, "version", c.version(), "age", now.Sub(c.at),
		"leaving", c.leaving, "upstreams", c.d.table.Size(), "hosts", c.members.Count())
}

// decideDuty decides whether this host should take callers.
func (c *control) decideDuty(now time.Time, heard []fleet.Member) {
	d := &c.duty
	if now.Sub(d.decidedAt) < tickEvery {
		return
	}
	d.decidedAt = now
	if c.needed(now, heard) {
		d.wantedAt = now
	}
	wanted := now.Sub(d.wantedAt) < yieldAfter
	if wanted != d.wanted {
		c.d.events.Info("duty", "takes_callers", wanted, "hosts", c.members.Count())
	}
	d.wanted = wanted
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
	for _, m := range heard {
		if m.Leaving {
			continue
		}
		h := standby.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region, Capacity: m.Capacity, Load: m.Load}
		all = append(all, h)
		if m.Able {
			able = append(able, h)
		}
	}
	active := standby.Active(able, self.Region)
	if len(active) == 0 {
		active = standby.Active(all, self.Region)
	}
	return active[self.Instance]
}

func (d *Daemon) capacity() standby.Capacity {
	c := d.settings.Load().Capacity
	return standby.Capacity{Cores: c.CPUShare * max(c.CPUCores, 1), LinkMbps: c.LinkMbps}
}
