package entryhost

import (
	"time"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/front"
	"balsambarrow/internal/place"
)

// published is the state that the control goroutine has published to the other goroutines.
type published struct {
	surveyed, reviewed, summed time.Time
	// generation and demandGeneration are the generations of the members and of their demand
	// that were last published.
	generation, demand uint64
	// peers are the other hosts that are present.
	heard []fleet.Member
	view  view
	state front.State
}

// selfState is the state of this host on which the directory and the bucket hosts depend.
type view struct {
	ready, leaving, seesStore, held bool
}

// publish publishes what has changed. Most messages change nothing that other goroutines use.
func (c *control) publish(now time.Time) {
	p := &c.published
	if now.Sub(p.surveyed) >= surveyEvery {
		p.surveyed = now
		c.log(c.members.Expire(now))
	}
	changed := p.generation != c.members.Generation()
	if changed {
		p.generation, p.heard = c.members.Generation(), c.members.Present()
	}
	c.setReady(now, p.heard)
	review := now.Sub(p.reviewed) >= reviewEvery
	next := view{c.ready, c.leaving, !c.storeOut, c.held}
	if changed || review || next != p.view {
		p.view, p.reviewed = next, now
		c.publishHosts()
	}
	c.publishState()
	c.publishDemand(now, changed)
}

// publishHosts publishes the known hosts: the active ones to the directory and the placement
// table, and the holders of customers' buckets.
func (c *control) publishHosts() {
	heard := c.published.heard
	c.d.directory.Store(&directory{self: c.d.self, ready: c.ready, leaving: c.leaving, seesStore: !c.storeOut, others: heard})
	hosts := make([]place.Host, 0, len(heard)+1)
	for _, m := range heard {
		if m.Ready {
			hosts = append(hosts, place.Host{Instance: m.Instance, Zone: m.Zone, Region: m.Region})
		}
	}
	if c.ready {
		hosts = append(hosts, place.Host{Instance: c.d.self.Instance, Zone: c.d.self.Zone, Region: c.d.self.Region})
	}
	c.d.table.SetHosts(hosts)
	c.d.pool.Store(newPool(c.d.self, c.ready && c.held, heard, c.members.Count()))
	c.d.newHosts.fire()
	bounds := c.d.settings.Load().Bounds
	c.d.retries.SetSlack(bounds.RetrySlack, c.members.Count())
	c.d.table.SetMaxShift(bounds.MaxShift)
	c.d.shares.SetSlack(bounds.RateSlack)
}

// publishState publishes the state by which requests are served.
func (c *control) publishState() {
	next := front.State{
		Catalog: c.catalog, ConfirmedAt: c.confirmedAt, Listed: c.listed, Leaving: c.leaving, Standby: !c.activation.active,
	}
	if next == c.published.state {
		return
	}
	c.published.state = next
	c.d.state.Store(&next)
	c.d.fresh.fire()
}

// publishDemand publishes the customers' demand at the other hosts.
func (c *control) publishDemand(now time.Time, changed bool) {
	p := &c.published
	if !changed && (p.demand == c.members.DemandGeneration() || now.Sub(p.summed) < demandEvery) {
		return
	}
	p.demand, p.summed = c.members.DemandGeneration(), now
	c.d.shares.SetOthers(c.members.Demand(), c.buckets(), c.members.Complete())
}
