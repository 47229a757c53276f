package room

import (
	"math"
	"slices"
	"time"
)

// account is the room of one instance of an upstream.
type account struct {
	slots   int
	holders map[uint64]*holder
	// unannounced is the number of requests that the upstream reported at reportedAt and no holder
	// had announced.
	unannounced float64
	reportedAt  time.Time
	// slowdown is that of the last report that had one, made at slowdownAt; 0 if there was none.
	slowdown   float64
	slowdownAt time.Time
	// waiting are the holders that were refused, the one that has waited longest first.
	waiting []waiting
}

// holder is what is known of one holder's requests.
type holder struct {
	// sequence is that of the last statement, and settled the highest Statement.Settled.
	sequence, settled uint64
	count             int
	// countEnds is when count expires. heardAt is when the holder sent its last message.
	countEnds, heardAt time.Time
	// granted are the reservations that are not yet included in count.
	granted []reservation
	// keptUntil is when room that is kept for the holder is free for others.
	keptUntil time.Time
}

type reservation struct {
	sequence uint64
	ends     time.Time
}

// waiting is a holder that wants to be told of free room until a time. maxAhead is that of its
// request.
type waiting struct {
	holder   uint64
	maxAhead int
	until    time.Time
}

// bound is the largest number of requests that the owner grants.
func (a *account) bound() int { return boundFactor * a.slots }

// holder returns the entry of a holder; nil if the account is full.
func (a *account) holder(id uint64) *holder {
	h := a.holders[id]
	if h == nil && len(a.holders) < maxHolders {
		h = &holder{}
		a.holders[id] = h
	}
	return h
}

// apply applies a statement. One that arrives after a later one changes nothing.
func (h *holder) apply(now time.Time, s Statement) {
	h.heardAt = now
	if s.Sequence <= h.sequence {
		return
	}
	h.sequence, h.settled, h.count = s.Sequence, max(h.settled, s.Settled), s.Count
	h.countEnds = earlier(s.Until, now.Add(countTTL))
	h.granted = slices.DeleteFunc(h.granted, func(r reservation) bool { return r.sequence < h.settled })
}

func (h *holder) requests() int { return h.count + len(h.granted) }

// hasGrant reports whether a reservation was granted already: its request was received twice.
func (h *holder) hasGrant(sequence uint64) bool {
	return slices.ContainsFunc(h.granted, func(r reservation) bool { return r.sequence == sequence })
}

// expire removes what has expired, and returns the number of requests that this concerns.
func (a *account) expire(now time.Time) int {
	expired := 0
	for id, h := range a.holders {
		before := h.requests()
		if !now.Before(h.countEnds) {
			h.count = 0
		}
		h.granted = slices.DeleteFunc(h.granted, func(r reservation) bool { return !now.Before(r.ends) })
		expired += before - h.requests()
		if h.requests() == 0 && !now.Before(h.keptUntil) && now.Sub(h.heardAt) >= holderTTL {
			delete(a.holders, id)
		}
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiting) bool { return !now.Before(w.until) })
	return expired
}

// announced returns the number of requests that holders have announced or were granted.
func (a *account) announced() int {
	n := 0
	for _, h := range a.holders {
		n += h.requests()
	}
	return n
}

// ahead returns the number of requests that count against the room when a holder asks: all that
// are announced, granted or reported by the upstream, and the room that is kept for other holders.
func (a *account) ahead(now time.Time, asking uint64) int {
	n := a.announced()
	for id, h := range a.holders {
		if id != asking && now.Before(h.keptUntil) {
			n++
		}
	}
	decay := math.Exp(-float64(now.Sub(a.reportedAt)) / float64(unannouncedDecay))
	return n + int(math.Round(a.unannounced*decay))
}

// others returns the part of ahead that is not the holder's own.
func (a *account) others(now time.Time, id uint64) int {
	own := 0
	if h := a.holders[id]; h != nil {
		own = h.requests()
	}
	return a.ahead(now, id) - own
}

// answer returns what is known of the upstream, for a holder.
func (a *account) answer(now time.Time, id uint64) Answer {
	x := Answer{Others: a.others(now, id), Slowdown: a.slowdown}
	if a.slowdown > 0 {
		x.SlowdownAge = now.Sub(a.slowdownAt)
	}
	return x
}

// observe applies a load report of the upstream.
func (a *account) observe(now time.Time, r Report) {
	a.unannounced, a.reportedAt = float64(max(r.Requests-a.announced(), 0)), now
	if at := now.Add(-r.Age); r.Slowdown > 0 && at.After(a.slowdownAt) {
		a.slowdown, a.slowdownAt = r.Slowdown, at
	}
}

// remember adds a refused holder to those that wait for room.
func (a *account) remember(now time.Time, id uint64, maxAhead int) {
	until := now.Add(interestTTL)
	for i := range a.waiting {
		if w := &a.waiting[i]; w.holder == id {
			w.until, w.maxAhead = until, max(w.maxAhead, maxAhead)
			return
		}
	}
	if len(a.waiting) < maxHolders {
		a.waiting = append(a.waiting, waiting{id, maxAhead, until})
	}
}

// offer keeps free room for the holders that have waited longest, and returns them.
func (a *account) offer(now time.Time, upstream uint64) []Freed {
	var freed []Freed
	ahead := a.ahead(now, 0)
	for i := 0; i < len(a.waiting) && ahead < a.bound(); {
		w := a.waiting[i]
		h := a.holders[w.holder]
		if h == nil || ahead > w.maxAhead {
			i++
			continue
		}
		a.waiting = slices.Delete(a.waiting, i, i+1)
		others := ahead - h.requests()
		if now.Before(h.keptUntil) {
			others--
		} else {
			ahead++
		}
		h.keptUntil = now.Add(keepTime)
		freed = append(freed, Freed{Upstream: upstream, Holder: w.holder, Others: others})
	}
	return freed
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
