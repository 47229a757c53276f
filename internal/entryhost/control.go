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
	// expiryInterval is the time between two checks for unresponsive hosts, and demandInterval
	// the least time between two computations of the total demand that peers have reported.
	// demandInterval is well below the delay that is assumed for heartbeats.
	expiryInterval = 100 * time.Millisecond
	demandInterval = 50 * time.Millisecond
	// reviewInterval is how often settings and loads, which change without notification, are
	// taken into account.
	reviewInterval = time.Second
	// tickInterval is how often the control thread handles what depends on time alone. It is
	// a tenth of the shortest bound that the control thread enforces.
	tickInterval = 100 * time.Millisecond
	// standbyTickInterval is the tickInterval of a standby.
	standbyTickInterval = 500 * time.Millisecond
	// watchLossDelay is how long a broken watch may go undetected.
	watchLossDelay = time.Second
	// keyCheckMargin allows for the network delay from the caller and for the processing time
	// between the check of an API key and the next reading of the clock.
	keyCheckMargin = 400 * time.Millisecond
)

// message is a function that the control thread runs.
type message func(*control)

// control holds the host's view of its peers, of the store and of the upstreams. Only its own
// goroutine accesses it.
type control struct {
	d       *Daemon
	inbox   chan message
	members *fleet.Members
	// registrations holds the entry hosts' registrations in the store, by key.
	registrations    map[string]fleet.Registration
	upstreamRegistry *follow.UpstreamRegistry
	catalog          *catalog.Catalog
	// items holds the items of the store except snapshots.
	items map[string]kv.Item
	// configuration is the encoded value of the latest version: that of catalog, unless it was refused.
	configuration []byte
	// outdatedSince is when catalog was last known to be the newest version, if this host cannot use a
	// newer one; zero otherwise.
	outdatedSince time.Time
	// source is what sent the changes that are being applied: a constant of advanceConfirmedAt, or
	// the address of a peer. It is for the log.
	source         string
	evacuatedZones map[string]bool
	// behind is set if the store's last response left out changes because they were many.
	behind bool
	// confirmedAt is the latest time as of which the state is known to have matched the store.
	confirmedAt time.Time
	// confirmedBy is what confirmed the state as of confirmedAt; see advanceConfirmedAt.
	confirmedBy string
	// listed is set once the host has received the state of the store, apart from the upstreams,
	// from the store or from a peer.
	listed           bool
	leaving          bool
	storeUnreachable bool
	ownRegistration  registration
	// hostsApplied is set once registrations have been passed on to members, and hostsChanged
	// if some have changed since.
	hostsApplied, hostsChanged bool
	// holdsShares is set while the registration entitles this host to hold rate shares.
	holdsShares bool
	// countedUntil is until when peers certainly count this host; zero if they may not.
	countedUntil time.Time
	// firstUntil is until when this host may take itself for the first of the fleet; zero if the first
	// listing shows a trace of another.
	firstUntil time.Time
	sequence   uint64
	// heartbeatDue is when the next full heartbeat to active hosts is due.
	heartbeatDue time.Time
	// announceToStandbys is set if a compact heartbeat to all standbys is due.
	announceToStandbys bool
	// ready is set while this host is active and can serve callers.
	ready      bool
	activation activation
	published  published
	// base is the configuration and the evacuated zones, upstreams the registrations of
	// upstreams, and hosts those of entry hosts.
	base, upstreams section
	hosts           hostsSection
	// holdsUpstreams is set while this host keeps the registrations of upstreams.
	holdsUpstreams  bool
	upstreamDemand  upstreamDemand
	upstreamLog     upstreamLog
	load            stateLoad
	sortedKeys      sortedKeys
	fanout          fanout.Limiter
	patchSources    patchSources
	confirmRequests confirmRequests
	watcherCache    watcherCache
	// snapshotReadAt is when the snapshot of the fleet's learned state was last read.
	snapshotReadAt time.Time
	// storedHint is the active-hosts hint in the store, as last known to this host, and
	// storedHintRevision its revision.
	storedHint         []byte
	storedHintRevision uint64
	// hintedPeers are the addresses to which this host sends heartbeats until it knows an
	// active host.
	hintedPeers []string
	// snapshotPacer paces the snapshots that this host writes.
	snapshotPacer snapshot.Pacer
}

func newControl(d *Daemon) *control {
	return &control{
		d: d, inbox: make(chan message, 256), evacuatedZones: map[string]bool{}, items: map[string]kv.Item{},
		registrations: map[string]fleet.Registration{}, confirmRequests: newConfirmRequests(),
		members: fleet.NewMembers(d.self.Instance, d.self.Name, d.self.Region), upstreamRegistry: follow.NewUpstreamRegistry(),
	}
}

// send queues a message for the control thread. The message is dropped when the daemon ends.
func (c *control) send(m message) {
	select {
	case c.inbox <- m:
	case <-c.d.ctx.Done():
	}
}

func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	ready := true
	for {
		if c.ready != ready {
			ready = c.ready
			tick.Reset(c.tickPeriod())
		}
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m(c)
			c.handleQueued()
		case <-tick.C:
			c.writeSnapshotIfDue(c.d.now())
		}
		c.tick(c.d.now())
	}
}

// tickPeriod returns the time between two ticks. A standby has no duties that need the shorter
// period.
func (c *control) tickPeriod() time.Duration {
	if c.ready {
		return tickInterval
	}
	return standbyTickInterval
}

// handleQueued runs the messages that are already queued, so that the changes of a burst are
// published together.
func (c *control) handleQueued() {
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
	c.d.activity.observe(now)
	c.expireUpstreamEntries(now)
	if holds := c.mayHoldShares(now); holds != c.holdsShares {
		// Peers must send token requests for customers to another host, or to this one again.
		c.holdsShares = holds
		c.announce(now)
		c.d.fallbackAllowed.Store(true)
		c.d.shares.SetLease(now, holds)
	}
	c.upstreamLog.flush(c.d.events)
	c.publish(now)
	c.d.rooms.sweep(now)
	c.manageUpstreams(now)
	c.continueLoad(now)
	c.confirmState(now)
	c.sendHeartbeats(now)
}

// bucketCount returns the number of buckets among which a customer's rate is split: one for
// each region that has hosts, whether their heartbeats arrive or they are only registered. A
// region whose heartbeats do not arrive may only be partitioned.
func (c *control) bucketCount() int {
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

func (c *control) logMemberChanges(changes []fleet.MemberChange) {
	for _, change := range changes {
		log := c.d.events.Info
		if change.Event == "heard" && !change.Member.Ready {
			// Each active host hears every standby of the fleet.
			log = c.d.events.Debug
		}
		log("peer "+change.Event, "peer", change.Member.Host, "instance", change.Member.Instance,
			"zone", change.Member.Zone)
	}
}

func (c *control) handleHeartbeat(b *fleet.Heartbeat) {
	now := c.d.now()
	changes, newer := c.members.ApplyHeartbeat(now, b)
	c.logMemberChanges(changes)
	c.replyToStandby(now, b)
	c.d.table.ApplyWarmReports(now, b.Warm)
	if newer {
		c.d.rooms.owners.Heard(b.Instance)
		c.applyAnnouncements(now, b)
		c.applySent(now, b)
		c.d.suspects.apply(b.Suspects, b.Peers)
	}
	c.handleDigests(b)
}

// removeUpstream stops sending requests to an upstream.
func (c *control) removeUpstream(id, why string) {
	c.d.table.RemoveUpstream(c.d.now(), id)
	c.upstreamLog.addRemoved(id, why)
}
