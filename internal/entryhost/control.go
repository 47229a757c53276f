package entryhost

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/front"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/place"
	"balsambarrow/platform"
)

const (
	// tickEvery is how often the control thread looks at what time alone
	// changes: a tenth of the shortest bound that it keeps.
	tickEvery = 100 * time.Millisecond
	// freshFor is the age of the configuration up to which the host counts as
	// ready: a watch and a slow answer, and less than keys are accepted for.
	freshFor = 3300 * time.Millisecond
	// deafFor is how long a watch may have been deaf before it says nothing.
	deafFor = time.Second
	// keyMargin covers the way from the caller and what the process needs
	// between the check of a key and its next look at the clock.
	keyMargin = 400 * time.Millisecond
)

// message is something that the control thread is told.
type message func(*control)

// control owns what the daemon believes. Only its goroutine touches it.
type control struct {
	d       *Daemon
	inbox   chan message
	members *fleet.Members
	// registrations of entry hosts in the store, by key.
	registrations map[string]fleet.Registration
	roster        *follow.Roster
	catalog       *catalog.Catalog
	zones         map[string]bool
	at            time.Time
	listed        bool
	leaving       bool
	storeOut      bool
	// registeredAt is when the last call left that kept the registration.
	registeredAt time.Time
	hostsListed  time.Time
	sequence     uint64
	beatDue      time.Time
	ready        bool
}

func newControl(d *Daemon) *control {
	return &control{
		d: d, inbox: make(chan message, 256), zones: map[string]bool{},
		registrations: map[string]fleet.Registration{},
		members:       fleet.NewMembers(d.self.Instance, d.settings.Load().Host), roster: follow.NewRoster(),
	}
}

// send tells the control thread something; it is dropped when the daemon ends.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.d.ctx.Done():
	}
}

func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m(c)
			c.drain()
		case <-tick.C:
		}
		c.tick(c.d.now())
	}
}

// drain takes what else is waiting, so that a burst is published once.
func (c *control) drain() {
	for {
		select {
		case m := <-c.inbox:
			m(c)
		default:
			return
		}
	}
}

func (c *control) tick(now time.Time) {
	for _, id := range c.roster.Expired(now) {
		c.leave(id, "missing since the store is back")
	}
	c.log(c.members.Tick(now))
	c.d.shares.Hold(c.registered(now))
	c.publish(now)
	if !now.Before(c.beatDue) {
		c.beat(now)
	}
}

// registered tells whether this host knows the others, and they count it.
func (c *control) registered(now time.Time) bool {
	return !c.hostsListed.IsZero() && now.Sub(c.registeredAt) < leaseTime-leaseMargin
}

func (c *control) publish(now time.Time) {
	heard := c.members.Heard(now)
	c.setReady(now)
	c.d.hosts.Store(int32(c.members.Count()))
	c.d.state.Store(&front.State{Catalog: c.catalog, ConfirmedAt: c.at, Listed: c.listed, Leaving: c.leaving})
	c.d.directory.Store(&directory{self: c.d.self, ready: c.ready, leaving: c.leaving, others: heard})
	hosts := make([]place.Host, 0, len(heard)+1)
	for _, m := range heard {
		if m.Ready {
			hosts = append(hosts, place.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region})
		}
	}
	if c.ready {
		hosts = append(hosts, place.Host{Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region})
	}
	c.d.table.SetHosts(hosts)
	c.d.pool.Store(newPool(c.d.self, c.ready, heard, c.members.Count()))
	c.d.shares.SetOthers(c.members.Demand(), c.buckets(), c.members.Complete())
	bounds := c.d.settings.Load().Bounds
	c.d.retries.SetSlack(bounds.RetrySlack, c.members.Count())
	c.d.table.SetMaxShift(bounds.MaxShift)
}

// buckets is how many buckets a customer's rate is split among: one for each
// region with hosts, heard or only registered. A region that is not heard may
// only be cut off.
func (c *control) buckets() int {
	regions := c.members.Regions()
	if slices.Contains(regions, c.d.self.Region) {
		return len(regions)
	}
	return len(regions) + 1
}

// setReady decides whether callers may be sent here.
func (c *control) setReady(now time.Time) {
	ready := c.catalog != nil && c.listed && !c.leaving && now.Sub(c.at) < freshFor && !c.hostsListed.IsZero()
	if ready == c.ready {
		return
	}
	c.ready = ready
	c.d.ready.Store(ready)
	// The others should know at once.
	c.beatDue = now
	c.d.events.Info("ready", "ready", ready, "version", c.version(), "age", now.Sub(c.at), "leaving", c.leaving,
		"upstreams", c.d.table.Size(), "hosts", c.members.Count())
}

func (c *control) version() uint64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Version
}

func (c *control) beat(now time.Time) {
	c.sequence++
	c.beatDue = now.Add(fleet.Interval(c.members.Count()))
	s := c.d.self
	b := &fleet.Heartbeat{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Peers: s.Peers,
		Sequence: c.sequence, Ready: c.ready, Leaving: c.leaving, Version: c.version(),
	}
	for customer, rate := range c.d.shares.Tell(now) {
		b.Demand = append(b.Demand, &fleet.Demand{Customer: customer, PerSecond: float32(rate)})
	}
	for _, n := range c.d.table.News(now) {
		b.Warm = append(b.Warm, uint64(n))
	}
	if err := c.d.wire.Send(b, c.members.Peers()); err != nil {
		c.d.events.Debug("heartbeat not sent", "error", err)
	}
}

func (c *control) log(changes []fleet.Change) {
	for _, change := range changes {
		c.d.events.Info("peer "+change.What, "peer", change.Member.Host, "instance", change.Member.Instance,
			"zone", change.Member.Zone)
	}
}

