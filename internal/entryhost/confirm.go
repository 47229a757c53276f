package entryhost

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/rendezvous"
)

// How hosts confirm to each other that what they know is what the store holds.
//
// Load pattern: each host needs to know every second that no key was withdrawn
// and no upstream has left, and each call to the store is paid for. So one host of
// each region watches the store; the others ask it, by datagram, for the digest of
// what it knows and its age. The same digest confirms what they know as of the
// question less that age. Where they differ the answer brings the changes that lack,
// and only where that cannot be they look at the store. A host that the store turns
// away stays confirmed.
const (
	// askEvery is the time between two questions.
	askEvery = 500 * time.Millisecond
	// askStandby is the same for a host that stands by.
	askStandby = time.Second
	// secondPeerAfter is the age from which another host than the watcher is asked too,
	// of another region if there is one. The store may turn a whole region away;
	// each of its hosts takes a second or two to find that out and to leave the
	// watch to the next.
	secondPeerAfter = 1200 * time.Millisecond
	// refreshAnswer is how long the watcher may take to answer where a request waits: a
	// few milliseconds on the way, and turns of two small processors.
	refreshAnswer = 100 * time.Millisecond
	// lookAfter is the age from which a host looks for itself: two questions have had
	// no answer that confirms.
	lookAfter = 2100 * time.Millisecond
	// standbyLater is how much later both are for a host that stands by. It asks less
	// often, and looks for itself if a caller comes.
	standbyLater = 900 * time.Millisecond
	// hostsLookAfter is the age of what is known of other hosts' registrations from which a
	// host looks for itself, and the time between such looks.
	hostsLookAfter = 8 * time.Second
	// askAgain is when a host asks again whose peer had sent as much as its link bears.
	askAgain = 150 * time.Millisecond
	// confirmsKept bounds the questions without an answer that are remembered.
	confirmsKept = 8
	// storeKey is what the watcher is picked by.
	storeKey = "store"
)

// confirms are the questions that this process has asked.
type confirms struct {
	last   uint64
	askDue time.Time
	asked  map[uint64]question
	// refreshed is when a question was asked for a request that waits.
	refreshed time.Time
}

// question is one that a peer was asked.
type question struct {
	at time.Time
	// referred says that another peer had named the one that was asked, and whole that
	// it was asked for all that the store holds.
	referred, whole bool
}

// newConfirms begins with an id of its own (see firstID).
func newConfirms() confirms { return confirms{last: randomID(), asked: map[uint64]question{}} }

// next is the id of the next question.
func (q *confirms) next() uint64 {
	q.last++
	return q.last
}

// randomID is where a process begins to number its questions: at random. One that
// began at zero would take the answer to a question of the process before it, which
// had the same address, for the answer to its own; spec/confirm.pml finds that.
func randomID() uint64 { return rand.Uint64() }

// watcher is the host that watches the store for this region: one of those that
// take callers and reach the store, by rendezvous. "" if this host knows none.
func (c *control) watcher() string {
	if d := c.d.directory.Load(); d != c.watchers.of {
		c.watchers = watchers{of: d, own: rendezvous.Pick(storeKey, d.storeReaders(c.ownRegion))}
	}
	return c.watchers.own
}

// watchers is who watches the store, as of a directory.
type watchers struct {
	of  *directory
	own string
}

// ownRegion tells whether a region is this host's.
func (c *control) ownRegion(region string) bool { return region == c.d.self.Region }

// second is another host than the watcher that takes callers and reaches the store,
// as far as this one knows: one of another region, which the same failure is less
// likely to have met; "" if there is none.
func (c *control) second(watcher string) string {
	d := c.d.directory.Load()
	if far := rendezvous.Pick(storeKey, d.storeReaders(func(region string) bool { return !c.ownRegion(region) })); far != "" {
		return far
	}
	near := slices.DeleteFunc(d.storeReaders(c.ownRegion), func(instance string) bool {
		return instance == watcher || instance == c.d.self.Instance
	})
	return rendezvous.Pick(storeKey, near)
}

