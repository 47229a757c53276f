package entryhost

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// storeSink follows all that the store holds. One watch of everything costs half
// of what a watch of the declarations and one of the upstreams cost, and what it
// brings confirms the declarations too.
type storeSink struct{ c *control }

// Listed implements follow.Sink.
func (s storeSink) OnList(l kv.Listing, asOf time.Time) {
	s.c.send(func(c *control) {
		now := c.d.now()
		c.roster.StoreReached(now)
		first := !c.listed
		if first || !asOf.IsZero() {
			c.replaceAll(now, l.Items)
		}
		if first {
			// Whether the host will hold shares decides how it registers.
			c.shouldBeActive(now, nil)
			close(c.d.listed)
		}
		if !asOf.IsZero() {
			c.revision = max(c.revision, l.Revision)
		}
		c.confirmedByStore(asOf)
	})
}

// replaceAll takes all over that the store holds.
func (c *control) replaceAll(now time.Time, items []kv.Item) {
	c.seen.Reset(items)
	c.journal.Reset()
	c.hostRegistrations.journal.Reset()
	clear(c.items)
	upstreams, zones := map[string]bool{}, map[string]bool{}
	for key := range c.registrations {
		c.hostUnregistered(key)
	}
	for _, item := range items {
		if zone, ok := platform.EvacuatedZone(item.Key); ok {
			zones[zone] = true
		}
		if id, ok := platform.UpstreamID(item.Key); ok {
			upstreams[id] = true
		}
		c.applyWrite(now, item)
	}
	for _, id := range c.roster.Unlisted(upstreams) {
		c.unregister(now, id)
	}
	for zone := range c.zones {
		if !zones[zone] {
			c.evacuate(zone, false)
		}
	}
	if !c.listed {
		c.restoreSnapshot(now, items)
	}
	c.listHosts(now)
	if !c.listed {
		c.listed = true
		c.d.peersKnown.Store(len(c.registrations) > 0)
	}
}

// Changed implements follow.Sink.
func (s storeSink) OnChanges(changes kv.Changes, asOf time.Time) {
	s.c.send(func(c *control) {
		now := c.d.now()
		c.roster.StoreReached(now)
		c.applyChanges(now, changes.Events)
		c.revision = max(c.revision, changes.Revision)
		c.confirmedByStore(asOf)
	})
}

// Failed implements follow.Sink.
func (s storeSink) OnError(err error) {
	s.c.send(func(c *control) {
		c.roster.StoreFailed()
		c.noteStoreLost(err)
	})
}

// applyChanges takes changes over, from the store or from a peer.
func (c *control) applyChanges(now time.Time, events []kv.Event) {
	for _, e := range c.seen.FilterNewer(events) {
		before, hostsBefore := c.digest.Sum(), c.hostRegistrations.digest.Sum()
		var base []byte
		if platform.IsConfiguration(e.Key) {
			base = c.configuration
		}
		if e.Deleted {
			c.applyRemoval(now, e.Key)
		} else {
			c.applyWrite(now, e.Item)
		}
		c.journal.Add(before, c.digest.Sum(), e, base)
		c.hostRegistrations.journal.Add(hostsBefore, c.hostRegistrations.digest.Sum(), e, nil)
	}
	c.listHosts(now)
}

// applyWrite takes a key over that was written.
func (c *control) applyWrite(now time.Time, item kv.Item) {
	if item.Key != platform.SnapshotKey {
		c.items[item.Key] = item
	}
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
		return
	}
	if item.Key == platform.ActiveHostsKey {
		c.readGuide(item)
		return
	}
	if item.Key == platform.SnapshotKey && c.confirmedAt.IsZero() && c.listed {
		// The first listing may have been old.
		c.restoreSnapshot(now, []kv.Item{item})
	}
	if zone, ok := platform.EvacuatedZone(item.Key); ok {
		c.evacuate(zone, true)
	}
}

// applyRemoval takes over that a key is gone.
func (c *control) applyRemoval(now time.Time, key string) {
	delete(c.items, key)
	if id, ok := platform.UpstreamID(key); ok {
		c.unregister(now, id)
	}
	if zone, ok := platform.EvacuatedZone(key); ok {
		c.evacuate(zone, false)
	}
	c.hostUnregistered(key)
}

