package entryhost

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
)

// How a host copies a part of the store's state from a peer.
//
// The peer sends the items in pages, in the order of their keys. Each page is requested again if
// it is lost, so the time grows with the number of items alone. Items may change while pages are
// sent. After the last page, the host therefore requests the changes since the digests of the
// first page, and its copy then equals the peer's state.

const (
	// maxLoadSourceAge is the highest age of the confirmed state at which a host sends pages.
	maxLoadSourceAge = 1500 * time.Millisecond
	// pageTimeout is how long a peer may take to send a page, and maxPageAttempts the number of
	// requests for a page after which another peer is tried.
	pageTimeout     = 300 * time.Millisecond
	maxPageAttempts = 2
	// sampleTimeout is how long a peer may take to send a sample before another one is tried. Callers
	// wait for it.
	sampleTimeout = refreshTimeout
	// loadIdleTimeout is how long a copy goes on without an answer of any peer.
	loadIdleTimeout = 3 * time.Second
)

// stateLoad is a copy of a part of the store's state that is in progress.
type stateLoad struct {
	active bool
	scope  fleet.Scope
	// sample is set if only the first page is wanted.
	sample bool
	// peers are the addresses of hosts that may have the state; the first one is being asked.
	peers []string
	// attempts is the number of requests for the next page, and due when it is requested again.
	attempts int
	due      time.Time
	// answeredAt is when a peer last answered, or when the copy began.
	answeredAt time.Time
	// after is the last key received. items are the items so far.
	after string
	items []kv.Item
	// base, upstreams and hosts are the digests at the first page, and revision is the revision up to
	// which the peer's state was complete then.
	base, upstreams, hosts, revision uint64
}

// startLoad begins to copy a part of the state from one of the peers.
func (c *control) startLoad(now time.Time, scope fleet.Scope, peers []string) {
	c.beginLoad(now, stateLoad{scope: scope}, peers)
}

// startSample begins to copy the first page of the upstreams from one of the peers.
func (c *control) startSample(now time.Time, peers []string) {
	c.beginLoad(now, stateLoad{scope: fleet.Scope_SCOPE_UPSTREAMS, sample: true}, peers)
}

// beginLoad begins a copy from one of the peers, in a random order.
func (c *control) beginLoad(now time.Time, l stateLoad, peers []string) {
	l.peers, l.answeredAt, l.active = slices.Clone(peers), now, len(peers) > 0
	rand.Shuffle(len(peers), func(i, j int) { l.peers[i], l.peers[j] = l.peers[j], l.peers[i] })
	c.load = l
	c.continueLoad(now)
}

// continueLoad requests the next page if it is due.
func (c *control) continueLoad(now time.Time) {
	l := &c.load
	if !l.active || now.Before(l.due) {
		return
	}
	if now.Sub(l.answeredAt) >= loadIdleTimeout {
		c.load = stateLoad{}
		return
	}
	timeout, maxAttempts := pageTimeout, maxPageAttempts
	if l.sample {
		timeout, maxAttempts = sampleTimeout, 1
	}
	if l.attempts >= maxAttempts {
		c.restartLoad(now, append(l.peers[1:], l.peers[0])...)
	}
	l.attempts++
	c.continueLoadAfter(now, timeout)
	page := &fleet.PageRequest{Scope: l.scope, After: l.after}
	c.sendConfirmRequest(now, l.peers[0], pendingConfirm{page: page}, &fleet.ConfirmRequest{Page: page})
}

// continueLoadAfter makes the next page due after a delay. The ticks of a standby are too far apart for
// a caller that waits.
func (c *control) continueLoadAfter(now time.Time, delay time.Duration) {
	c.load.due = now.Add(delay)
	time.AfterFunc(delay, func() { c.send(func(c *control) { c.continueLoad(c.d.now()) }) })
}

// awaits reports whether the copy lacks the page that was requested. A late page of the peer that was
// asked before belongs to another state, of which the copy has no first page. A sample is a first page.
func (l *stateLoad) awaits(request pendingConfirm) bool {
	return l.active && request.page.Scope == l.scope && request.page.After == l.after && (l.sample || request.peer == l.peers[0])
}

// restartLoad begins again with the first of the given peers.
func (c *control) restartLoad(now time.Time, peers ...string) {
	c.load = stateLoad{active: true, scope: c.load.scope, sample: c.load.sample, peers: peers, due: now, answeredAt: c.load.answeredAt}
}

