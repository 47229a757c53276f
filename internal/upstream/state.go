package upstream

import (
	"time"

	"balsambarrow/internal/config"
)

// upstreamState is the state of one upstream at its handler.
type upstreamState struct {
	config.Upstream
	name    string
	limit   *Limit
	health  *Health
	running int
	drain   drain
	// released is true if the upstream is assigned to another daemon and
	// requests are still running here.
	released bool
	probe    probeSchedule
	// outlier is set while the upstream should be ejected and too many others are. It is then
	// used only if no other upstream is free.
	outlier bool
	// pausedUntil is when the upstream accepts requests again after it has shed one.
	pausedUntil time.Time
	// takeover limits the slots while a previous handler may still use some
	// of them; nil if there is none.
	takeover *Takeover
}

func newUpstreamState(name string, u config.Upstream) *upstreamState {
	return &upstreamState{Upstream: u, name: name, limit: NewLimit(u.Slots), health: NewHealth()}
}

// acceptsRequests reports whether the upstream may receive new requests.
func (s *upstreamState) acceptsRequests(now time.Time) bool {
	return !s.released && !s.drain.rampEnded(now)
}

// freeSlots returns the number of requests that may start now, not counting
// trial requests.
func (s *upstreamState) freeSlots(now time.Time) int {
	if !s.acceptsRequests(now) || s.paused(now) || s.health.condition != healthy {
		return 0
	}
	return max(s.slotLimit(now)-s.running, 0)
}

// slotLimit returns the number of requests that may run at once.
func (s *upstreamState) slotLimit(now time.Time) int {
	if s.takeover == nil {
		return s.limit.Value()
	}
	return s.takeover.SlotLimit(s.limit.Value(), now)
}

// load returns the load including the next request. Lower is better.
func (s *upstreamState) load(now time.Time) float64 {
	return float64(s.running+1) * s.health.Slowness() / float64(s.slotLimit(now))
}

// trafficFraction returns the fraction of an equal share of the traffic that
// the upstream should receive, from 0 to 1.
func (s *upstreamState) trafficFraction(now time.Time) float64 {
	return s.health.Weight(now) * s.drain.trafficFraction(now)
}

// drain is the planned drain of one upstream.
type drain struct {
	active bool
	start  time.Time
	ramp   time.Duration
	// learnedAt is when this handler learned of the drain.
	learnedAt time.Time
	// emptiedAt is when the last request ended; zero while requests are
	// running.
	emptiedAt time.Time
}

// rampEnded reports whether no new requests may start.
func (d *drain) rampEnded(now time.Time) bool {
	return d.active && !now.Before(d.start.Add(d.ramp))
}

// trafficFraction returns the fraction of its traffic that a draining
// upstream still receives.
func (d *drain) trafficFraction(now time.Time) float64 {
	if !d.active || now.Before(d.start) || d.ramp <= 0 {
		return 1
	}
	remaining := 1 - float64(now.Sub(d.start))/float64(d.ramp)
	return min(max(remaining, 0.01), 1)
}

// apply sets the planned drain. The recorded times are kept if the upstream
// is already draining.
func (d *drain) apply(plan drain, running int, now time.Time) {
	if !plan.active {
		*d = drain{}
		return
	}
	if !d.active {
		d.learnedAt = now
	}
	d.active, d.start, d.ramp = true, plan.start, plan.ramp
	d.recordRunning(running, now)
}

// recordRunning records the time at which the last request ended.
func (d *drain) recordRunning(running int, now time.Time) {
	if d.rampEnded(now) && running == 0 && d.emptiedAt.IsZero() {
		d.emptiedAt = now
	}
}

// plannedDrain returns the drain that the configuration plans for an
// upstream.
func plannedDrain(c *config.Config, name string) drain {
	if c.Upstreams[name].Leaving {
		return drain{active: true}
	}
	for _, d := range c.Drains {
		if d.Kind == config.DrainUpstream && d.Target == name {
			ramp := time.Duration(d.RampSeconds * float64(time.Second))
			return drain{active: true, start: time.UnixMilli(d.StartUnixMs), ramp: ramp}
		}
	}
	return drain{}
}
