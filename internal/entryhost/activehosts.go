package entryhost

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/standby"
	"balsambarrow/platform"
)

// How a large number of hosts starts at the same time.
//
// After a power loss all hosts start together, and each would list the full store. The
// listings exceed the capacity of the store's link, and the hosts that are to be active wait
// behind all the others. The fleet therefore keeps a small key in the store, the active-hosts
// hint, which names the active hosts. A host that is much weaker than the hosts in the hint
// sends them its heartbeats, directs callers to them as soon as it receives their heartbeats,
// and copies the state of the store from them, apart from the upstreams. It lists that part of
// the store itself only if they do not send it.

const (
	// maxHintHosts is the number of hosts of each region in the hint.
	maxHintHosts = 16
	// maxHintedPeers is the number of hosts in the hint to which a host sends heartbeats until it
	// knows an active host.
	maxHintedPeers = 4
	// minStrongerHosts is the least number of stronger hosts in its region with which a host
	// requests the state of the store from them instead of listing the store.
	minStrongerHosts = 3
	// weakFraction is the fraction of another host's capacity below which a host is weak
	// compared with it. A host that is weak compared with enough hosts expects to be a standby.
	weakFraction = 0.5
	// peerStateDelay is how long after its start a host that expects to be a standby requests
	// the state of the store from peers. The host lists the store itself if no peer has sent
	// the state within peerStateWindow after that.
	peerStateDelay  = 700 * time.Millisecond
	peerStateWindow = 1500 * time.Millisecond
	// hintDelay is how long a host with one core waits for a hint if the store has none. A host
	// with less than one core waits longer, up to maxHintDelay, so that the strongest hosts are
	// ready first and write the hint.
	hintDelay    = 200 * time.Millisecond
	maxHintDelay = 1500 * time.Millisecond
	// peerRequestSpread is the interval over which hosts randomly spread their first request to
	// peers.
	peerRequestSpread = 300 * time.Millisecond
)

// activeHostsHint lists the active hosts by region.
type activeHostsHint map[string][]hintHost

type hintHost struct {
	Peers    string  `json:"peers"`
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
}

func (h hintHost) capacity() standby.Capacity {
	return standby.Capacity{Cores: h.Cores, LinkMbps: h.LinkMbps}
}

// newActiveHostsHint returns the hint that lists the active hosts of a directory.
func newActiveHostsHint(d *directory, own standby.Capacity) activeHostsHint {
	hint := activeHostsHint{}
	if d.ready {
		hint[d.self.Region] = append(hint[d.self.Region], hintHost{d.self.Peers, own.Cores, own.LinkMbps})
	}
	for _, m := range d.peers {
		if m.Ready && !m.Leaving {
			hint[m.Region] = append(hint[m.Region], hintHost{m.PeerAddress, m.Capacity.Cores, m.Capacity.LinkMbps})
		}
	}
	for region, hosts := range hint {
		slices.SortFunc(hosts, func(a, b hintHost) int { return bytes.Compare([]byte(a.Peers), []byte(b.Peers)) })
		hint[region] = hosts[:min(len(hosts), maxHintHosts)]
	}
	return hint
}

// strongerPeers returns the peer addresses of the hosts of a region compared with which a host
// of the given capacity is weak. It returns none if that capacity is unknown, or if there are
// too few such hosts to serve the callers.
func (hint activeHostsHint) strongerPeers(region string, own standby.Capacity) []string {
	if own == (standby.Capacity{}) {
		return nil
	}
	var out []string
	for _, h := range hint[region] {
		if own.FractionOf(h.capacity()) < weakFraction {
			out = append(out, h.Peers)
		}
	}
	if len(out) < minStrongerHosts {
		return nil
	}
	return out
}

// startFromHint reads the active-hosts hint before the first listing. A host that is weak
// compared with the hosts in the hint sends them its heartbeats and copies the state of the
// store from them, apart from the upstreams. startFromHint returns the revision of that state, or false if the host has
// to list the store itself.
func (d *Daemon) startFromHint(ctx context.Context) (revision uint64, ok bool) {
	hint, known := d.fetchHint(ctx)
	if cores := d.capacity().Cores; known && len(hint) == 0 && cores > 0 {
		// No host has written a hint yet, because the fleet starts for the first time.
		sleep(ctx, min(time.Duration(float64(hintDelay)/cores), maxHintDelay))
		hint, _ = d.fetchHint(ctx)
	}
	stronger := hint.strongerPeers(d.self.Region, d.capacity())
	if len(stronger) == 0 {
		if len(hint[d.self.Region]) > 0 {
			// This host is one of the strongest, so it can register before it knows its peers.
			d.setWantsShares(true)
			close(d.willBeActive)
		}
		return 0, false
	}
	rand.Shuffle(len(stronger), func(i, j int) { stronger[i], stronger[j] = stronger[j], stronger[i] })
	d.control.send(func(c *control) {
		c.hintedPeers = stronger[:min(len(stronger), maxHintedPeers)]
		c.heartbeatDue = time.Time{}
	})
	if revision, ok := d.loadFromPeers(ctx, stronger); ok {
		return revision, true
	}
	return d.listWithoutUpstreams(ctx)
}

