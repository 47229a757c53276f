package entryhost

import (
	"context"
	"slices"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fanout"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/snapshot"
)

const (
	// surveyEvery is how often hosts that have gone silent are looked for, and
	// demandEvery how often the demand that others have told is summed up. The second
	// is well below the time that heartbeats are reckoned to take.
	surveyEvery = 100 * time.Millisecond
	demandEvery = 50 * time.Millisecond
	// reviewEvery is how often settings and loads, which change without notice, are
	// taken into account.
	reviewEvery = time.Second
	// tickEvery is how often the control thread looks at what time alone
	// changes: a tenth of the shortest bound that it keeps.
	tickEvery = 100 * time.Millisecond
	// standbyTick is the same for a host that stands by.
	standbyTick = 250 * time.Millisecond
	// watchSilence is how long a watch may have been deaf before it says nothing.
	watchSilence = time.Second
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
	roster        *follow.UpstreamRegistry
	catalog       *catalog.Catalog
	// items is what the store holds but for snapshots, and revision the store's of the
	// latest look, here or at the peer that confirmed the same.
	items    map[string]kv.Item
	revision uint64
	// configuration is the value that catalog was decoded from.
	configuration []byte
	zones         map[string]bool
	confirmedAt   time.Time
	listed        bool
	leaving       bool
	storeOut      bool
	registration  registration
	// hostsListed says that registrations were taken over once, and hostsChanged that
	// some have changed since.
	hostsListed, hostsChanged bool
	// held says that the registration stands.
	held     bool
	sequence uint64
	// heartbeatDue and standbyDue are when heartbeats to hosts that take callers, and to the
	// others, are due.
	heartbeatDue, briefHeartbeatDue time.Time
	// toAllHosts says that the next heartbeat to hosts that stand by is sent whether this
	// host takes callers or not.
	toAllHosts bool
	// rounds counts the heartbeats to hosts that stand by.
	rounds            int
	ready             bool
	activation        activation
	published         published
	digest            follow.Digest
	journal           follow.Journal
	fanout            fanout.Limiter
	seen              follow.KeyRevisions
	hostRegistrations hostKnowledge
	confirms          confirms
	watchers          watchers
	// snapshotReadAt is when what the fleet had learned was read last.
	snapshotReadAt time.Time
	// guide is what the guide in the store is, as far as this host knows, and guides are
	// the hosts that it makes itself known to until it hears one that takes callers.
	guide  []byte
	guides []string
	// snapshots paces those that this host writes.
	snapshots snapshot.Pacer
}

func newControl(d *Daemon) *control {
	return &control{
		d: d, inbox: make(chan message, 256), zones: map[string]bool{}, items: map[string]kv.Item{},
		registrations: map[string]fleet.Registration{}, confirms: newConfirms(),
		members: fleet.NewMembers(d.self.Instance, d.self.Name, d.self.Region), roster: follow.NewUpstreamRegistry(),
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
	ready := true
	for {
		if c.ready != ready {
			ready = c.ready
			tick.Reset(c.tickInterval())
		}
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

// tickInterval is the time between two looks at what time alone changes. A host that
// stands by has nothing to do that must be done sooner.
func (c *control) tickInterval() time.Duration {
	if c.ready {
		return tickEvery
	}
	return standbyTick
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
	for _, id := range c.roster.RemoveExpired(now) {
		c.removeUpstream(id, "missing since the store is back")
	}
	if held := c.registered(now); held != c.held {
		// Others should ask another host for customers' tokens, or this one again.
		c.held = held
		c.announce(now)
		c.d.registeredOnce.Store(true)
		c.d.shares.SetLease(now, held)
	}
	c.publish(now)
	c.confirmKnowledge(now)
	c.sendHeartbeats(now)
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

func (c *control) log(changes []fleet.MemberChange) {
	for _, change := range changes {
		c.d.events.Info("peer "+change.What, "peer", change.Member.Host, "instance", change.Member.Instance,
			"zone", change.Member.Zone)
	}
}

func (c *control) handleHeartbeat(b *fleet.Heartbeat) {
	now := c.d.now()
	changes := c.members.ApplyHeartbeat(now, b)
	c.log(changes)
	c.answerStandby(now, b, changes)
	c.d.table.ApplyWarmReports(now, b.Warm)
	c.handleDigest(b.Instance, b.Digest)
}

// removeUpstream stops sending to an upstream.
func (c *control) removeUpstream(id, why string) {
	c.d.table.RemoveUpstream(id)
	c.d.events.Info("upstream gone", "upstream", id, "reason", why)
}
