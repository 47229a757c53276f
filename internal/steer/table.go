package steer

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
)

// Handler is a daemon that handles upstreams of one service, as this daemon
// knows it.
type Handler struct {
	Member membership.Member
	room   membership.Headroom
	// sent counts the requests that were sent to it since its headroom was
	// heard: the advertised room less these is what is likely left.
	sent *atomic.Int64
}

// free is the room that is likely left.
func (h *Handler) free() int64 { return int64(h.room.Free) - h.sent.Load() }

// regionTable holds a service's handlers in one region.
type regionTable struct {
	name string
	// zones lists the handlers by zone, the daemon's own zone first.
	zones []zoneTable
	// handlers lists them all.
	handlers []*Handler
	// former are daemons that still advertise headroom while the assignment
	// names others: their own view may be the newer one.
	former []*Handler
}

type zoneTable struct {
	name     string
	handlers []*Handler
}

// serviceTable holds where one service's work can go.
type serviceTable struct {
	// home is the daemon's own region; its zones may be empty.
	home regionTable
	// others are the other regions with handlers, by name.
	others []regionTable
	// spill is the part of the home region's traffic that starts elsewhere.
	spill float64
	// feedback goes to the spill.
	feedback *feedback
	moves    []activeMove
	// homeDrain is the drain of the home region; nil if there is none.
	homeDrain *config.Drain
}

type activeMove struct {
	to   string
	move config.Move
}

// Table is what steering decides by. It is built by the control thread and
// then read by all threads; only the counters of sent requests change.
type Table struct {
	active   *config.Active
	zone     string
	region   string
	services map[string]*serviceTable
	// drained holds the drains of zones and regions.
	zoneDrains   map[string]config.Drain
	regionDrains map[string]config.Drain
	// linked holds the regions that a declared link leads to; another region
	// is reached without a quota.
	linked map[string]bool
}

// Builder makes tables. It belongs to the control thread.
type Builder struct {
	zone   string
	spills map[string]*Spillover
	sent   map[sentKey]*sentCount
}

type sentKey struct{ instance, service string }

// sentCount is kept over tables until newer headroom arrives.
type sentCount struct {
	sequence uint64
	count    *atomic.Int64
}

// NewBuilder returns a builder for a daemon of zone.
func NewBuilder(zone string) *Builder {
	return &Builder{zone: zone, spills: map[string]*Spillover{}, sent: map[sentKey]*sentCount{}}
}

// Assignment says how many slots of a service a daemon handles.
type Assignment interface {
	Slots(instance, service string) int
}

// Build makes the table of a configuration, the ready daemons, this one
// included, and the assignment that follows from both.
//
// A daemon that has just become a handler has not told its headroom yet. If
// only advertised headroom counted, requests would be refused for want of a
// handler until its next heartbeat: half a second at every start and stop of a
// daemon. So the slots that are assigned to it stand in for its headroom.
func (b *Builder) Build(a *config.Active, ready []membership.Member, assigned Assignment, now time.Time) *Table {
	t := &Table{
		active: a, zone: b.zone, region: a.Region(b.zone), services: map[string]*serviceTable{},
		zoneDrains: map[string]config.Drain{}, regionDrains: map[string]config.Drain{}, linked: map[string]bool{},
	}
	for _, l := range a.Config.Links {
		if l.From == t.region {
			t.linked[l.To] = true
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
		t.services[service] = b.service(t, service, ready, assigned, now)
	}
	b.forget(ready)
	return t
}

func (b *Builder) service(t *Table, service string, ready []membership.Member, assigned Assignment, now time.Time) *serviceTable {
	regions := map[string]*regionTable{}
	for _, m := range ready {
		room, slots := m.Headroom[service], assigned.Slots(m.Instance, service)
		if room.Limit == 0 && slots == 0 {
			continue
		}
		name := t.active.Region(m.Zone)
		r := regions[name]
		if r == nil {
			r = &regionTable{name: name}
			regions[name] = r
		}
		r.add(&Handler{Member: m, room: roomOf(room, slots), sent: b.counter(m, service)}, slots > 0)
	}
	s := &serviceTable{home: regionTable{name: t.region}}
	for name, r := range regions {
		r.settle()
		r.sort(t.zone)
		if name == t.region {
			s.home = *r
			continue
		}
		s.others = append(s.others, *r)
	}
	slices.SortFunc(s.others, func(x, y regionTable) int { return cmp.Compare(x.name, y.name) })
	s.plan(t, service)
	spill := b.spill(service)
	s.spill, s.feedback = spill.Update(s.home.pressure(), now), &spill.feedback
	return s
}

// roomOf is the advertised headroom, or the assigned slots until it is heard.
func roomOf(advertised membership.Headroom, slots int) membership.Headroom {
	if advertised.Limit == 0 {
		return membership.Headroom{Free: slots, Limit: slots}
	}
	return advertised
}

func (s *serviceTable) plan(t *Table, service string) {
	for _, m := range t.active.Config.Moves {
		if m.Service == service && m.From == t.region {
			s.moves = append(s.moves, activeMove{to: m.To, move: m})
		}
	}
	slices.SortFunc(s.moves, func(x, y activeMove) int { return cmp.Compare(x.to, y.to) })
	if d, ok := t.regionDrains[t.region]; ok {
		s.homeDrain = &d
	}
}

// counter returns the count of requests sent to a handler since its latest
// account of itself.
func (b *Builder) counter(m membership.Member, service string) *atomic.Int64 {
	key := sentKey{m.Instance, service}
	c := b.sent[key]
	if c == nil || c.sequence != m.Sequence {
		c = &sentCount{sequence: m.Sequence, count: &atomic.Int64{}}
		b.sent[key] = c
	}
	return c.count
}

func (b *Builder) spill(service string) *Spillover {
	s := b.spills[service]
	if s == nil {
		s = &Spillover{}
		b.spills[service] = s
	}
	return s
}

// forget drops the counters of daemons that are gone.
func (b *Builder) forget(ready []membership.Member) {
	here := map[string]bool{}
	for _, m := range ready {
		here[m.Instance] = true
	}
	for key := range b.sent {
		if !here[key.instance] {
			delete(b.sent, key)
		}
	}
}

func (r *regionTable) add(h *Handler, assigned bool) {
	if !assigned {
		r.former = append(r.former, h)
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

// settle lets former handlers stand where the assignment names nobody: this
// daemon may know fewer ready ones than they do.
func (r *regionTable) settle() {
	if len(r.handlers) > 0 {
		return
	}
	former := r.former
	r.former = nil
	for _, h := range former {
		r.add(h, true)
	}
}

func (r *regionTable) sort(own string) {
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

// pressure is the region's running and waiting work over its room; 1 is full.
func (r *regionTable) pressure() float64 {
	used, limit := 0, 0
	for _, h := range r.handlers {
		used += h.room.Limit - h.room.Free + h.room.Queued
		limit += h.room.Limit
	}
	if limit == 0 {
		return 1
	}
	return float64(used) / float64(limit)
}

// Handlers lists every handler of a service that is known here.
func (t *Table) Handlers(service string) []*Handler {
	s := t.services[service]
	if s == nil {
		return nil
	}
	var all []*Handler
	for _, r := range append([]regionTable{s.home}, s.others...) {
		all = append(all, r.handlers...)
	}
	return all
}
