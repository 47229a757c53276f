package place

import (
	"slices"
	"time"

	"balsambarrow/internal/catalog"
)

// survey is one look over the upstreams of a service on behalf of one request.
type survey struct {
	// open are those that may be asked. They are valid until the next survey.
	open []candidate
	// reason says why there is none.
	reason Reason
	// disturbed says that an upstream of the service in this host's region has failed
	// lately.
	disturbed bool
}

// leg is the way to the upstreams of one zone, as one request sees it.
type leg struct {
	zone, region string
	// closed says that nothing may be sent there.
	closed bool
	// way is the time there and back, and transfer what the request's bytes take of
	// links.
	way, transfer time.Duration
	// here says that it is this host's region.
	here bool
	// open is the number of slots of upstreams that may be asked.
	open int
	// heldBack says that the region has got as much more as it may.
	heldBack bool
}

// legs fills in the way to each zone that has had an upstream.
func (t *Table) legs(q Query) {
	for i := range t.zoneLegs {
		l := &t.zoneLegs[i]
		l.closed = t.evacuate[l.zone]
		l.here = l.region == t.self.Region
		l.way = t.way.to(l.region, l.zone)
		l.transfer = t.way.cost(q.Route, l.region, l.zone, q.BodyBytes)
		l.open, l.heldBack = 0, false
	}
}

// legOf is the index of a zone's leg.
func (t *Table) legOf(zone string) int {
	for i := range t.zoneLegs {
		if t.zoneLegs[i].zone == zone {
			return i
		}
	}
	t.zoneLegs = append(t.zoneLegs, leg{zone: zone, region: t.zones[zone]})
	return len(t.zoneLegs) - 1
}

// survey lists the upstreams that may be asked, and says why there is none.
func (t *Table) survey(now time.Time, q Query, object Object) *survey {
	t.legs(q)
	s := &t.surveyed
	s.open, s.reason, s.disturbed = s.open[:0], NoneKnown, false
	key := uint64(object)
	if object == 0 {
		t.turn++
		key = t.turn
	}
	var ejected []candidate
	for _, w := range t.services[q.Service] {
		l := &t.zoneLegs[w.leg]
		if l.here && w.health.failedSince(now, disturbedFor) {
			s.disturbed = true
		}
		if q.Bound && !slices.Contains(q.Homes, w.region) || slices.Contains(q.Tried, w.ID) {
			continue
		}
		if l.closed || w.State != catalog.StateReady {
			s.reason = NoneOpen
			continue
		}
		c := candidate{worker: w, leg: l, weight: weight(key, w.id), cold: w.isCold(now)}
		if c.cold && !t.warms(w) {
			if s.reason != NoneReachable {
				s.reason = NoneWarm
			}
			continue
		}
		if !w.health.usable(now) {
			ejected = append(ejected, c)
			s.reason = NoneReachable
			continue
		}
		l.open += w.Slots
		s.open = append(s.open, c)
	}
	if len(s.open) == 0 {
		// Where all have failed, the one that failed longest ago may be back.
		s.open = append(s.open, soonest(ejected)...)
	}
	return s
}

// soonest returns the candidate whose ejection ends first, if it is a doubt
// about lost answers only: an upstream that could not be reached stays out.
func soonest(ejected []candidate) []candidate {
	var best []candidate
	for _, c := range ejected {
		if c.cold {
			continue
		}
		if len(best) == 0 || c.health.ejected.Before(best[0].health.ejected) {
			best = []candidate{c}
		}
	}
	return best
}

// ranked are the candidates of an object with the highest weights, in their order.
type ranked struct {
	index [rankMost]int
	n     int
}

// rank finds the candidates of the highest weights.
func rank(list []candidate) ranked {
	var r ranked
	for i := range list {
		at := r.n
		for at > 0 && list[r.index[at-1]].weight < list[i].weight {
			at--
		}
		if at == rankMost {
			continue
		}
		r.n = min(r.n+1, rankMost)
		copy(r.index[at+1:r.n], r.index[at:r.n-1])
		r.index[at] = i
	}
	return r
}
