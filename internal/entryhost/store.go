package entryhost

import (
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/release"
	"balsambarrow/platform"
)

// storeSink receives the listings and changes of all keys of the store. One watch of all keys
// costs half as much as separate watches of the configuration and of the upstreams, and every
// response to it confirms the configuration too.
type storeSink struct{ c *control }

// OnList implements follow.Sink.
func (s storeSink) OnList(l kv.Listing, asOf time.Time) (completeTo uint64) {
	return s.c.await(func(c *control) { c.handleListing(l, asOf) })
}

// handleListing applies a listing. Its asOf is that of follow.Sink.
func (c *control) handleListing(l kv.Listing, asOf time.Time) {
	now := c.d.now()
	c.source = confirmedByListing
	c.upstreamRegistry.StoreReached(now)
	first := !c.listed
	switch {
	case first:
		c.loadState(now, l.Items, true)
		c.setCompleteTo(l.Revision, c.sections()...)
		if len(c.registrations) == 0 && c.storedHintRevision == 0 {
			// A host that registers later is known at least that long.
			c.firstUntil = now.Add(activeLeaseTTL - leaseMargin)
		}
		// The registration follows, and its type depends on whether the host should hold rate
		// shares. shouldBeActive updates that.
		c.shouldBeActive(now, nil)
		close(c.d.listed)
	case !asOf.IsZero():
		c.applyListing(now, l)
		c.setCompleteTo(l.Revision, c.sections()...)
	}
	c.d.events.Info("store listed", "first", first, "stale", asOf.IsZero(), "items", len(l.Items), "revision", l.Revision, "version", c.version())
	c.noteStoreReached()
	c.confirm(asOf, confirmedByListing)
	c.hosts.advanceConfirmedAt(asOf)
}

// applyListing applies a listing to a state that is known. A key keeps its state if a peer has reported
// a later change of it.
func (c *control) applyListing(now time.Time, l kv.Listing) {
	listed := make(map[string]bool, len(l.Items))
	events := make([]kv.Event, 0, len(l.Items))
	for _, item := range l.Items {
		listed[item.Key] = true
		events = append(events, kv.Event{Item: item})
	}
	for key := range c.items {
		if !listed[key] {
			events = append(events, kv.Event{Item: kv.Item{Key: key, Revision: l.Revision}, Deleted: true})
		}
	}
	c.applyChanges(now, events)
}

// loadState sets the first state, which a listing or a peer has provided. withUpstreams is set if the
// items include the registrations of upstreams.
func (c *control) loadState(now time.Time, items []kv.Item, withUpstreams bool) {
	c.holdsUpstreams = withUpstreams
	for _, s := range c.sections() {
		if c.keeps(s) {
			s.reset(c.itemsOf(s, items))
		}
	}
	c.clearItems()
	for key := range c.registrations {
		c.removeHostRegistration(key)
	}
	for _, item := range items {
		c.applyWrite(now, item)
	}
	c.restoreSnapshot(now, items)
	c.updateMembers(now)
	c.listed = true
	if c.holdsUpstreams {
		c.upstreamDemand.until, c.upstreamDemand.known = now.Add(upstreamRetention), true
	}
	c.d.hasPeers.Store(len(c.registrations) > 0)
}

// OnChanges implements follow.Sink.
func (s storeSink) OnChanges(after uint64, changes kv.Changes, asOf time.Time) (completeTo uint64) {
	return s.c.await(func(c *control) { c.handleChanges(after, changes, asOf) })
}

// handleChanges applies the response to a watch after a revision. Its asOf is that of follow.Sink. The
// response confirms only the sections that were complete up to that revision.
func (c *control) handleChanges(after uint64, changes kv.Changes, asOf time.Time) {
	now := c.d.now()
	c.upstreamRegistry.StoreReached(now)
	c.behind, c.source = changes.More, confirmedByWatch
	c.applyChanges(now, changes.Events)
	before := c.completeTo()
	base, hosts := c.base.extend(after, changes.Revision), c.hosts.extend(after, changes.Revision)
	upstreams := !c.holdsUpstreams || c.upstreams.extend(after, changes.Revision)
	c.d.events.Debug("store watched", "after", after, "events", len(changes.Events), "revision", changes.Revision, "more", changes.More,
		"confirms", !asOf.IsZero(), "age", now.Sub(asOf))
	if !base || !hosts || !upstreams {
		c.d.events.Info("store watched past missing changes", "after", after, "complete_to", before, "base", base, "hosts", hosts, "upstreams", upstreams)
	}
	c.noteStoreReached()
	if base && upstreams {
		c.confirm(asOf, confirmedByWatch)
	}
	if hosts {
		c.hosts.advanceConfirmedAt(asOf)
	}
}

// await runs a message on the control thread, and returns the revision up to which the state is then
// complete; 0 when the daemon ends.
func (c *control) await(m message) (completeTo uint64) {
	result := make(chan uint64, 1)
	c.send(func(c *control) {
		m(c)
		result <- c.completeTo()
	})
	select {
	case completeTo = <-result:
	case <-c.d.ctx.Done():
	}
	return completeTo
}

