package upstream

import (
	"time"

	"balsambarrow/internal/config"
)

// worker is one upstream as its handler sees it.
type upstreamState struct {
	config.Upstream
	name    string
	limit   *Limit
	health  *Health
	running int
	drain   drain
	// released: another daemon handles it now; what runs here finishes.
	released bool
	probe    probeSchedule
	// takeover bounds the room while an earlier handler may still use some;
	// nil where there can be none.
	takeover *Takeover
}

func newUpstreamState(name string, u config.Upstream) *upstreamState {
	return &upstreamState{Upstream: u, name: name, limit: NewLimit(u.Slots), health: NewHealth()}
}

// takesWork tells whether the upstream may get new work at all.
func (w *upstreamState) acceptsRequests(now time.Time) bool {
	return !w.released && !w.drain.rampEnded(now)
}

// free is how many more requests it may start, trials left aside.
func (w *upstreamState) freeSlots(now time.Time) int {
	if !w.acceptsRequests(now) || w.health.condition != healthy {
		return 0
	}
	return max(w.slotLimit(now)-w.running, 0)
}

// room is how many requests it may run at once.
func (w *upstreamState) slotLimit(now time.Time) int {
	if w.takeover == nil {
		return w.limit.Value()
	}
	return w.takeover.SlotLimit(w.limit.Value(), now)
}

// load is what the next request would find: lower is better.
func (w *upstreamState) load(now time.Time) float64 {
	return float64(w.running+1) * w.health.Slowness() / float64(w.slotLimit(now))
}

// part is the part of an equal share that it should get, 0 to 1.
func (w *upstreamState) trafficFraction(now time.Time) float64 {
	return w.health.Weight(now) * w.drain.trafficFraction(now)
}

// drain is a planned stop of new work at one upstream.
type drain struct {
	active bool
	start  time.Time
	ramp   time.Duration
	// began is when this handler learned of it.
	startedAt time.Time
	// emptied is when the last request had ended; zero while some run.
	emptiedAt time.Time
}

// over tells whether nothing new may start.
func (d *drain) rampEnded(now time.Time) bool {
	return d.active && !now.Before(d.start.Add(d.ramp))
}

// remaining is the part of its traffic that a draining upstream still gets.
func (d *drain) trafficFraction(now time.Time) float64 {
	if !d.active || now.Before(d.start) || d.ramp <= 0 {
		return 1
	}
	left := 1 - float64(now.Sub(d.start))/float64(d.ramp)
	return min(max(left, 0.01), 1)
}

// set takes a plan over; it keeps what was measured of the same drain.
func (d *drain) apply(plan drain, running int, now time.Time) {
	if !plan.active {
		*d = drain{}
		return
	}
	if !d.active {
		d.startedAt = now
	}
	d.active, d.start, d.ramp = true, plan.start, plan.ramp
	d.recordRunning(running, now)
}

// note records the end of the last request.
func (d *drain) recordRunning(running int, now time.Time) {
	if d.rampEnded(now) && running == 0 && d.emptiedAt.IsZero() {
		d.emptiedAt = now
	}
}

// planOf returns the drain that the configuration plans for an upstream.
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