// listWithoutUpstreams lists the state of the store, apart from the upstreams. After a loss of all
// hosts the stronger ones take seconds to list thousands of upstreams, and hundreds of standbys
// that listed them too would delay them further.
func (d *Daemon) listWithoutUpstreams(ctx context.Context) (revision uint64, ok bool) {
	sentAt := d.now()
	bounded, cancel := context.WithTimeout(ctx, upstreamListTimeout)
	defer cancel()
	var items []kv.Item
	for _, prefix := range []string{platform.OperatorPrefix, platform.HostPrefix} {
		l, err := d.store.List(bounded, prefix, false)
		if err != nil {
			return 0, false
		}
		items = append(items, l.Items...)
		if revision == 0 || l.Revision < revision {
			revision = l.Revision
		}
	}
	d.control.send(func(c *control) {
		if c.listed {
			return
		}
		c.loadState(c.d.now(), items, false)
		c.setCompleteTo(revision, c.sections()...)
		c.noteStoreReached()
		c.confirm(sentAt, confirmedByListing)
		c.hosts.advanceConfirmedAt(sentAt)
		close(d.listed)
	})
	await(ctx, d.listed, storeCallTimeout)
	d.readWhenRegistered.Store(true)
	return revision, isClosed(d.listed)
}

// fetchHint reads the hint, which is empty if the store has none. It returns false if the store
// does not respond or the hint is not readable.
func (d *Daemon) fetchHint(ctx context.Context) (hint activeHostsHint, ok bool) {
	bounded, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	l, err := d.store.List(bounded, platform.ActiveHostsKey, true)
	if err != nil {
		return nil, false
	}
	if len(l.Items) == 0 {
		return nil, true
	}
	if err := json.Unmarshal(l.Items[0].Value, &hint); err != nil {
		d.events.Warn("guide not readable", "revision", l.Items[0].Revision, "error", err)
		return nil, false
	}
	return hint, true
}

// loadFromPeers copies the state of the store, apart from the upstreams, from one of the peers. It
// returns the revision of the state, or false if no peer has sent the state in time.
func (d *Daemon) loadFromPeers(ctx context.Context, peers []string) (revision uint64, ok bool) {
	sleep(ctx, peerStateDelay+rand.N(peerRequestSpread))
	d.control.send(func(c *control) { c.startLoad(c.d.now(), fleet.Scope_SCOPE_BASE, peers) })
	await(ctx, d.listed, peerStateWindow)
	revisions := make(chan uint64, 1)
	d.control.send(func(c *control) {
		if !c.listed {
			c.load = stateLoad{}
		}
		revisions <- c.completeTo()
	})
	select {
	case revision = <-revisions:
	case <-ctx.Done():
		return 0, false
	}
	if !isClosed(d.listed) {
		return 0, false
	}
	d.readWhenRegistered.Store(true)
	return revision, true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// writeHint writes the active-hosts hint into the store if it has changed. It is called on the
// host that writes snapshots.
func (c *control) writeHint() {
	data, err := json.Marshal(newActiveHostsHint(c.d.directory.Load(), c.d.capacity()))
	if err != nil {
		c.d.events.Warn("active-hosts hint not encoded", "error", err)
		return
	}
	if bytes.Equal(data, c.storedHint) {
		return
	}
	c.storedHint = data
	known := c.storedHintRevision
	c.d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		revision, err := c.d.store.CompareAndSwap(ctx, platform.ActiveHostsKey, known, data, 0)
		c.send(func(c *control) { c.finishHint(data, revision, err) })
	})
}

// finishHint records the result of a write of the hint. While hosts start, several of them
// consider themselves the writer, and one that knows few others must not overwrite the hint of
// one that knows more: after a conflict, a host writes again only once it has received that hint.
func (c *control) finishHint(data []byte, revision uint64, err error) {
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		c.noteStoredHint(kv.Item{Value: data, Revision: revision})
	case errors.As(err, &conflict) && conflict.Current > 0:
	default:
		c.d.events.Debug("active-hosts hint not written", "error", err)
		c.storedHint = nil
		if conflict != nil {
			c.storedHintRevision = 0
		}
	}
}

// noteStoredHint records the hint that is in the store.
func (c *control) noteStoredHint(item kv.Item) {
	if item.Revision >= c.storedHintRevision {
		c.storedHint, c.storedHintRevision = item.Value, item.Revision
	}
}