// OnError implements follow.Sink.
func (s storeSink) OnError(err error) {
	s.c.send(func(c *control) {
		c.upstreamRegistry.StoreFailed()
		c.noteStoreUnreachable(err)
	})
}

// applyChanges applies changes from the store or from a peer.
func (c *control) applyChanges(now time.Time, events []kv.Event) {
	for _, s := range c.sections() {
		if !c.keeps(s) {
			continue
		}
		s.apply(c.eventsOf(s, events), func(e kv.Event) (base []byte) {
			if platform.IsConfiguration(e.Key) {
				base = c.configuration
			}
			if e.Deleted {
				c.applyDelete(now, e.Key)
			} else {
				c.applyWrite(now, e.Item)
			}
			return base
		})
	}
	c.updateMembers(now)
}

// applyWrite applies the write of a key.
func (c *control) applyWrite(now time.Time, item kv.Item) {
	if !c.keeps(c.sectionOf(item.Key)) {
		return
	}
	if item.Key != platform.SnapshotKey {
		c.putItem(item)
	}
	if platform.IsConfiguration(item.Key) {
		c.applyConfiguration(item)
		return
	}
	if _, ok := platform.UpstreamID(item.Key); ok {
		c.putUpstreamEntry(now, item)
		return
	}
	if _, ok := platform.HostInstance(item.Key); ok {
		c.setHostRegistration(item)
		return
	}
	if item.Key == platform.ActiveHostsKey {
		c.noteStoredHint(item)
		return
	}
	if item.Key == platform.SnapshotKey && c.confirmedAt.IsZero() && c.listed {
		// The first listing may have been stale.
		c.restoreSnapshot(now, []kv.Item{item})
	}
	if zone, ok := platform.EvacuatedZone(item.Key); ok {
		c.setEvacuated(zone, true)
	}
}

// applyDelete applies the deletion of a key.
func (c *control) applyDelete(now time.Time, key string) {
	c.deleteItem(key)
	if id, ok := platform.UpstreamID(key); ok {
		c.deleteUpstreamEntry(now, id)
	}
	if zone, ok := platform.EvacuatedZone(key); ok {
		c.setEvacuated(zone, false)
	}
	c.removeHostRegistration(key)
}

// setHostRegistration records the registration of an entry host.
func (c *control) setHostRegistration(item kv.Item) {
	instance, _ := platform.HostInstance(item.Key)
	r, err := fleet.DecodeRegistration(instance, item.Value)
	if err != nil {
		c.d.events.Warn("host registration not readable", "key", item.Key, "error", err)
		c.removeHostRegistration(item.Key)
		if instance == c.d.self.Instance {
			c.d.registerAgain()
		}
		return
	}
	c.registrations[item.Key] = r
	c.hosts.digest.SetHost(item.Key, item.Value)
	c.hostsChanged = true
}

// removeHostRegistration removes the registration of an entry host.
func (c *control) removeHostRegistration(key string) {
	if _, ok := c.registrations[key]; !ok {
		return
	}
	delete(c.registrations, key)
	c.hosts.digest.RemoveHost(key)
	c.hostsChanged = true
}

// updateMembers passes the registered hosts on to members if they have changed.
func (c *control) updateMembers(now time.Time) {
	if c.hostsApplied && !c.hostsChanged {
		return
	}
	c.hostsApplied, c.hostsChanged = true, false
	c.members.ApplyRegistrations(now, slices.Collect(maps.Values(c.registrations)))
}

// applyConfiguration puts a configuration into force if it is newer.
func (c *control) applyConfiguration(item kv.Item) {
	began := c.d.now()
	next, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		c.refuseConfiguration(item)
		c.d.events.Warn("configuration refused", "version", platform.ConfigurationVersion(item.Value), "revision", item.Revision, "in_force", c.version(), "by", c.source, "error", err)
		return
	}
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return
	}
	c.d.events.Info("configuration in force", "version", next.Version, "before", c.version(), "release", release.Number, "revision", item.Revision, "by", c.source,
		"bytes", len(item.Value), "keys_required", next.RequiresKeys, "decoding_took", c.d.now().Sub(began), "confirmed_age", began.Sub(c.confirmedAt))
	c.catalog, c.configuration, c.outdatedSince = next, item.Value, time.Time{}
	c.base.digest.SetRefused(0)
	c.base.digest.SetVersion(next.Version)
	c.d.table.SetCatalog(next)
}

// longAgo is the earliest time that is not the zero time.
var longAgo = time.Time{}.Add(1)

// refuseConfiguration records that a version cannot be used. Peers must learn of it too, because a key
// that it withdraws must not be accepted for long. It may have been written right after the last
// confirmation.
func (c *control) refuseConfiguration(item kv.Item) {
	c.d.countConfigurationRefused()
	c.configuration = item.Value
	c.base.digest.SetRefused(item.Revision)
	if c.outdatedSince.IsZero() {
		c.outdatedSince = laterOf(c.confirmedAt, longAgo)
	}
}

