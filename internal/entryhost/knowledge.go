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
	wholeMaxAge = 1500 * time.Millisecond
)

// storeSummary is the digest of the store's state, and when it was confirmed. It is never
// modified.
type knowledge struct {
	digest uint64
	at     time.Time
	// hostsDigest and hostsConfirmedAt are the same for the registrations of entry hosts.
	hosts   uint64
	hostsAt time.Time
	// revision is the store's revision that both digests describe.
	revision uint64
}

// hostState is the state of the entry hosts' registrations. It is confirmed separately: two
// hosts that were partitioned from the store at different times may never agree on the
// registrations, and must still be able to confirm each other's API keys.
type hostKnowledge struct {
	digest  follow.Digest
	journal follow.Journal
	at      time.Time
	// readDue is the earliest time of the next read of the store for these registrations.
	lookDue time.Time
}

// advanceConfirmedAt records that the registrations matched the store at a time.
func (h *hostKnowledge) confirmedAsOf(asOf time.Time) {
	if asOf.After(h.at) {
		h.at = asOf
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

// publishSummary publishes the summary that answers confirmation requests. If the watcher's
// digest has changed, it sends a heartbeat at once so that its peers request the change.
func (c *control) publishKnowledge(now time.Time, watches bool) {
	before := c.d.known.Load()
	known := knowledge{c.digest.Sum(), c.confirmedAt, c.hostRegistrations.digest.Sum(), c.hostRegistrations.at, c.revision}
	if before != nil && *before == known {
		return
	}
	c.d.known.Store(&known)
	if watches && before != nil && before.digest != known.digest {
		c.announce(now)
	}
}

// handleConfirmRequest responds to a peer's confirmation request.
func (d *Daemon) answerConfirmRequest(q *fleet.ConfirmRequest, from string) {
	k := d.known.Load()
	if k == nil || k.digest == 0 {
		return
	}
	if q.Whole || q.Digest != k.digest || q.Hosts != k.hosts {
		d.control.send(func(c *control) { c.answerWithChanges(q, from) })
		return
	}
	d.answerConfirm(&fleet.ConfirmAnswer{Id: q.Id, Digest: k.digest, Hosts: k.hosts, Revision: k.revision}, k.at, k.hostsAt, from)
}

// respondWithChanges responds to a peer whose state differs from this host's. The response
// carries the changes that the peer lacks, if they are known and fit into it, or the patch
// sources, if this host has used up its link's send allowance.
func (c *control) answerWithChanges(q *fleet.ConfirmRequest, from string) {
	a := &fleet.ConfirmAnswer{
		Id: q.Id, Digest: c.digest.Sum(), Hosts: c.hostRegistrations.digest.Sum(), Revision: c.revision,
	}
	if q.Whole {
		c.answerWithAll(a, from)
		return
	}
	a.HostChanges = changesSince(&c.hostRegistrations.journal, q.Hosts, maxHostChangeBytes)
	if changes := changesSince(&c.journal, q.Digest, maxChangeBytes); len(changes) > 0 {
		c.addChanges(a, changes, from)
	}
	c.d.answerConfirm(a, c.confirmedAt, c.hostRegistrations.at, from)
}

// respondWithFullState responds to a host that has just started. The response carries the full
// state of the store as known here, or the addresses of other hosts that may have it.
func (c *control) answerWithAll(a *fleet.ConfirmAnswer, from string) {
	if !c.listed || c.d.now().Sub(c.confirmedAt) > wholeMaxAge {
		return
	}
	a.Whole = true
	all := make([]*fleet.Change, 0, len(c.items))
	for _, item := range c.items {
		all = append(all, &fleet.Change{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	c.addChanges(a, all, from)
	c.d.answerConfirm(a, c.confirmedAt, c.hostRegistrations.at, from)
}

// addChanges adds changes to a response if the link's send allowance permits it, and the patch
// sources otherwise.
func (c *control) addChanges(a *fleet.ConfirmAnswer, changes []*fleet.Change, from string) {
	size := proto.Size(&fleet.ConfirmAnswer{Changes: changes})
	ok, holders := c.fanout.Send(c.d.now(), a.Digest, from, size, c.d.capacity().LinkMbps)
	if ok {
		a.Changes = changes
	}
	a.Later, a.Holders = !ok, holders
}

func changesSince(j *follow.Journal, digest uint64, most int) []*fleet.Change {
	var out []*fleet.Change
	changes, _ := j.Since(digest, most)
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

// eventsOf decodes the changes that a peer has sent, in their order. The errors are those of
// package delta.
func (c *control) eventsOf(changes []*fleet.Change) ([]kv.Event, error) {
	var out []kv.Event
	known := c.configuration
	for _, x := range changes {
		if !c.seen.IsNews(x.Key, x.Revision) {
			// The change was already applied, for example because the same request was sent
			// twice.
			continue
		}
		e := kv.Event{Item: itemOf(x), Deleted: x.Deleted}
		if x.Patch != nil {
			p := delta.Patch{Base: x.Patch.Base, Result: x.Patch.Result, Data: x.Patch.Data}
			value, err := p.Apply(known, kv.MaxValueBytes)
			if err != nil {
				return out, err
			}
			e.Value, known = value, value
		}
		out = append(out, e)
	}
	return out, nil
}

// sendConfirmAnswer sends a response. at is the time as of which the state is confirmed, and
// hostsAt the same for the entry hosts' registrations.
func (d *Daemon) answerConfirm(a *fleet.ConfirmAnswer, at, hostsAt time.Time, from string) {
	now := d.now()
	a.AgeUs = uint64(now.Sub(at).Microseconds()) + 1
	a.HostsAgeUs = uint64(now.Sub(hostsAt).Microseconds()) + 1
	if err := d.wire.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmAnswer{ConfirmAnswer: a}}, from); err != nil {
		d.events.Debug("confirmation response not sent", "error", err)
	}
}
