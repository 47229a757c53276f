package entryhost

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/delta"
	"balsambarrow/internal/fanout"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/freshness"
	"balsambarrow/internal/kv"
)

const (
	// maxChangeBytes bounds the changes of configuration, upstreams and zones in one response.
	// It is the size of the largest value of the store, compressed.
	maxChangeBytes = 256 << 10
	// maxHostChangeBytes bounds the changes of entry hosts' registrations in one response.
	maxHostChangeBytes = 24 << 10
)

// stateDigests are the digests of the sections on which requests depend. upstreams is 0 if the
// host holds none.
type stateDigests struct{ base, upstreams uint64 }

// storeSummary is the digests of the store's state, and when it was confirmed. It is never
// modified.
type storeSummary struct {
	digests        stateDigests
	holdsUpstreams bool
	confirmedAt    time.Time
	// hostsDigest and hostsConfirmedAt are the same for the registrations of entry hosts.
	hostsDigest      uint64
	hostsConfirmedAt time.Time
	// revision is the store's revision up to which the state is complete.
	revision uint64
	// active is the summary for standbys; nil on a standby.
	active *fleet.ActiveSummary
	behind bool
}

// hostsSection holds the entry hosts' registrations. They are confirmed separately from the
// rest of the store's state: two hosts that were partitioned from the store at different times
// may never agree on the registrations, and must still be able to confirm each other's API keys.
type hostsSection struct {
	section
	confirmedAt time.Time
	// readDue is the earliest time of the next read of the store for these registrations.
	readDue time.Time
}

// advanceConfirmedAt records that the registrations matched the store at a time.
func (h *hostsSection) advanceConfirmedAt(asOf time.Time) {
	if asOf.After(h.confirmedAt) {
		h.confirmedAt = asOf
	}
}

// digests returns the digests of the state that this host holds.
func (c *control) digests() stateDigests {
	return stateDigests{c.base.digest.Sum(), c.upstreams.digest.Sum()}
}

// announcedDigests returns the digests for heartbeats. Only the watcher announces them; other
// hosts send 0.
func (c *control) announcedDigests() stateDigests {
	if !c.d.watches.Load() {
		return stateDigests{}
	}
	return c.digests()
}

// publishSummary publishes the summary from which confirmation requests are answered. If this
// host is the watcher and its digests have changed, heartbeats become due at once so that its
// peers request the change. Changes of upstreams concern active hosts; standbys learn of them
// with their next confirmation request.
func (c *control) publishSummary(now time.Time, watches bool) {
	before := c.d.summary.Load()
	next := storeSummary{c.digests(), c.holdsUpstreams, c.confirmedAt, c.hosts.digest.Sum(), c.hosts.confirmedAt, c.completeTo(), c.published.activeSummary, c.behind}
	if before != nil && *before == next {
		return
	}
	c.d.summary.Store(&next)
	switch {
	case !watches || before == nil:
	case before.digests.base != next.digests.base:
		c.announce(now)
	case before.digests != next.digests:
		c.heartbeatDue = now
	}
}

// matches reports whether a peer that sent a confirmation request holds the same state.
func (s *storeSummary) matches(q *fleet.ConfirmRequest) bool {
	if q.Standby && s.active != nil && q.Active != s.active.Digest {
		return false
	}
	return q.Base == s.digests.base && q.Hosts == s.hostsDigest && (q.WithoutUpstreams || q.Upstreams == s.digests.upstreams)
}

// handleConfirmRequest responds to a peer's confirmation request.
func (d *Daemon) handleConfirmRequest(q *fleet.ConfirmRequest, from string) {
	summary := d.summary.Load()
	if summary == nil || summary.digests.base == 0 || summary.confirmedAt.IsZero() {
		// The request may be meant for an earlier process at this address, whose state was confirmed.
		return
	}
	if q.Page != nil {
		d.control.send(func(c *control) { c.respondWithPage(q, from) })
		return
	}
	if !q.WithoutUpstreams && !summary.holdsUpstreams {
		return
	}
	if !summary.matches(q) {
		d.control.send(func(c *control) { c.respondWithChanges(q, from) })
		return
	}
	a := &fleet.ConfirmAnswer{Id: q.Id, Base: summary.digests.base, Hosts: summary.hostsDigest, Revision: summary.revision, Behind: summary.behind}
	if !q.WithoutUpstreams {
		a.Upstreams = summary.digests.upstreams
	}
	if q.Standby {
		a.Active = summary.active
	}
	d.sendConfirmAnswer(a, summary.confirmedAt, summary.hostsConfirmedAt, from)
}

