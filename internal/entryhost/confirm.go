package entryhost

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/freshness"
	"balsambarrow/internal/rendezvous"
)

// How hosts confirm that their copy of the store's state is current.
//
// Each host must know every second that no API key was withdrawn and no upstream has left, but
// each store call costs money. Therefore one host of each region, the watcher, watches the
// store, and the other hosts of the region request from it, by datagram, the digest of its
// state and the age of that state. If the digests are equal, the requesting host's state is
// confirmed as of the time of its request minus that age. If they differ, the response carries
// the missing changes, and the requesting host reads the store only if the changes cannot be
// sent. The state of a host that the store rejects therefore stays confirmed.
const (
	// confirmInterval is the time between two confirmation requests.
	confirmInterval = 500 * time.Millisecond
	// standbyConfirmInterval is the time between two confirmation requests of a standby.
	standbyConfirmInterval = time.Second
	// secondPeerAge is the age of the confirmed state from which a second host is queried as
	// well as the watcher, preferably one of another region. The store may reject a whole
	// region, and each host of the region takes one or two seconds to find that out and to pass
	// the watch on to the next.
	secondPeerAge = 1200 * time.Millisecond
	// refreshTimeout is how long the watcher may take to respond if a request is waiting for
	// the confirmation: a few milliseconds of network delay, and scheduling delays on two small
	// processors.
	refreshTimeout = 100 * time.Millisecond
	// readStoreAge is the age of the confirmed state from which a host reads the store itself.
	// By then two confirmation requests have failed.
	readStoreAge = 2100 * time.Millisecond
	// standbyExtraAge is added to secondPeerAge and readStoreAge on a standby. A standby sends
	// confirmation requests less often, and reads the store when a caller arrives.
	standbyExtraAge = 900 * time.Millisecond
	// hostsReadStoreAge is the age of the confirmed registrations of entry hosts from which a
	// host reads the store itself, and the least time between two such reads.
	hostsReadStoreAge = 8 * time.Second
	// deferredRetryDelay is the delay before the next confirmation request if the peer deferred
	// the changes because it had used up its link's send allowance.
	deferredRetryDelay = 150 * time.Millisecond
	// maxPendingConfirms bounds the number of confirmation requests without a response that are
	// remembered.
	maxPendingConfirms = 8
	// watcherKey is the rendezvous key by which the watcher is selected.
	watcherKey = "store"
)

// confirmRequests holds the confirmation requests that this process has sent.
type confirmRequests struct {
	lastID  uint64
	due     time.Time
	pending map[uint64]pendingConfirm
	// behindUntil is the time until which a peer that reported that it is behind is not bypassed
	// by reading the store.
	behindUntil time.Time
	// refreshedAt is when the last request was sent on behalf of a waiting caller's request.
	refreshedAt time.Time
}

// pendingConfirm is a confirmation request that was sent to a peer.
type pendingConfirm struct {
	sentAt time.Time
	// peer is the address that the request was sent to.
	peer string
	// referred is set if another peer referred this host to the peer that was queried.
	referred bool
	// withoutUpstreams is that of the request.
	withoutUpstreams bool
	// page is set if the request is for a page of a peer's state; nil otherwise.
	page *fleet.PageRequest
}

// newConfirmRequests starts at a random id (see randomID).
func newConfirmRequests() confirmRequests {
	return confirmRequests{lastID: randomID(), pending: map[uint64]pendingConfirm{}}
}

// nextID returns the id of the next request.
func (r *confirmRequests) nextID() uint64 {
	r.lastID++
	return r.lastID
}

// randomID returns the id from which a process numbers its requests. It is random because a
// process that started at zero could mistake a response to the previous process at the same
// address for a response to its own request; spec/confirm.pml finds that case.
func randomID() uint64 { return rand.Uint64() }

// watcher returns the instance that watches the store for this region, selected by rendezvous
// hash among the active hosts that reach the store. It is "" if this host knows of none.
func (c *control) watcher() string {
	if d := c.d.directory.Load(); d != c.watcherCache.directory {
		c.watcherCache = watcherCache{directory: d, instance: rendezvous.Pick(watcherKey, d.storeReaders(c.isOwnRegion))}
	}
	return c.watcherCache.instance
}

// watcherCache holds the watcher that was selected from a directory.
type watcherCache struct {
	directory *directory
	instance  string
}

// isOwnRegion reports whether a region is the region of this host.
func (c *control) isOwnRegion(region string) bool { return region == c.d.self.Region }

// secondPeer returns an active host other than the watcher that reaches the store, according to
// this host's view. Hosts of other regions are preferred, since they are less likely to share a
// failure with the watcher. It is "" if there is none.
func (c *control) secondPeer(watcher string) string {
	d := c.d.directory.Load()
	if far := rendezvous.Pick(watcherKey, d.storeReaders(func(region string) bool { return !c.isOwnRegion(region) })); far != "" {
		return far
	}
	near := slices.DeleteFunc(d.storeReaders(c.isOwnRegion), func(instance string) bool {
		return instance == watcher || instance == c.d.self.Instance
	})
	return rendezvous.Pick(watcherKey, near)
}

