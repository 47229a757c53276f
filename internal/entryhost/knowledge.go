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
	// maxChangeBytes is the most that an answer brings of what decides about requests:
	// the largest value of the store, packed.
	maxChangeBytes = 256 << 10
	// maxHostChangeBytes is the same for the registrations of entry hosts.
	maxHostChangeBytes = 24 << 10
	// wholeMaxAge is the age up to which a host passes on all that it knows.
	wholeMaxAge = 1500 * time.Millisecond
)

// knowledge is what the store held at a time. It is never modified.
type knowledge struct {
	digest uint64
	at     time.Time
	// hosts and hostsAt are the same for the registrations of entry hosts.
	hosts   uint64
	hostsAt time.Time
	// revision of the store that both speak for.
	revision uint64
}

// hostKnowledge is what is known of the registrations of entry hosts. They are
// confirmed apart: two hosts that were cut off from the store at different times may
// never agree on them, and must still confirm each other's keys.
type hostKnowledge struct {
	digest  follow.Digest
	journal follow.Journal
	at      time.Time
	// lookDue is when the store may be looked at on their behalf again.
	lookDue time.Time
}

// confirmedAsOf notes that what is known was what the store held at a time.
func (h *hostKnowledge) confirmedAsOf(asOf time.Time) {
	if asOf.After(h.at) {
		h.at = asOf
	}
}

// announcedDigest is the digest in heartbeats: only the watcher tells it.
func (c *control) announcedDigest() uint64 {
	if !c.d.watches.Load() {
		return 0
	}
	return c.digest.Sum()
}

// publishKnowledge tells what hosts that ask are answered. The others should look at
// once where the watcher knows something new.
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

// answerConfirmRequest answers a host that asks what this one knows.
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

// answerWithChanges answers a host that knows something else than this one, with the
// changes that it lacks, if they are known and fit; or with who has them, if this host
// has sent as much as its link bears.
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

// answerWithAll answers a host that has just started with all that the store holds, as far
// as this one knows it, or with who else may have it.
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

// addChanges adds changes to an answer if the link bears it, and else who has them.
func (c *control) addChanges(a *fleet.ConfirmAnswer, changes []*fleet.Change, from string) {
	size := proto.Size(&fleet.ConfirmAnswer{Changes: changes})
	ok, holders := c.fanout.Allow(c.d.now(), a.Digest, from, size, c.d.capacity().LinkMbps)
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

// itemOf is the item that a change tells, as it was sent.
func itemOf(x *fleet.Change) kv.Item {
	return kv.Item{Key: x.Key, Value: x.Value, Revision: x.Revision}
}

// eventsOf unpacks changes that a peer has sent, in their order. The error is one of
// package delta's.
func (c *control) eventsOf(changes []*fleet.Change) ([]kv.Event, error) {
	var out []kv.Event
	known := c.configuration
	for _, x := range changes {
		if !c.seen.IsNewer(x.Key, x.Revision) {
			// The answer to a question that was asked twice.
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

// answerConfirm sends an answer that speaks for the time at, and of registrations for
// the time hostsAt.
func (d *Daemon) answerConfirm(a *fleet.ConfirmAnswer, at, hostsAt time.Time, from string) {
	now := d.now()
	a.AgeUs = uint64(now.Sub(at).Microseconds()) + 1
	a.HostsAgeUs = uint64(now.Sub(hostsAt).Microseconds()) + 1
	if err := d.wire.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmAnswer{ConfirmAnswer: a}}, from); err != nil {
		d.events.Debug("digest not told", "error", err)
	}
}
