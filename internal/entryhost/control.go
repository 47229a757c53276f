package entryhost

import (
	"context"
	"slices"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/front"
	"balsambarrow/internal/place"
	"balsambarrow/internal/snapshot"
)

const (
	// tickEvery is how often the control thread looks at what time alone
	// changes: a tenth of the shortest bound that it keeps.
	tickEvery = 100 * time.Millisecond
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
	// held says that the registration stands.
	held     bool
	sequence uint64
	beatDue  time.Time
	ready    bool
	duty     duty
	digest   follow.Digest
	journal  follow.Journal
	seen     follow.Seen
	confirms confirms
	// snapshots paces those that this host writes.
	snapshots snapshot.Writer
}

func newControl(d *Daemon) *control {
	return &control{
		d: d, inbox: make(chan message, 256), zones: map[string]bool{},
		registrations: map[string]fleet.Registration{}, confirms: newConfirms(),
		members: fleet.NewMembers(d.self.Instance, d.settings.Load().Host), roster: follow.NewRoster(),
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
			c.snapshot(c.d.now())
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
	if held := c.registered(now); held != c.held {
		// Others should ask another host for customers' tokens, or this one again.
		c.held, c.beatDue = held, now
		c.d.registeredOnce.Store(true)
		c.d.shares.Hold(held)
	}
	c.publish(now)
	c.seekConfirmation(now)
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
	c.setReady(now, heard)
	c.d.state.Store(&front.State{
		Catalog: c.catalog, ConfirmedAt: c.at, Listed: c.listed, Leaving: c.leaving, Standby: !c.duty.wanted,
	})
	c.d.fresh.fire()
	c.d.directory.Store(&directory{self: c.d.self, ready: c.ready, leaving: c.leaving, seesStore: !c.storeOut, others: heard})
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
	c.d.pool.Store(newPool(c.d.self, c.ready && c.held, heard, c.members.Count()))
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

func (c *control) version() uint64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Version
}

func (c *control) beat(now time.Time) {
	c.sequence++
	c.beatDue = now.Add(c.members.Interval(c.ready))
	s, load := c.d.self, c.d.meter.read(now)
	capacity := c.d.capacity()
	b := &fleet.Heartbeat{
		Instance: s.Instance, Host: s.Name, Zone: s.Zone, Region: s.Region, Callers: s.Callers, Peers: s.Peers,
		Sequence: c.sequence, Ready: c.ready, Leaving: c.leaving, Version: c.version(),
		Able: c.able(now), Registered: c.held, SeesStore: !c.storeOut, Digest: c.toldDigest(),
		Cores: float32(capacity.Cores), LinkMbps: float32(capacity.LinkMbps),
		RequestsPerSecond: float32(load.Requests), AnswerMbps: float32(load.AnswerMbps),
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

func (c *control) log(changes []fleet.Arrival) {
	for _, change := range changes {
		c.d.events.Info("peer "+change.What, "peer", change.Member.Host, "instance", change.Member.Instance,
			"zone", change.Member.Zone)
	}
}

func (c *control) heard(b *fleet.Heartbeat) {
	now := c.d.now()
	c.log(c.members.Hear(now, b))
	c.d.table.Hear(now, b.Warm)
	c.heardDigest(b.Instance, b.Digest)
}

// leave stops sending to an upstream.
func (c *control) leave(id, why string) {
	c.d.table.Remove(id)
	c.d.events.Info("upstream gone", "upstream", id, "why", why)
}
