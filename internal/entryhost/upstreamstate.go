package entryhost

import (
	"context"
	"sync"
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// Which hosts hold the registrations of upstreams.
//
// In a large fleet most hosts are standbys that serve no callers, and each copy of the upstreams
// costs memory and a share of every change. Active hosts and the standbys that are next in line
// hold a copy; any other host copies the upstreams from a peer when it is selected as an active
// host, or when several callers arrive. For a single caller it copies a sample: the first page,
// which holds all upstreams of a small fleet and some hundreds, of all services and zones, of a
// large one.

const (
	// upstreamRetention is how long a host keeps the upstreams after it last needed them.
	// Callers cache a response of the directory for less than that.
	upstreamRetention = 30 * time.Second
	// nextStandbyDelay is how long a host must have been one of the next standbys before it loads
	// the upstreams. A host that starts with many others knows few of them at first.
	nextStandbyDelay = 5 * time.Second
	// sampleMaxAge is the highest age of the state that a sample shows. Changes of its upstreams do
	// not reach the host. The peer that sends the sample has a state of up to maxLoadSourceAge.
	sampleMaxAge = 2 * time.Second
	// upstreamListTimeout bounds the listing of all upstreams in the store.
	upstreamListTimeout = 20 * time.Second
)

const (
	// loadingCallers is the number of requests within loadingWindow from which a host without
	// upstreams loads them.
	loadingCallers = 8
	loadingWindow  = 2 * time.Second
)

// strayCallers counts the requests that arrive while the host holds no upstreams. It is safe for
// concurrent use.
type strayCallers struct {
	mu          sync.Mutex
	windowStart time.Time
	count       int
}

// add counts a request, and reports whether there are so many that the host loads the upstreams.
func (s *strayCallers) add(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= loadingWindow {
		s.windowStart, s.count = now, 0
	}
	s.count++
	return s.count >= loadingCallers
}

// loadUpstreamsForCallers is called for each request while the host holds no upstreams. It reports
// whether there is an active host that they, or a sample of them, can be copied from.
func (d *Daemon) loadUpstreamsForCallers() bool {
	now := d.now()
	all := d.strayCallers.add(now)
	d.control.send(func(c *control) {
		if all {
			c.upstreamDemand.until = now.Add(upstreamRetention)
			c.manageUpstreams(now)
		} else {
			c.copySample(now)
		}
	})
	return all || d.directory.Load().anyReady()
}

// copySample begins to copy a sample for a waiting caller, unless a copy is in progress or was made
// and is not confirmed yet.
func (c *control) copySample(now time.Time) {
	if !c.load.active && !c.holdsUpstreams && !c.upstreamsKnown() {
		c.startSample(now, c.loadSources())
	}
}

// upstreamDemand is whether this host needs the upstreams.
type upstreamDemand struct {
	// until is the time until which the host needs them.
	until time.Time
	// loadStartedAt is when the host began to load them; zero if it is not loading them.
	loadStartedAt time.Time
	// listing is set while the host lists them in the store.
	listing bool
	// known is set once the copy is known to have matched the state of the store.
	known bool
	// sampledAt is the time as of which the sample matched the state of the store; zero if the host
	// has no sample.
	sampledAt time.Time
}

// manageUpstreams loads or drops the upstreams as needed.
func (c *control) manageUpstreams(now time.Time) {
	demand := &c.upstreamDemand
	if c.activation.needsUpstreams {
		demand.until = now.Add(upstreamRetention)
	}
	if since := c.activation.nextSince; !since.IsZero() && now.Sub(since) >= nextStandbyDelay {
		demand.until = laterOf(demand.until, now.Add(nextStandbyDelay))
	}
	if !demand.sampledAt.IsZero() && now.Sub(demand.sampledAt) > sampleMaxAge {
		c.dropSample()
	}
	switch needed := now.Before(demand.until); {
	case !c.listed:
	case c.holdsUpstreams && !needed:
		c.dropUpstreams(now)
	case !c.holdsUpstreams && needed:
		c.loadUpstreams(now)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// loadUpstreams copies the upstreams from an active host. If none answers, they are listed in the
// store. Active hosts that are busy do answer: after a loss of all strong hosts, hundreds of others
// copy the upstreams from the few that have them, and pass them on, instead of all listing them.
func (c *control) loadUpstreams(now time.Time) {
	demand := &c.upstreamDemand
	if demand.listing {
		return
	}
	if demand.loadStartedAt.IsZero() {
		demand.loadStartedAt = now
		c.startLoad(now, fleet.Scope_SCOPE_UPSTREAMS, c.loadSources())
	}
	if c.load.active {
		return
	}
	demand.listing = true
	c.d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, upstreamListTimeout)
		defer cancel()
		l, err := c.d.store.List(ctx, platform.UpstreamPrefix, false)
		c.send(func(c *control) { c.finishUpstreamListing(l, err) })
	})
}