// confirmKnowledge has what is known confirmed, by the watcher or by a look at
// the store.
func (c *control) confirmKnowledge(now time.Time) {
	watcher := c.watcher()
	watches := watcher == c.d.self.Instance || watcher == "" && c.watchesAlone()
	if c.d.watches.Swap(watches) != watches {
		c.d.events.Info("store watch", "watches", watches, "watcher", watcher)
		if watches && !c.confirmedAt.IsZero() {
			c.d.lookNow("watches from now on")
		}
	}
	c.publishKnowledge(now, watches)
	every, later := askEvery, time.Duration(0)
	if !c.ready {
		every, later = askStandby, standbyLater
	}
	if !watches && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > lookAfter+later && c.looksAlone() {
		c.d.lookNow("not confirmed")
	}
	c.lookForHosts(now)
	if !c.listed || now.Before(c.confirms.askDue) {
		// Before the first listing there is nothing to confirm.
		return
	}
	c.confirms.askDue = now.Add(every)
	if !watches {
		c.ask(now, watcher)
	}
	if now.Sub(c.confirmedAt) > secondPeerAfter+later {
		c.ask(now, c.second(watcher))
	}
}

// watchesAlone tells whether this host watches the store where no host that takes callers
// reaches it. One that stands by leaves that to those that take callers, if it hears any:
// in an outage of the store each call of each host is paid for, and brings nothing.
func (c *control) watchesAlone() bool {
	return c.ready || !c.d.directory.Load().anyReady()
}

// looksAlone tells whether this host looks at the store if nobody confirms what it knows.
// One that stands by leaves that to those that take callers as long as none of them reaches
// the store either: at the end of an outage all hosts would look at once.
func (c *control) looksAlone() bool {
	d := c.d.directory.Load()
	return c.watchesAlone() || len(d.storeReaders(func(string) bool { return true })) > 0
}

// ask sends a question to a host.
func (c *control) ask(now time.Time, host string) {
	if host != "" {
		c.askPeer(now, c.members.PeerAddress(host), question{})
	}
}

// askPeer sends a question to an address.
func (c *control) askPeer(now time.Time, address string, asked question) {
	q := &c.confirms
	asked.at = now
	if len(q.asked) >= confirmsKept {
		clear(q.asked)
	}
	id := q.next()
	q.asked[id] = asked
	p := &fleet.Packet{Content: &fleet.Packet_ConfirmRequest{ConfirmRequest: &fleet.ConfirmRequest{
		Id: id, Digest: c.digest.Sum(), Hosts: c.hostRegistrations.digest.Sum(), Whole: asked.whole,
	}}}
	if err := c.d.wire.SendPacket(p, address); err != nil {
		c.d.events.Debug("peer not asked", "peer", address, "error", err)
	}
}

// handleConfirmation takes an answer in. It was made after the question left, so
// what it says held at the question less the age, however long it was on its way
// and whatever stood still meanwhile.
func (c *control) handleConfirmation(a *fleet.ConfirmAnswer) {
	asked, ok := c.confirms.asked[a.Id]
	if !ok {
		return
	}
	delete(c.confirms.asked, a.Id)
	now := c.d.now()
	if asked.whole {
		c.takeAll(now, a, asked)
		return
	}
	c.applyPeerChanges(now, a.HostChanges)
	if c.hostRegistrations.digest.Sum() == a.Hosts {
		c.hostRegistrations.confirmedAsOf(asked.at.Add(-time.Duration(a.HostsAgeUs) * time.Microsecond))
	}
	before := c.digest.Sum()
	c.applyPeerChanges(now, a.Changes)
	switch c.digest.Sum() {
	case a.Digest:
		c.confirmedAsOf(asked.at.Add(-time.Duration(a.AgeUs) * time.Microsecond))
		c.revision = max(c.revision, a.Revision)
	case before:
		c.lackChanges(now, a, asked)
	default:
		// There are more changes than fit into one answer.
		c.confirms.askDue = time.Time{}
	}
}