// confirmState keeps this host's copy of the store's state confirmed. It decides whether this
// host is the watcher, sends the confirmation requests that are due, and triggers a read of the
// store if peers do not confirm the state.
func (c *control) confirmState(now time.Time) {
	watcher := c.watcher()
	watches := watcher == c.d.self.Instance || watcher == "" && c.watchesAsFallback()
	if c.d.watches.Swap(watches) != watches {
		c.d.events.Info("store watch", "watches", watches, "watcher", watcher)
		if watches && !c.confirmedAt.IsZero() {
			c.d.readStoreNow("watches from now on")
		}
	}
	c.publishSummary(now, watches)
	interval, extraAge := confirmInterval, time.Duration(0)
	if !c.ready {
		interval, extraAge = standbyConfirmInterval, standbyExtraAge
	}
	if !watches && c.stateIsOlderThan(now, readStoreAge+extraAge) && c.readsAsFallback() {
		c.d.readStoreNow("not confirmed")
	}
	c.refreshHostRegistrations(now)
	if !c.listed || now.Before(c.confirmRequests.due) {
		// Before the first listing there is no state to confirm.
		return
	}
	c.confirmRequests.due = now.Add(interval)
	if !watches {
		c.requestConfirm(now, watcher)
	}
	if now.Sub(c.confirmedAt) > secondPeerAge+extraAge {
		c.requestConfirm(now, c.secondPeer(watcher))
	}
}

// stateIsOlderThan reports whether the state was confirmed, but not for the given time.
func (c *control) stateIsOlderThan(now time.Time, age time.Duration) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) > age
}

// watchesAsFallback reports whether this host watches the store if it knows of no active host
// that reaches the store. A standby leaves the watch to active hosts if it knows of any: during
// a store outage each call of each host costs money and achieves nothing.
func (c *control) watchesAsFallback() bool {
	return c.ready || !c.d.directory.Load().anyReady()
}

// readsAsFallback reports whether this host reads the store if no peer confirms its state. A
// standby leaves that to the active hosts while none of them reaches the store: otherwise all
// hosts would read the store at the same moment when an outage ends. While the watcher is behind,
// the store sends the changes to other hosts no sooner.
func (c *control) readsAsFallback() bool {
	if c.d.now().Before(c.confirmRequests.behindUntil) {
		return false
	}
	d := c.d.directory.Load()
	return c.watchesAsFallback() || len(d.storeReaders(func(string) bool { return true })) > 0
}

// requestConfirm sends a confirmation request to a host.
func (c *control) requestConfirm(now time.Time, host string) {
	if host != "" {
		c.requestConfirmAt(now, c.members.PeerAddress(host), pendingConfirm{})
	}
}

// requestConfirmAt sends a confirmation request to an address.
func (c *control) requestConfirmAt(now time.Time, address string, request pendingConfirm) {
	digests := c.digests()
	request.withoutUpstreams = !c.holdsUpstreams
	q := &fleet.ConfirmRequest{
		Base: digests.base, Upstreams: digests.upstreams, Hosts: c.hosts.digest.Sum(), WithoutUpstreams: request.withoutUpstreams,
	}
	if !c.ready {
		q.Standby, q.Active = true, c.members.ActiveDigest()
	}
	c.sendConfirmRequest(now, address, request, q)
}

// sendConfirmRequest sends q to an address and records it as request.
func (c *control) sendConfirmRequest(now time.Time, address string, request pendingConfirm, q *fleet.ConfirmRequest) {
	requests := &c.confirmRequests
	request.sentAt, request.peer = now, address
	if len(requests.pending) >= maxPendingConfirms {
		clear(requests.pending)
	}
	q.Id = requests.nextID()
	requests.pending[q.Id] = request
	if err := c.d.transport.SendPacket(&fleet.Packet{Content: &fleet.Packet_ConfirmRequest{ConfirmRequest: q}}, address); err != nil {
		c.d.events.Debug("confirmation request not sent", "peer", address, "error", err)
	}
}

