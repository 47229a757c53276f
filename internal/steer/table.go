package steer

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// Handler is a daemon that handles the upstreams of one service, with its
// state as known to this daemon.
type Handler struct {
	Member   membership.Member
	headroom membership.Headroom
	// sent counts the requests that were sent to the handler since its latest
	// headroom arrived.
	sent *atomic.Int64
}

// estimatedFree returns the advertised number of free slots less the requests
// that were sent since.
func (h *Handler) estimatedFree() int64 { return int64(h.headroom.Free) - h.sent.Load() }

// regionTable holds the handlers of one service in one region.
type regionTable struct {
	name string
	// zones lists the handlers by zone, with the daemon's own zone first.
	zones []zoneTable
	// handlers lists the handlers of all zones.
	handlers []*Handler
	// unassigned lists daemons that still advertise headroom although the
	// assignment does not name them. They may know a newer set of ready
	// daemons than this daemon does.
	unassigned []*Handler
}

type zoneTable struct {
	name     string
	handlers []*Handler
}

// serviceTable holds the regions where requests for one service can run.
type serviceTable struct {
	// local is the region of this daemon; it may have no handlers.
	local regionTable
	// remote lists the other regions with handlers, ordered by name.
	remote []regionTable
	// spillover is the fraction of the local region's traffic that is sent to
	// another region first.
	spillover float64
	// feedback records the results of requests for Spillover.
	feedback *feedback
	moves    []activeMove
	// localDrain is the drain of the local region, or nil.
	localDrain *config.Drain
}

// activeMove is a move of traffic out of the local region.
type activeMove struct {
	to   string
	move config.Move
}

// Table holds the state that Choose decides by. The control thread builds it
// and all threads read it; only the counters of sent requests change.
type Table struct {
	active   *config.Active
	zone     string
	region   string
	services map[string]*serviceTable
	// zoneDrains and regionDrains hold the drains by the name of their target.
	zoneDrains   map[string]config.Drain
	regionDrains map[string]config.Drain
	// linkedRegions holds the regions to which a declared link leads. Requests
	// to other regions take from no link quota.
	linkedRegions map[string]bool
}

// Builder builds tables. Only the control thread uses it.
type Builder struct {
	zone       string
	spillovers map[string]*Spillover
	sent       map[sentKey]*sentCount
}

// sentKey identifies a handler of a service.
type sentKey struct{ instance, service string }

// sentCount counts the requests sent to a handler. It is kept across tables
// until newer headroom arrives.
type sentCount struct {
	sequence uint64
	count    *atomic.Int64
}

// NewBuilder returns a builder for a daemon in zone.
func NewBuilder(zone string) *Builder {
	return &Builder{zone: zone, spillovers: map[string]*Spillover{}, sent: map[sentKey]*sentCount{}}
}

// Assignment returns how many slots of a service a daemon handles.
type Assignment interface {
	Slots(instance, service string) int
}

// Build returns the table for a configuration, the ready daemons including
// this one, and the assignment computed from both.
//
// A daemon that has just become a handler has not advertised its headroom yet.
// With advertised headroom alone, requests would be rejected for lack of a
// handler until the next heartbeat of that daemon, for half a second after every
// start and stop of a daemon. Until then, the number of slots assigned to the
// daemon is used instead of its headroom.
func (b *Builder) Build(a *config.Active, ready []membership.Member, assigned Assignment, now time.Time) *Table {
	t := &Table{
		active: a, zone: b.zone, region: a.Region(b.zone), services: map[string]*serviceTable{},
		zoneDrains: map[string]config.Drain{}, regionDrains: map[string]config.Drain{}, linkedRegions: map[string]bool{},
	}
	for _, l := range a.Config.Links {
		if l.From == t.region {
			t.linkedRegions[l.To] = true
		}
	}
	for _, d := range a.Config.Drains {
		switch d.Kind {
		case config.DrainZone:
			t.zoneDrains[d.Target] = d
		case config.DrainRegion:
			t.regionDrains[d.Target] = d
		}
	}
	for service := range a.Config.Services {
		t.services[service] = b.buildService(t, service, ready, assigned, now)
	}
	b.dropAbsent(ready)
	return t
}

