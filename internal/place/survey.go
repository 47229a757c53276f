package place

import (
	"slices"
	"time"

	"balsambarrow/internal/catalog"
)

// survey is the result of scanning the upstreams of a service for one request.
type survey struct {
	// candidates may receive the request. They are valid until the next survey.
	candidates []candidate
	// reason explains an empty list of candidates.
	reason Reason
	// firstPauseEnd is when the first pause of an upstream ends; zero if none is paused.
	firstPauseEnd time.Time
	// localSlots are the slots of the service in this host's region. failedSlots are those of
	// upstreams that were ejected within failoverWindow, and withdrawnSlots those of others that are
	// cold or whose zone has been evacuated, or taken back, within failoverWindow.
	localSlots, failedSlots, withdrawnSlots int
	// shiftLimited is set if candidates were left out because the share of their region has
	// reached its limit.
	shiftLimited bool
}

// countLocal adds the slots of an upstream of this host's region.
func (s *survey) countLocal(now time.Time, w *upstream, path *zonePath) {
	s.localSlots += w.Slots
	switch {
	case w.health.ejectedWithin(now, failoverWindow):
		s.failedSlots += w.Slots
	case path.evacuationChanged || w.isCold(now):
		s.withdrawnSlots += w.Slots
	}
}

// zonePath describes the network path to the upstreams of one zone for one request.
type zonePath struct {
	zone, region string
	// closed is set if nothing may be sent to the zone.
	closed bool
	// evacuationChanged is set if the evacuation of the zone has begun or ended within
	// failoverWindow.
	evacuationChanged bool
	// roundTrip is the round-trip time, and transferCost the cost of the transferred
	// bytes.
	roundTrip, transferCost time.Duration
	// local is set if the zone is in this host's region.
	local bool
	// openSlots is the number of slots of available upstreams.
	openSlots int
	// shiftExcess is by how many requests the limit of the region's share would be exceeded.
	shiftExcess float64
	// silent is the number of available upstreams that have not reported their load, and
	// silentInflight the number of this host's requests there.
	silent, silentInflight int
}

// add counts an available upstream.
func (p *zonePath) add(w *upstream) {
	p.openSlots += w.Slots
	if !w.load.reported {
		p.silent++
		p.silentInflight += w.load.inflight
	}
}

// refreshZonePaths recomputes the path to each zone that has had an upstream.
func (t *Table) refreshZonePaths(now time.Time, q Query) {
	for i := range t.zonePaths {
		path := &t.zonePaths[i]
		path.closed = t.evacuatedZones[path.zone]
		changedAt, changed := t.evacuationChangedAt[path.zone]
		path.evacuationChanged = changed && now.Sub(changedAt) < failoverWindow
		path.local = path.region == t.self.Region
		path.roundTrip = t.links.roundTrip(path.region, path.zone)
		path.transferCost = t.links.transferCost(q.Route, path.region, path.zone, q.BodyBytes)
		path.openSlots, path.silent, path.silentInflight = 0, 0, 0
	}
}

// zonePathIndex returns the index of a zone's path, which is added if missing.
func (t *Table) zonePathIndex(zone string) int {
	for i := range t.zonePaths {
		if t.zonePaths[i].zone == zone {
			return i
		}
	}
	t.zonePaths = append(t.zonePaths, zonePath{zone: zone, region: t.zones[zone]})
	return len(t.zonePaths) - 1
}