// setEvacuated starts or ends the evacuation of a zone.
func (c *control) setEvacuated(zone string, evacuated bool) {
	if c.evacuatedZones[zone] == evacuated {
		return
	}
	// Other goroutines hold references to the present map.
	c.evacuatedZones = maps.Clone(c.evacuatedZones)
	if evacuated {
		c.evacuatedZones[zone] = true
		c.d.events.Info("zone evacuated", "zone", zone)
	} else {
		delete(c.evacuatedZones, zone)
		c.d.events.Info("zone taken back", "zone", zone)
	}
	c.base.digest.SetZone(zone, evacuated)
	c.d.table.SetEvacuatedZones(c.d.now(), c.evacuatedZones)
}

// What confirmed the state, in logs and metrics, if no peer did.
const (
	confirmedByWatch   = "watch"
	confirmedByListing = "listing"
)

// advanceConfirmedAt records that the state matched the store at the time asOf. by is what
// confirmed it: one of the constants, or the address of a peer.
func (c *control) advanceConfirmedAt(asOf time.Time, by string) {
	if !asOf.After(c.confirmedAt) {
		return
	}
	c.d.countConfirmation(by)
	if c.confirmedBy != by {
		c.d.events.Info("state confirmed", "by", by, "before", c.confirmedBy, "age", c.d.now().Sub(asOf), "previous_age", c.d.now().Sub(c.confirmedAt),
			"version", c.version(), "revision", c.completeTo())
	}
	c.confirmedAt, c.confirmedBy = asOf, by
}

// confirm records that the store itself has confirmed the state as of a time; the zero time confirms
// nothing.
func (c *control) confirm(asOf time.Time, by string) {
	if asOf.IsZero() {
		return
	}
	c.advanceConfirmedAt(asOf, by)
	c.upstreamDemand.known = c.holdsUpstreams
}

// noteStoreReached records a successful response of the store itself.
func (c *control) noteStoreReached() {
	if c.storeUnreachable {
		c.storeUnreachable = false
		c.announce(c.d.now())
		c.d.events.Info("store regained", "version", c.version())
	}
}

func (c *control) noteStoreUnreachable(err error) {
	if !c.storeUnreachable {
		// Peers may have to select another watcher from now on.
		c.storeUnreachable = true
		c.announce(c.d.now())
		c.d.events.Warn("store lost", "error", err, "age", c.d.now().Sub(c.confirmedAt))
	}
}

// putUpstreamEntry applies an upstream's entry in the store.
func (c *control) putUpstreamEntry(now time.Time, item kv.Item) {
	u, err := platform.DecodeUpstream(item)
	if err != nil {
		id, _ := platform.UpstreamID(item.Key)
		c.d.events.Info("upstream entry void", "upstream", id, "revision", item.Revision, "error", err)
		c.upstreams.digest.RemoveUpstream(id)
		// Hosts that copy the upstreams from this one do not need it.
		c.deleteItem(item.Key)
		if c.upstreamRegistry.Invalidate(id) {
			c.removeUpstream(id, "entry void")
		}
		return
	}
	if !c.upstreamRegistry.Put(now, u) {
		c.d.events.Debug("stale upstream entry ignored", "upstream", u.ID, "born", u.StartedMs, "sequence", u.Sequence)
		return
	}
	c.useUpstreamEntry(now, u)
}

// useUpstreamEntry puts an entry into force.
func (c *control) useUpstreamEntry(now time.Time, u catalog.Upstream) {
	c.upstreams.digest.SetUpstream(u)
	if c.d.table.PutUpstream(now, u) {
		c.upstreamLog.addChanged(u)
		c.d.upstreamEnds.registrationsChanged(now)
	}
}

// unconfirmedHeartbeats is the number of heartbeats after which an upstream that has written none is gone.
const unconfirmedHeartbeats = 3

// expireUpstreamEntries removes the upstreams that are still missing after an outage of the store, and puts entries into
// force that were ignored for longer than a late write can explain.
func (c *control) expireUpstreamEntries(now time.Time) {
	for _, id := range c.upstreamRegistry.RemoveExpired(now) {
		c.removeUpstream(id, "missing since the store is back")
	}
	heartbeat := c.d.settings.Load().Bounds.UpstreamHeartbeat.Value()
	for _, u := range c.upstreamRegistry.TakeOverdue(now, unconfirmedHeartbeats*heartbeat) {
		c.d.events.Warn("upstream entry behind its predecessor", "upstream", u.ID, "born", u.StartedMs, "sequence", u.Sequence, "revision", u.Revision)
		c.upstreamRegistry.Put(now, u)
		c.useUpstreamEntry(now, u)
	}
}

func (c *control) deleteUpstreamEntry(now time.Time, id string) {
	c.upstreams.digest.RemoveUpstream(id)
	if c.upstreamRegistry.EntryRemoved(now, id) {
		c.removeUpstream(id, "entry removed")
	}
}
