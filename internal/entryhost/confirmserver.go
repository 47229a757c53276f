package entryhost

import (
	"time"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/delta"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
)

const (
	// maxChangeBytes bounds the changes of configuration, upstreams and zones in one response.
	// It is the size of the largest value of the store, compressed.
	maxChangeBytes = 256 << 10
	// maxHostChangeBytes bounds the changes of entry hosts' registrations in one response.
	maxHostChangeBytes = 24 << 10
	// maxFullStateAge is the highest age of the confirmed state at which a host sends it in
	// full to a peer.
	maxFullStateAge = 1500 * time.Millisecond
)

// storeSummary is the digest of the store's state, and when it was confirmed. It is never
// modified.
type storeSummary struct {
	digest      uint64
	confirmedAt time.Time
	// hostsDigest and hostsConfirmedAt are the same for the registrations of entry hosts.
	hostsDigest      uint64
	hostsConfirmedAt time.Time
	// revision is the store's revision that both digests describe.
	revision uint64
}

// hostRegistrationState is the state of the entry hosts' registrations. They are confirmed
// separately from the rest of the store's state: two hosts that were partitioned from the store
// at different times may never agree on the registrations, and must still be able to confirm
// each other's API keys.
type hostRegistrationState struct {
	digest      follow.Digest
	journal     follow.Journal
	confirmedAt time.Time
	// readDue is the earliest time of the next read of the store for these registrations.
	readDue time.Time
}

// advanceConfirmedAt records that the registrations matched the store at a time.
func (h *hostRegistrationState) advanceConfirmedAt(asOf time.Time) {
	if asOf.After(h.confirmedAt) {
		h.confirmedAt = asOf
	}
}

// announcedDigest returns the digest for heartbeats. Only the watcher announces it; other hosts
// send 0.
func (c *control) announcedDigest() uint64 {
	if !c.d.watches.Load() {
		return 0
	}
	return c.digest.Sum()
}

// publishSummary publishes the summary from which confirmation requests are answered. If this
// host is the watcher and its digest has changed, heartbeats become due at once so that its
// peers request the change.
func (c *control) publishSummary(now time.Time, watches bool) {
	before := c.d.summary.Load()
	next := storeSummary{c.digest.Sum(), c.confirmedAt, c.hostRegistrationState.digest.Sum(), c.hostRegistrationState.confirmedAt, c.revision}
	if before != nil && *before == next {
		return
	}
	c.d.summary.Store(&next)
	if watches && before != nil && before.digest != next.digest {
		c.announce(now)
	}
}

// handleConfirmRequest responds to a peer's confirmation request.
func (d *Daemon) handleConfirmRequest(q *fleet.ConfirmRequest, from string) {
	summary := d.summary.Load()
	if summary == nil || summary.digest == 0 {
		return
	}
	if q.Whole || q.Digest != summary.digest || q.Hosts != summary.hostsDigest {
		d.control.send(func(c *control) { c.respondWithChanges(q, from) })
		return
	}
	d.sendConfirmAnswer(&fleet.ConfirmAnswer{Id: q.Id, Digest: summary.digest, Hosts: summary.hostsDigest, Revision: summary.revision}, summary.confirmedAt, summary.hostsConfirmedAt, from)
}

// respondWithChanges responds to a peer whose state differs from this host's. The response
// carries the changes that the peer lacks, if they are known and fit into it, or the addresses
// of patch sources, if this host has used up its link's send allowance.
func (c *control) respondWithChanges(q *fleet.ConfirmRequest, from string) {
	a := &fleet.ConfirmAnswer{
		Id: q.Id, Digest: c.digest.Sum(), Hosts: c.hostRegistrationState.digest.Sum(), Revision: c.revision,
	}
	if q.Whole {
		c.respondWithFullState(a, from)
		return
	}
	a.HostChanges = changesSince(&c.hostRegistrationState.journal, q.Hosts, maxHostChangeBytes)
	if changes := changesSince(&c.journal, q.Digest, maxChangeBytes); len(changes) > 0 {
		c.addChanges(a, changes, from)
	}
	c.d.sendConfirmAnswer(a, c.confirmedAt, c.hostRegistrationState.confirmedAt, from)
}

// respondWithFullState responds to a host that has just started. The response carries the full
// state of the store as known here, or the addresses of other hosts that may have it.
func (c *control) respondWithFullState(a *fleet.ConfirmAnswer, from string) {
	if !c.listed || c.d.now().Sub(c.confirmedAt) > maxFullStateAge {
		return
	}
	a.Whole = true
	all := make([]*fleet.Change, 0, len(c.items))
	for _, item := range c.items {
		all = append(all, &fleet.Change{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	c.addChanges(a, all, from)
	c.d.sendConfirmAnswer(a, c.confirmedAt, c.hostRegistrationState.confirmedAt, from)
}

// addChanges adds changes to a response if the link's send allowance permits it. Otherwise it
// adds the addresses of patch sources, that is, of peers that are likely to have the changes.
func (c *control) addChanges(a *fleet.ConfirmAnswer, changes []*fleet.Change, from string) {
	size := proto.Size(&fleet.ConfirmAnswer{Changes: changes})
	ok, sources := c.fanout.Allow(c.d.now(), a.Digest, from, size, c.d.capacity().LinkMbps)
	if ok {
		a.Changes = changes
	}
	a.Later, a.Holders = !ok, sources
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
		if !c.keyRevisions.IsNewer(x.Key, x.Revision) {
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
	a.AgeUs = uint64(now.Sub(confirmedAt).Microseconds()) + 1
	a.HostsAgeUs = uint64(now.Sub(hostsConfirmedAt).Microseconds()) + 1
	if err := d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmAnswer{ConfirmAnswer: a}}, to); err != nil {
		d.events.Debug("confirmation response not sent", "error", err)
	}
}
