package entryhost

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"balsambarrow/internal/kv"
	"balsambarrow/internal/standby"
	"balsambarrow/platform"
)

// How hundreds of hosts start at once.
//
// Load pattern: all hosts lose power, and each lists all that the store holds when it
// starts again. Together that is more than the store's link carries in a second, and those
// that are to take callers wait behind all the others. So the fleet keeps a small key with
// the hosts that take callers. A host that reads there that it is much weaker than they
// are makes itself known to them, directs callers to them as soon as it hears them, and
// lists the store later.

const (
	// guided is the number of hosts of each region that the guide names.
	guided = 16
	// leastGuides is the number of stronger hosts in its region from which a host leaves
	// the first calls to them.
	leastGuides = 3
	// weakPart of the strength of the strongest is a host's that expects to stand by.
	weakPart = 0.5
	// listAfter and listSpread are when a host that expects to stand by lists the store:
	// after the start, and at random within the spread.
	listAfter  = 700 * time.Millisecond
	listSpread = 1500 * time.Millisecond
	// guideAfter is how long a host with one core waits for a guide where there is none;
	// one with less waits for longer, mostGuideWait at most, so that the strongest are
	// ready first and write it.
	guideAfter    = 200 * time.Millisecond
	mostGuideWait = 1500 * time.Millisecond
	// askSpread is within which hosts begin to ask peers for what the store holds, and
	// askPeersEvery the time between two questions.
	askSpread     = 300 * time.Millisecond
	askPeersEvery = 300 * time.Millisecond
)

// guide names the hosts that take callers, by region.
type guide map[string][]guideHost

type guideHost struct {
	Peers    string  `json:"peers"`
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
}

func (h guideHost) capacity() standby.Capacity {
	return standby.Capacity{Cores: h.Cores, LinkMbps: h.LinkMbps}
}

// newGuide names the hosts of a directory that take callers.
func newGuide(d *directory, own standby.Capacity) guide {
	g := guide{}
	if d.ready {
		g[d.self.Region] = append(g[d.self.Region], guideHost{d.self.Peers, own.Cores, own.LinkMbps})
	}
	for _, m := range d.others {
		if m.Ready && !m.Leaving {
			g[m.Region] = append(g[m.Region], guideHost{m.PeerAddress, m.Capacity.Cores, m.Capacity.LinkMbps})
		}
	}
	for region, hosts := range g {
		slices.SortFunc(hosts, func(a, b guideHost) int { return bytes.Compare([]byte(a.Peers), []byte(b.Peers)) })
		g[region] = hosts[:min(len(hosts), guided)]
	}
	return g
}

// stronger lists the addresses of the hosts of a region beside which a host is weak; none
// if there are too few to leave the callers to.
func (g guide) stronger(region string, own standby.Capacity) []string {
	if own == (standby.Capacity{}) {
		return nil
	}
	var out []string
	for _, h := range g[region] {
		if own.FractionOf(h.capacity()) < weakPart {
			out = append(out, h.Peers)
		}
	}
	if len(out) < leastGuides {
		return nil
	}
	return out
}

// startFromGuide reads the guide before the first listing. A host that is weak beside those that
// it names makes itself known to them, and has them tell what the store holds. It returns
// the revision of that; false if the host has to list the store itself.
func (d *Daemon) startFromGuide(ctx context.Context) (revision uint64, ok bool) {
	g, known := d.fetchGuide(ctx)
	if cores := d.capacity().Cores; known && len(g) == 0 && cores > 0 {
		// Nobody has written one yet: the fleet starts for the first time.
		sleep(ctx, min(time.Duration(float64(guideAfter)/cores), mostGuideWait))
		g, _ = d.fetchGuide(ctx)
	}
	stronger := g.stronger(d.self.Region, d.capacity())
	if len(stronger) == 0 {
		if len(g[d.self.Region]) > 0 {
			// It is one of the strongest: others need not be known for it to register.
			d.spends.Store(true)
			close(d.needed)
		}
		return 0, false
	}
	d.control.send(func(c *control) {
		c.guides = stronger
		c.heartbeatDue = time.Time{}
	})
	return d.listFromPeers(ctx, stronger)
}

// fetchGuide reads the guide, which is empty if there is none; false if the store does not
// answer.
func (d *Daemon) fetchGuide(ctx context.Context) (g guide, ok bool) {
	bounded, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	l, err := d.store.List(bounded, platform.ActiveHostsKey, true)
	if err != nil {
		return nil, false
	}
	if len(l.Items) == 0 {
		return nil, true
	}
	if err := json.Unmarshal(l.Items[0].Value, &g); err != nil {
		d.events.Warn("guide not readable", "revision", l.Items[0].Revision, "error", err)
		return nil, false
	}
	return g, true
}

// listFromPeers asks peers in turn for all that the store holds, until one has told it or
// it is time to list the store. It returns the revision of what was told.
func (d *Daemon) listFromPeers(ctx context.Context, peers []string) (revision uint64, ok bool) {
	until := d.now().Add(listAfter + listSpread)
	sleep(ctx, listAfter+rand.N(askSpread))
	for i := rand.IntN(len(peers)); ctx.Err() == nil && !isClosed(d.listed) && d.now().Before(until); i++ {
		d.control.send(func(c *control) {
			c.askPeer(c.d.now(), peers[i%len(peers)], question{whole: true})
		})
		await(ctx, d.listed, askPeersEvery)
	}
	if !isClosed(d.listed) {
		return 0, false
	}
	d.lookWhenRegistered.Store(true)
	told := make(chan uint64, 1)
	d.control.send(func(c *control) { told <- c.revision })
	select {
	case revision = <-told:
		return revision, true
	case <-ctx.Done():
		return 0, false
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// writeGuide writes the guide into the store if it has changed. Whoever writes snapshots
// does.
func (c *control) writeGuide() {
	data, err := json.Marshal(newGuide(c.d.directory.Load(), c.d.capacity()))
	if err != nil {
		c.d.events.Warn("guide not encoded", "error", err)
		return
	}
	if bytes.Equal(data, c.guide) {
		return
	}
	c.guide = data
	c.d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, callBound)
		defer cancel()
		if err := c.d.store.Put(ctx, platform.ActiveHostsKey, data, 0); err != nil {
			c.d.events.Debug("guide not written", "error", err)
			c.send(func(c *control) { c.guide = nil })
		}
	})
}

// readGuide notes what the guide in the store is.
func (c *control) readGuide(item kv.Item) { c.guide = item.Value }