// respondWithPage responds to a host that copies the state.
func (c *control) respondWithPage(q *fleet.ConfirmRequest, from string) {
	now := c.d.now()
	if !c.listed || now.Sub(c.confirmedAt) > maxLoadSourceAge || q.Page.Scope == fleet.Scope_SCOPE_UPSTREAMS && !c.holdsUpstreams {
		return
	}
	digests := c.digests()
	a := &fleet.ConfirmAnswer{
		Id: q.Id, Base: digests.base, Upstreams: digests.upstreams, Hosts: c.hosts.digest.Sum(), Revision: c.completeTo(), Page: true,
	}
	items, more := c.pageOf(q.Page.Scope, q.Page.After)
	if c.fanout.Take(now, proto.Size(&fleet.ConfirmAnswer{Changes: items}), c.d.capacity().LinkMbps) {
		a.Changes, a.More = items, more
	} else {
		a.Later = true
	}
	c.d.sendConfirmAnswer(a, c.confirmedAt, c.hosts.confirmedAt, from)
}

// applyPage adds a page to the copy.
func (c *control) applyPage(now time.Time, a *fleet.ConfirmAnswer, request pendingConfirm) {
	l := &c.load
	if !l.active || !a.Page {
		return
	}
	l.answeredAt = now
	if a.Later {
		l.attempts = 0
		if l.after == "" {
			c.restartLoad(now, append(l.peers[1:], l.peers[0])...)
		}
		c.continueLoadAfter(now, deferredRetryDelay)
		return
	}
	if len(a.Changes) > 0 && a.Changes[0].Key <= l.after {
		return // a page that has arrived before
	}
	if l.after == "" {
		l.base, l.upstreams, l.hosts, l.revision = a.Base, a.Upstreams, a.Hosts, a.Revision
	}
	for _, x := range a.Changes {
		l.items = append(l.items, itemOf(x))
		l.after = x.Key
	}
	l.attempts, l.due = 0, now
	if l.sample {
		c.finishSample(now, a, request)
		return
	}
	if a.More {
		c.continueLoad(now)
		return
	}
	c.finishLoad(now, a)
}

// finishSample applies a sample. It also confirms the rest of the state, if the peer has the same.
func (c *control) finishSample(now time.Time, a *fleet.ConfirmAnswer, request pendingConfirm) {
	items := c.load.items
	c.load = stateLoad{}
	asOf, ok := c.confirmedByPeer(request, a.AgeUs)
	if !ok || c.holdsUpstreams {
		return
	}
	if a.Base == c.digests().base {
		c.advanceConfirmedAt(asOf, request.peer)
		c.setCompleteTo(a.Revision, &c.base)
	} else {
		c.confirmRequests.due = time.Time{}
	}
	c.applySample(now, asOf, items)
}

// finishLoad applies the copy, and requests the changes since its first page.
func (c *control) finishLoad(now time.Time, a *fleet.ConfirmAnswer) {
	l := c.load
	c.load = stateLoad{}
	c.source = l.peers[0]
	switch {
	case l.scope == fleet.Scope_SCOPE_UPSTREAMS && c.listed && !c.holdsUpstreams:
		c.addUpstreams(now, l.items, l.revision)
	case l.scope == fleet.Scope_SCOPE_BASE && !c.listed:
		c.loadState(now, l.items, false)
		c.setCompleteTo(l.revision, c.sections()...)
		// This host is weak compared with the peer, and registers as a standby.
		close(c.d.listed)
	default:
		return
	}
	c.d.events.Info("state copied from a peer", "scope", l.scope, "peer", l.peers[0], "items", len(l.items),
		"revision", l.revision, "version", c.version(), "age_us", a.AgeUs)
	q := &fleet.ConfirmRequest{Base: l.base, Hosts: l.hosts, WithoutUpstreams: true}
	if l.scope == fleet.Scope_SCOPE_UPSTREAMS {
		q = &fleet.ConfirmRequest{Base: c.base.digest.Sum(), Upstreams: l.upstreams, Hosts: c.hosts.digest.Sum()}
	}
	c.sendConfirmRequest(now, l.peers[0], pendingConfirm{withoutUpstreams: q.WithoutUpstreams}, q)
	c.confirmRequests.due = now.Add(pageTimeout)
}