// respondWithChanges responds to a peer whose state differs from this host's. The response
// carries the changes that the peer lacks, if they are known and fit into it, or the addresses
// of patch sources, if this host has used up its link's send allowance.
func (c *control) respondWithChanges(q *fleet.ConfirmRequest, from string) {
	a := &fleet.ConfirmAnswer{Id: q.Id, Base: c.base.digest.Sum(), Hosts: c.hosts.digest.Sum(), Revision: c.completeTo(), Behind: c.behind}
	changes := changesSince(&c.base.journal, q.Base, maxChangeBytes)
	if !q.WithoutUpstreams {
		a.Upstreams = c.upstreams.digest.Sum()
		changes = append(changes, changesSince(&c.upstreams.journal, q.Upstreams, maxChangeBytes)...)
	}
	a.HostChanges = changesSince(&c.hosts.journal, q.Hosts, maxHostChangeBytes)
	if len(changes) > 0 {
		c.addChanges(a, changes, q.WithoutUpstreams, from)
	}
	if q.Standby && c.ready {
		a.Active = c.activeSummary()
		if a.Active.Digest != q.Active {
			a.Active.Hosts = append(c.members.ActiveHeartbeats(), c.compactHeartbeat(c.d.now()))
		}
	}
	c.d.sendConfirmAnswer(a, c.confirmedAt, c.hosts.confirmedAt, from)
}

// patchSources are the hosts that have received the latest changes, separately for hosts that
// hold upstreams and for hosts that do not.
type patchSources struct{ complete, withoutUpstreams fanout.Sources }

// addChanges adds changes to a response if the link's send allowance permits it. Otherwise it
// adds the addresses of patch sources, that is, of peers that are likely to have the changes.
func (c *control) addChanges(a *fleet.ConfirmAnswer, changes []*fleet.Change, withoutUpstreams bool, from string) {
	sources := &c.patchSources.complete
	if withoutUpstreams {
		sources = &c.patchSources.withoutUpstreams
	}
	now := c.d.now()
	digest := a.Base ^ bits.RotateLeft64(a.Upstreams, 1)
	if c.fanout.Take(now, proto.Size(&fleet.ConfirmAnswer{Changes: changes}), c.d.capacity().LinkMbps) {
		sources.Add(now, digest, from)
		a.Changes = changes
		return
	}
	a.Later, a.Holders = true, sources.For(now, digest, from)
}

func changesSince(j *follow.Journal, digest uint64, maxBytes int) []*fleet.Change {
	var out []*fleet.Change
	changes, _ := j.Since(digest, maxBytes)
	for _, x := range changes {
		change := &fleet.Change{Key: x.Key, Value: x.Value, Revision: x.Revision, Deleted: x.Deleted}
		if p := x.Patch; p != nil {
			change.Patch = &fleet.Patch{Base: p.Base, Result: p.Result, Data: p.Data}
		}
		out = append(out, change)
	}
	return out
}

// itemOf returns the item of a change as it was sent.
func itemOf(x *fleet.Change) kv.Item {
	return kv.Item{Key: x.Key, Value: x.Value, Revision: x.Revision}
}

// decodeChanges decodes the changes that a peer has sent, in their order. The errors are those
// of package delta.
func (c *control) decodeChanges(changes []*fleet.Change) ([]kv.Event, error) {
	var out []kv.Event
	configuration := c.configuration
	for _, x := range changes {
		if !c.sectionOf(x.Key).revisions.IsNewer(x.Key, x.Revision) {
			// The change was already applied, for example because the same request was sent
			// twice.
			continue
		}
		e := kv.Event{Item: itemOf(x), Deleted: x.Deleted}
		if x.Patch != nil {
			p := delta.Patch{Base: x.Patch.Base, Result: x.Patch.Result, Data: x.Patch.Data}
			value, err := p.Apply(configuration, kv.MaxValueBytes)
			if err != nil {
				return out, err
			}
			e.Value, configuration = value, value
		}
		out = append(out, e)
	}
	return out, nil
}

// sendConfirmAnswer sends a response with the ages of the state and of the entry hosts'
// registrations. confirmedAt and hostsConfirmedAt are the times as of which these are confirmed.
func (d *Daemon) sendConfirmAnswer(a *fleet.ConfirmAnswer, confirmedAt, hostsConfirmedAt time.Time, to string) {
	now := d.now()
	a.AgeUs = freshness.Age(now, confirmedAt, time.Microsecond)
	a.HostsAgeUs = freshness.Age(now, hostsConfirmedAt, time.Microsecond)
	if a.HostsAgeUs == 0 {
		// Earlier builds take an age of 0 for a confirmation of registrations with this digest.
		a.Hosts = 0
	}
	if err := d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmAnswer{ConfirmAnswer: a}}, to); err != nil {
		d.events.Debug("confirmation response not sent", "error", err)
	}
}