// loadSources returns the addresses of the active hosts from which state can be copied: those of this
// region, or of all regions if it has none.
func (c *control) loadSources() []string {
	d := c.d.directory.Load()
	if near := d.activePeers(c.isOwnRegion); len(near) > 0 {
		return near
	}
	return d.activePeers(func(string) bool { return true })
}

// applySample adds a copied page to the table. Its state is that of the store as of asOf.
func (c *control) applySample(now, asOf time.Time, items []kv.Item) {
	c.d.table.Clear()
	for _, item := range items {
		if u, err := platform.DecodeUpstream(item); err == nil {
			c.d.table.PutUpstream(now, u)
		}
	}
	c.upstreamDemand.sampledAt = asOf
	c.d.events.Debug("upstreams sampled", "upstreams", len(items), "age", now.Sub(asOf))
}

// dropSample removes the sample.
func (c *control) dropSample() {
	c.upstreamDemand.sampledAt = time.Time{}
	// Callers that arrive from now on wait for a new sample.
	c.publishState()
	if !c.holdsUpstreams {
		c.d.table.Clear()
	}
}

// upstreamsKnown reports whether requests can be sent to upstreams.
func (c *control) upstreamsKnown() bool {
	return c.upstreamDemand.known || !c.upstreamDemand.sampledAt.IsZero()
}

// finishUpstreamListing applies the upstreams that were listed in the store.
func (c *control) finishUpstreamListing(l kv.Listing, err error) {
	c.upstreamDemand.listing, c.upstreamDemand.loadStartedAt = false, time.Time{}
	if err != nil {
		c.d.events.Warn("upstreams not listed", "error", err)
		return
	}
	if !c.holdsUpstreams {
		c.addUpstreams(c.d.now(), l.Items, l.Revision)
		c.confirmRequests.due = time.Time{}
	}
}

// addUpstreams adds the upstreams that a peer or the store has sent. Requests use them once they
// are confirmed. The items are complete up to a revision of the store.
func (c *control) addUpstreams(now time.Time, items []kv.Item, revision uint64) {
	c.dropSample()
	c.holdsUpstreams = true
	c.upstreams.reset(items)
	c.upstreams.completeTo = revision
	for _, item := range items {
		c.applyWrite(now, item)
	}
	c.d.events.Info("upstreams loaded", "upstreams", len(items), "took", now.Sub(c.upstreamDemand.loadStartedAt))
	c.upstreamDemand.loadStartedAt = time.Time{}
}

// dropUpstreams removes the upstreams from this host.
func (c *control) dropUpstreams(now time.Time) {
	c.d.events.Info("upstreams dropped", "upstreams", c.d.table.Size())
	c.holdsUpstreams, c.upstreamDemand = false, upstreamDemand{}
	c.upstreamRegistry.Clear()
	c.d.table.Clear()
	c.upstreams = section{}
	for key := range c.items {
		if _, ok := platform.UpstreamID(key); ok {
			c.deleteItem(key)
		}
	}
	c.confirmRequests.due = now
}
