package upstream

import (
	"time"

	"balsambarrow/internal/wire"
)

// Pauses that upstreams ask for when they shed a request. A paused upstream keeps its place in
// the pool and receives no requests, so that one which sheds everything does not draw requests
// by its low load.

// pause takes an upstream out of use for d, or as long as an earlier pause lasts.
func (s *upstreamState) pause(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

func (s *upstreamState) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// firstPauseEnd returns when the first pause ends if all upstreams that accept requests are
// paused, or the zero time if one of them is not paused.
func (p *pool) firstPauseEnd(now time.Time) time.Time {
	var first time.Time
	for _, s := range p.upstreams {
		switch {
		case !s.acceptsRequests(now):
		case !s.paused(now):
			return time.Time{}
		case first.IsZero() || s.pausedUntil.Before(first):
			first = s.pausedUntil
		}
	}
	return first
}

// expireDuringPause removes the queued requests whose deadlines pass before an upstream may be
// used again.
func (p *pool) expireDuringPause(now time.Time, onExpired func(*Ticket)) {
	end := p.firstPauseEnd(now)
	if end.IsZero() {
		return
	}
	for t := range p.waiting {
		if t.item.Deadline.Before(end) && p.queue.Remove(&t.item, now) {
			t.pausedUntil = end
			onExpired(t)
		}
	}
}

// pausedProblem is the problem of a request for which no upstream may be used before until.
func pausedProblem(until, now time.Time) *wire.Problem {
	return wire.NotRunProblem(wire.TypeNoRoom, "the upstreams have asked for a pause", max(until.Sub(now), time.Millisecond))
}