// handleConfirmAnswer applies the response to a confirmation request. The peer built the
// response after the request was sent. The peer's state was therefore current at the time of
// the request minus the reported age, whatever delays the network or a suspended process added.
func (c *control) handleConfirmAnswer(a *fleet.ConfirmAnswer) {
	request, ok := c.confirmRequests.pending[a.Id]
	if !ok {
		return
	}
	delete(c.confirmRequests.pending, a.Id)
	now := c.d.now()
	if request.page != nil {
		if c.load.awaits(request) {
			c.applyPage(now, a, request)
		}
		return
	}
	c.source = request.peer
	c.applyActiveSummary(now, a.Active)
	if a.Behind {
		c.confirmRequests.behindUntil = now.Add(readStoreAge)
	}
	if a.Base == 0 || request.withoutUpstreams != !c.holdsUpstreams {
		// The peer is of an earlier version, or this host has loaded or dropped the upstreams
		// since the request.
		return
	}
	hostsBefore := c.hosts.digest.Sum()
	c.applyPeerChanges(now, a.HostChanges)
	if c.hosts.digest.Sum() == a.Hosts {
		if asOf, ok := c.confirmedByPeer(request, a.HostsAgeUs); ok {
			c.hosts.advanceConfirmedAt(asOf)
			c.setCompleteTo(a.Revision, &c.hosts.section)
		}
	} else if c.hosts.digest.Sum() != hostsBefore {
		// More registrations are missing than fit into one response.
		c.confirmRequests.due = time.Time{}
	}
	before := c.digests()
	c.applyPeerChanges(now, a.Changes)
	switch c.digests() {
	case stateDigests{a.Base, a.Upstreams}:
		if asOf, ok := c.confirmedByPeer(request, a.AgeUs); ok {
			c.advanceConfirmedAt(asOf, request.peer)
			c.upstreamDemand.known = c.holdsUpstreams
			c.setCompleteTo(a.Revision, &c.base, &c.upstreams)
		}
	case before:
		c.handleMissingChanges(now, a, request)
	default:
		// More changes are missing than fit into one response, so the next request is sent at
		// once.
		c.confirmRequests.due = time.Time{}
	}
}

// confirmedByPeer returns the time as of which the response to a request confirms the state that
// this host has in common with the peer. It returns false if the response confirms nothing.
func (c *control) confirmedByPeer(request pendingConfirm, ageUs uint64) (asOf time.Time, ok bool) {
	asOf, err := freshness.ConfirmedAt(request.sentAt, ageUs, time.Microsecond)
	var invalid *freshness.InvalidAgeError
	if errors.As(err, &invalid) {
		c.d.metrics.Set.GetOrCreateCounter("balsambarrow_state_confirmations_invalid_total").Inc()
		c.d.events.Warn("confirmation of a peer not usable", "peer", request.peer, "error", err)
	}
	return asOf, err == nil
}

// handleMissingChanges handles a response whose digest differs but which carried no usable
// changes.
func (c *control) handleMissingChanges(now time.Time, a *fleet.ConfirmAnswer, request pendingConfirm) {
	switch {
	case a.Later:
		c.confirmRequests.due = now.Add(deferredRetryDelay)
		c.requestFromSources(now, a, request)
	case request.referred:
	case a.Behind || a.Revision > 0 && a.Revision < c.completeTo():
		// The peer is behind and catches up with its next read of the store.
	default:
		c.d.readStoreNow("changes not known to the peer")
	}
}

// requestFromSources sends the request to the patch sources that a response named instead of
// carrying the changes.
func (c *control) requestFromSources(now time.Time, a *fleet.ConfirmAnswer, request pendingConfirm) {
	if request.referred {
		return
	}
	request.referred = true
	for _, source := range a.Holders {
		c.requestConfirmAt(now, source, request)
	}
}

// applyPeerChanges applies changes that a peer has sent.
func (c *control) applyPeerChanges(now time.Time, changes []*fleet.Change) {
	events, err := c.decodeChanges(changes)
	if err != nil {
		c.d.events.Warn("change of a peer not usable", "error", err)
	}
	c.applyChanges(now, events)
}

// refresh gets for a waiting request what the state lacks. Peers send upstreams. The state is
// confirmed by the watcher, which costs nothing, and by a read of the store if the watcher does not
// confirm it in time.
func (c *control) refresh(now time.Time) {
	if !c.upstreamsKnown() {
		c.copySample(now)
		return
	}
	watcher := c.watcher()
	if c.d.watches.Load() || watcher == "" {
		c.d.readStoreNow("a request waits")
		return
	}
	if now.Sub(c.confirmRequests.refreshedAt) < refreshTimeout {
		return
	}
	c.confirmRequests.refreshedAt = now
	c.requestConfirm(now, watcher)
	since := c.confirmedAt
	time.AfterFunc(refreshTimeout, func() {
		c.send(func(c *control) {
			if c.confirmedAt.Equal(since) {
				c.d.readStoreNow("a request waits")
			}
		})
	})
}

// refreshHostRegistrations triggers a read of the store if the registrations of entry hosts
// have not been confirmed for a long time.
func (c *control) refreshHostRegistrations(now time.Time) {
	h := &c.hosts
	if h.confirmedAt.IsZero() || now.Sub(h.confirmedAt) < hostsReadStoreAge || now.Before(h.readDue) {
		return
	}
	h.readDue = now.Add(hostsReadStoreAge)
	c.d.readStoreNow("hosts not confirmed")
}

// handleDigests triggers a confirmation request at once if the digests in the watcher's
// heartbeat differ from those of this host.
func (c *control) handleDigests(b *fleet.Heartbeat) {
	if b.BaseDigest == 0 || b.Instance != c.watcher() {
		return
	}
	own := c.digests()
	if b.BaseDigest != own.base || c.ready && b.UpstreamsDigest != own.upstreams {
		c.confirmRequests.due = time.Time{}
	}
}