func (c *control) heard(b *fleet.Heartbeat) {
	now := c.d.now()
	c.log(c.members.Hear(now, b))
	c.d.table.Hear(now, b.Warm)
}

// leave stops sending to an upstream.
func (c *control) leave(id, why string) {
	c.d.table.Remove(id)
	c.d.events.Info("upstream gone", "upstream", id, "why", why)
}

// storeSink follows all that the store holds. One watch of everything costs half
// of what a watch of the declarations and one of the upstreams cost, and what it
// brings confirms the declarations too.
type storeSink struct{ c *control }

// Listed implements follow.Sink.
func (s storeSink) Listed(l kv.Listing, asOf time.Time) {
	s.c.send(func(c *control) {
		now := c.d.now()
		c.roster.Reached(now)
		upstreams, zones := map[string]bool{}, map[string]bool{}
		clear(c.registrations)
		for _, item := range l.Items {
			if zone, ok := platform.EvacuatedZone(item.Key); ok {
				zones[zone] = true
			}
			if id, ok := platform.UpstreamID(item.Key); ok {
				upstreams[id] = true
			}
			c.wrote(now, item)
		}
		for _, id := range c.roster.Unlisted(upstreams) {
			c.unregister(now, id)
		}
		c.evacuate(zones)
		c.listHosts(now)
		c.listed = true
		c.confirm(asOf)
	})
}

// Changed implements follow.Sink.
func (s storeSink) Changed(changes kv.Changes, asOf time.Time) {
	s.c.send(func(c *control) {
		now := c.d.now()
		c.roster.Reached(now)
		for _, e := range changes.Events {
			if e.Deleted {
				c.removed(now, e.Key)
				continue
			}
			if zone, ok := platform.EvacuatedZone(e.Key); ok {
				c.evacuateOne(zone, true)
			}
			c.wrote(now, e.Item)
		}
		c.listHosts(now)
		c.confirm(asOf)
	})
}

// Failed implements follow.Sink.
func (s storeSink) Failed(err error) {
	s.c.send(func(c *control) {
		c.roster.Failed()
		c.lostStore(err)
	})
}

// wrote takes a key over that was written.
func (c *control) wrote(now time.Time, item kv.Item) {
	if platform.IsConfiguration(item.Key) {
		c.declare(item)
		return
	}
	if _, ok := platform.UpstreamID(item.Key); ok {
		c.register(now, item)
		return
	}
	if _, ok := platform.HostInstance(item.Key); ok {
		c.hostRegistered(item)
	}
}

// removed takes over that a key is gone.
func (c *control) removed(now time.Time, key string) {
	if id, ok := platform.UpstreamID(key); ok {
		c.unregister(now, id)
	}
	if zone, ok := platform.EvacuatedZone(key); ok {
		c.evacuateOne(zone, false)
	}
	delete(c.registrations, key)
}

// hostRegistered notes an entry host's registration.
func (c *control) hostRegistered(item kv.Item) {
	var r fleet.Registration
	if err := json.Unmarshal(item.Value, &r); err != nil || r.Instance == "" {
		c.d.events.Warn("registration of a host not readable", "key", item.Key, "error", err)
		return
	}
	c.registrations[item.Key] = r
}

func (c *control) listHosts(now time.Time) {
	c.hostsListed = now
	c.members.List(now, slices.Collect(maps.Values(c.registrations)))
}

func (c *control) evacuateOne(zone string, empty bool) {
	zones := maps.Clone(c.zones)
	if empty {
		zones[zone] = true
	} else {
		delete(zones, zone)
	}
	c.evacuate(zones)
}

// declare takes a configuration over if it is newer.
func (c *control) declare(item kv.Item) {
	next, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		c.d.events.Warn("configuration refused", "revision", item.Revision, "in_force", c.version(), "error", err)
		return
	}
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return
	}
	c.d.events.Info("configuration in force", "version", next.Version, "before", c.version(), "revision", item.Revision)
	c.catalog = next
	c.d.table.SetCatalog(next)
}

func (c *control) evacuate(zones map[string]bool) {
	for zone := range zones {
		if !c.zones[zone] {
			c.d.events.Info("zone evacuated", "zone", zone)
		}
	}
	for zone := range c.zones {
		if !zones[zone] {
			c.d.events.Info("zone taken back", "zone", zone)
		}
	}
	c.zones = zones
	c.d.table.Evacuate(c.d.now(), zones)
}

// confirm notes that the configuration was the store's at a time.
func (c *control) confirm(asOf time.Time) {
	if asOf.After(c.at) {
		c.at = asOf
	}
	if c.storeOut {
		c.storeOut = false
		c.d.events.Info("store regained", "version", c.version())
	}
}

func (c *control) lostStore(err error) {
	if !c.storeOut {
		c.storeOut = true
		c.d.events.Warn("store lost", "error", err, "age", c.d.now().Sub(c.at))
	}
}

// register takes an upstream's account of itself in.
func (c *control) register(now time.Time, item kv.Item) {
	u, err := platform.DecodeUpstream(item)
	if err != nil {
		id, _ := platform.UpstreamID(item.Key)
		c.d.events.Info("upstream entry void", "upstream", id, "revision", item.Revision, "error", err)
		if c.roster.Void(id) {
			c.leave(id, "entry void")
		}
		return
	}
	if !c.roster.Put(u) {
		c.d.events.Debug("upstream entry old", "upstream", u.ID, "born", u.Born, "sequence", u.Sequence)
		return
	}
	if c.d.table.Put(now, u) {
		c.d.events.Info("upstream", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"state", u.State, "cold", u.ColdFor, "born", u.Born, "revision", u.Revision)
	}
}

func (c *control) unregister(now time.Time, id string) {
	if c.roster.Gone(now, id) {
		c.leave(id, "entry removed")
	}
}