// lackChanges goes on after an answer that told of changes and did not bring them.
func (c *control) lackChanges(now time.Time, a *fleet.ConfirmAnswer, asked question) {
	switch {
	case a.Later:
		c.confirms.askDue = now.Add(askAgain)
		c.askHolders(now, a, asked)
	case asked.referred:
	case a.Revision > 0 && a.Revision < c.revision:
		// The peer is behind, and will know the same with its next look.
	default:
		c.d.lookNow("changes not known to the peer")
	}
}

// askHolders asks the hosts that an answer has named instead of changes.
func (c *control) askHolders(now time.Time, a *fleet.ConfirmAnswer, asked question) {
	if asked.referred {
		return
	}
	asked.referred = true
	for _, holder := range a.Holders {
		c.askPeer(now, holder, asked)
	}
}

// takeAll takes over from a peer what the store holds, if this host has not listed it yet.
func (c *control) takeAll(now time.Time, a *fleet.ConfirmAnswer, asked question) {
	if c.listed || !a.Whole {
		return
	}
	if a.Later {
		c.askHolders(now, a, asked)
		return
	}
	items := make([]kv.Item, 0, len(a.Changes))
	for _, x := range a.Changes {
		items = append(items, itemOf(x))
	}
	c.replaceAll(now, items)
	c.revision = a.Revision
	// It is weak beside the peer, and registers as a host that stands by.
	close(c.d.listed)
	if c.digest.Sum() != a.Digest || c.hostRegistrations.digest.Sum() != a.Hosts {
		c.d.lookNow("peer's items differ from its digest")
		return
	}
	c.confirmedAsOf(asked.at.Add(-time.Duration(a.AgeUs) * time.Microsecond))
	c.hostRegistrations.confirmedAsOf(asked.at.Add(-time.Duration(a.HostsAgeUs) * time.Microsecond))
	c.d.events.Info("store taken over from a peer", "items", len(items), "revision", a.Revision, "version", c.version(),
		"age_us", a.AgeUs)
}

// applyPeerChanges takes changes over that a peer has sent.
func (c *control) applyPeerChanges(now time.Time, changes []*fleet.Change) {
	events, err := c.eventsOf(changes)
	if err != nil {
		c.d.events.Warn("change of a peer not usable", "error", err)
	}
	c.applyChanges(now, events)
}

// refresh has what is known confirmed for a request that waits: by the watcher, which
// costs nothing, and by the store if that brings nothing in time.
func (c *control) refresh(now time.Time) {
	watcher := c.watcher()
	if c.d.watches.Load() || watcher == "" {
		c.d.lookNow("a request waits")
		return
	}
	if now.Sub(c.confirms.refreshed) < refreshAnswer {
		return
	}
	c.confirms.refreshed = now
	c.ask(now, watcher)
	since := c.confirmedAt
	time.AfterFunc(refreshAnswer, func() {
		c.send(func(c *control) {
			if c.confirmedAt.Equal(since) {
				c.d.lookNow("a request waits")
			}
		})
	})
}

// lookForHosts has the store looked at if the registrations of hosts have not been
// confirmed for long.
func (c *control) lookForHosts(now time.Time) {
	h := &c.hostRegistrations
	if h.at.IsZero() || now.Sub(h.at) < hostsLookAfter || now.Before(h.lookDue) {
		return
	}
	h.lookDue = now.Add(hostsLookAfter)
	c.d.lookNow("hosts not confirmed")
}

// handleDigest asks the watcher at once where it knows something else.
func (c *control) handleDigest(from string, digest uint64) {
	if digest != 0 && digest != c.digest.Sum() && from == c.watcher() {
		c.confirms.askDue = time.Time{}
	}
}