func (b *Builder) buildService(t *Table, service string, ready []membership.Member, assigned Assignment, now time.Time) *serviceTable {
	regions := map[string]*regionTable{}
	for _, m := range ready {
		headroom, slots := m.Headroom[service], assigned.Slots(m.Instance, service)
		if headroom.Limit == 0 && slots == 0 {
			continue
		}
		name := t.active.Region(m.Zone)
		r := regions[name]
		if r == nil {
			r = &regionTable{name: name}
			regions[name] = r
		}
		r.add(&Handler{Member: m, headroom: headroomOf(headroom, slots), sent: b.sentCounter(m, service)}, slots > 0)
	}
	s := &serviceTable{local: regionTable{name: t.region}}
	for name, r := range regions {
		r.useUnassigned()
		r.sortZones(t.zone)
		if name == t.region {
			s.local = *r
			continue
		}
		s.remote = append(s.remote, *r)
	}
	slices.SortFunc(s.remote, func(x, y regionTable) int { return cmp.Compare(x.name, y.name) })
	s.addPlannedShifts(t, service)
	spillover := b.spilloverOf(service)
	s.spillover, s.feedback = spillover.Update(s.local.utilization(), now), &spillover.feedback
	return s
}

// headroomOf returns the advertised headroom, or the assigned slots if the
// daemon has not advertised any headroom yet.
func headroomOf(advertised membership.Headroom, slots int) membership.Headroom {
	if advertised.Limit == 0 {
		return membership.Headroom{Free: slots, Limit: slots}
	}
	return advertised
}

// addPlannedShifts adds the moves of the service out of the local region and
// the drain of that region.
func (s *serviceTable) addPlannedShifts(t *Table, service string) {
	for _, m := range t.active.Config.Moves {
		if m.Service == service && m.From == t.region {
			s.moves = append(s.moves, activeMove{to: m.To, move: m})
		}
	}
	slices.SortFunc(s.moves, func(x, y activeMove) int { return cmp.Compare(x.to, y.to) })
	if d, ok := t.regionDrains[t.region]; ok {
		s.localDrain = &d
	}
}

// sentCounter returns the counter of requests sent to a handler since its
// latest heartbeat.
func (b *Builder) sentCounter(m membership.Member, service string) *atomic.Int64 {
	key := sentKey{m.Instance, service}
	c := b.sent[key]
	if c == nil || c.sequence != m.Sequence {
		c = &sentCount{sequence: m.Sequence, count: &atomic.Int64{}}
		b.sent[key] = c
	}
	return c.count
}

func (b *Builder) spilloverOf(service string) *Spillover {
	s := b.spillovers[service]
	if s == nil {
		s = &Spillover{}
		b.spillovers[service] = s
	}
	return s
}

// dropAbsent deletes the counters of daemons that are no longer ready.
func (b *Builder) dropAbsent(ready []membership.Member) {
	present := map[string]bool{}
	for _, m := range ready {
		present[m.Instance] = true
	}
	for key := range b.sent {
		if !present[key.instance] {
			delete(b.sent, key)
		}
	}
}

func (r *regionTable) add(h *Handler, assigned bool) {
	if !assigned {
		r.unassigned = append(r.unassigned, h)
		return
	}
	r.handlers = append(r.handlers, h)
	for i := range r.zones {
		if r.zones[i].name == h.Member.Zone {
			r.zones[i].handlers = append(r.zones[i].handlers, h)
			return
		}
	}
	r.zones = append(r.zones, zoneTable{name: h.Member.Zone, handlers: []*Handler{h}})
}

// useUnassigned makes the unassigned daemons handlers if the assignment names
// none in the region: this daemon may know fewer ready daemons than they do.
func (r *regionTable) useUnassigned() {
	if len(r.handlers) > 0 {
		return
	}
	unassigned := r.unassigned
	r.unassigned = nil
	for _, h := range unassigned {
		r.add(h, true)
	}
}

// sortZones orders the zones by name, with the daemon's own zone first.
func (r *regionTable) sortZones(own string) {
	slices.SortFunc(r.zones, func(x, y zoneTable) int {
		if (x.name == own) != (y.name == own) {
			if x.name == own {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.name, y.name)
	})
}

// utilization returns the running and queued requests of the region divided by
// its limit. A full region has a utilization of 1.
func (r *regionTable) utilization() float64 {
	used, limit := 0, 0
	for _, h := range r.handlers {
		used += h.headroom.Limit - h.headroom.Free + h.headroom.Queued
		limit += h.headroom.Limit
	}
	if limit == 0 {
		return 1
	}
	return float64(used) / float64(limit)
}

// Handlers returns all known handlers of a service.
func (t *Table) Handlers(service string) []*Handler {
	s := t.services[service]
	if s == nil {
		return nil
	}
	var all []*Handler
	for _, r := range append([]regionTable{s.local}, s.remote...) {
		all = append(all, r.handlers...)
	}
	return all
}