// survey lists the upstreams that may receive the request, or the reason why none may.
func (t *Table) survey(now time.Time, q Query, object Object) *survey {
	t.refreshZonePaths(now, q)
	s := &t.scratch
	*s = survey{candidates: s.candidates[:0], reason: NotRegistered}
	key := uint64(object)
	if object == 0 {
		t.keylessSequence++
		key = t.keylessSequence
	}
	var ejected, avoided []candidate
	for _, w := range t.services[q.Service] {
		path := &t.zonePaths[w.pathIndex]
		if path.local {
			s.countLocal(now, w, path)
		}
		if q.RegionRestricted && !slices.Contains(q.AllowedRegions, w.region) {
			continue
		}
		cold := w.isCold(now)
		if reason := t.unavailable(now, w, path, cold); reason != "" {
			s.exclude(w, reason)
			continue
		}
		if slices.Contains(q.Excluded, w.ID) {
			continue
		}
		if !t.bytesFit(now, w, q) {
			s.exclude(w, AllHoldBytes)
			continue
		}
		c := candidate{upstream: w, path: path, weight: weight(key, w.idHash), cold: cold}
		if !w.health.usable(now) {
			ejected = append(ejected, c)
			s.exclude(w, AllEjected)
			continue
		}
		if len(q.Avoided) > 0 && slices.Contains(q.Avoided, w.instanceKey()) {
			avoided = append(avoided, c)
			continue
		}
		path.add(w)
		s.candidates = append(s.candidates, c)
	}
	if len(s.candidates) == 0 {
		s.addAll(avoided)
	}
	if len(s.candidates) == 0 {
		// If all candidates are ejected, the one whose ejection ends first may have recovered.
		s.candidates = append(s.candidates, earliestReturning(ejected)...)
	}
	return s
}

func (s *survey) addAll(candidates []candidate) {
	for _, c := range candidates {
		c.path.add(c.upstream)
	}
	s.candidates = append(s.candidates, candidates...)
}

// reasonOrder lists the reasons from the one with which a caller has to wait longest. With the
// reasons after AllPaused, this host or another one may serve the caller soon.
var reasonOrder = []Reason{NotRegistered, AllClosed, AllPaused, AllCold, AllRateLimited, AllHoldBytes, AllEjected}

// exclude records why an upstream is no candidate.
func (s *survey) exclude(w *upstream, reason Reason) {
	if slices.Index(reasonOrder, reason) > slices.Index(reasonOrder, s.reason) {
		s.reason = reason
	}
	if end := w.announced.pause.until; reason == AllPaused && (s.firstPauseEnd.IsZero() || end.Before(s.firstPauseEnd)) {
		s.firstPauseEnd = end
	}
}

// unavailable returns why this host may send no requests to an upstream at present; "" if it
// may.
func (t *Table) unavailable(now time.Time, w *upstream, path *zonePath, cold bool) Reason {
	switch {
	case path.closed || w.State != catalog.StateReady || w.announced.leaving.announced:
		return AllClosed
	case w.announced.pause.active(now):
		return AllPaused
	case w.announced.rateLimit.Limited && !t.isRateLimitSender(now, w):
		return AllRateLimited
	case cold && !t.isSlowStartSender(w):
		return AllCold
	}
	return ""
}

// pauseLeft returns the time until the first pause ends if all upstreams that might serve the
// request otherwise are paused; else 0.
func (s *survey) pauseLeft(now time.Time) time.Duration {
	if len(s.candidates) > 0 || s.reason != AllPaused {
		return 0
	}
	return max(s.firstPauseEnd.Sub(now), 0)
}

// earliestReturning returns the candidate whose ejection ends first. Cold candidates are
// left out, so an upstream that was unreachable stays ejected.
func earliestReturning(ejected []candidate) []candidate {
	var best []candidate
	for _, c := range ejected {
		if c.cold {
			continue
		}
		if len(best) == 0 || c.health.ejectedUntil.Before(best[0].health.ejectedUntil) {
			best = []candidate{c}
		}
	}
	return best
}

// ranked holds the indexes of the candidates with the highest weights, in rank order.
type ranked struct {
	index [maxRanks]int
	n     int
}

// rank finds the candidates with the highest weights.
func rank(list []candidate) ranked {
	var r ranked
	for i := range list {
		at := r.n
		for at > 0 && list[r.index[at-1]].weight < list[i].weight {
			at--
		}
		if at == maxRanks {
			continue
		}
		r.n = min(r.n+1, maxRanks)
		copy(r.index[at+1:r.n], r.index[at:r.n-1])
		r.index[at] = i
	}
	return r
}