// hostRegistered notes an entry host's registration.
func (c *control) hostRegistered(item kv.Item) {
	var r fleet.Registration
	if err := json.Unmarshal(item.Value, &r); err != nil || r.Instance == "" {
		c.d.events.Warn("registration of a host not readable", "key", item.Key, "error", err)
		return
	}
	c.registrations[item.Key] = r
	c.hostRegistrations.digest.SetHost(item.Key, item.Value)
	c.hostsChanged = true
}

// hostUnregistered notes that an entry host's registration is gone.
func (c *control) hostUnregistered(key string) {
	if _, ok := c.registrations[key]; !ok {
		return
	}
	delete(c.registrations, key)
	c.hostRegistrations.digest.RemoveHost(key)
	c.hostsChanged = true
}

// listHosts takes over which hosts are registered, if that has changed.
func (c *control) listHosts(now time.Time) {
	if c.hostsListed && !c.hostsChanged {
		return
	}
	c.hostsListed, c.hostsChanged = true, false
	c.members.ApplyRegistrations(now, slices.Collect(maps.Values(c.registrations)))
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
	c.catalog, c.configuration = next, item.Value
	c.digest.SetVersion(next.Version)
	c.d.table.SetCatalog(next)
}

// evacuate takes over that a zone is to be emptied, or is taken back.
func (c *control) evacuate(zone string, empty bool) {
	if c.zones[zone] == empty {
		return
	}
	// Others hold the present map.
	c.zones = maps.Clone(c.zones)
	if empty {
		c.zones[zone] = true
		c.d.events.Info("zone evacuated", "zone", zone)
	} else {
		delete(c.zones, zone)
		c.d.events.Info("zone taken back", "zone", zone)
	}
	c.digest.SetZone(zone, empty)
	c.d.table.SetEvacuatedZones(c.d.now(), c.zones)
}

// confirmedAsOf notes that what is known was what the store held at a time.
func (c *control) confirmedAsOf(asOf time.Time) {
	if asOf.After(c.confirmedAt) {
		c.confirmedAt = asOf
	}
}

// confirmedByStore is the same, by an answer of the store itself.
func (c *control) confirmedByStore(asOf time.Time) {
	c.confirmedAsOf(asOf)
	c.hostRegistrations.confirmedAsOf(asOf)
	if c.storeOut {
		c.storeOut = false
		c.announce(c.d.now())
		c.d.events.Info("store regained", "version", c.version())
	}
}

func (c *control) noteStoreLost(err error) {
	if !c.storeOut {
		// The others may have to go by another watcher from now on.
		c.storeOut = true
		c.announce(c.d.now())
		c.d.events.Warn("store lost", "error", err, "age", c.d.now().Sub(c.confirmedAt))
	}
}

// register takes an upstream's account of itself in.
func (c *control) register(now time.Time, item kv.Item) {
	u, err := platform.DecodeUpstream(item)
	if err != nil {
		id, _ := platform.UpstreamID(item.Key)
		c.d.events.Info("upstream entry void", "upstream", id, "revision", item.Revision, "error", err)
		c.digest.RemoveUpstream(id)
		if c.roster.Invalidate(id) {
			c.removeUpstream(id, "entry void")
		}
		return
	}
	if !c.roster.Put(u) {
		c.d.events.Debug("upstream entry old", "upstream", u.ID, "born", u.StartedMs, "sequence", u.Sequence)
		return
	}
	c.digest.SetUpstream(u)
	if c.d.table.PutUpstream(now, u) {
		c.d.events.Info("upstream", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "address", u.Address,
			"state", u.State, "cold", u.ColdRemaining, "born", u.StartedMs, "revision", u.Revision)
	}
}

func (c *control) unregister(now time.Time, id string) {
	c.digest.RemoveUpstream(id)
	if c.roster.EntryRemoved(now, id) {
		c.removeUpstream(id, "entry removed")
	}
}
