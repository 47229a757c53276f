package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/fairqueue"
)

// pool is the upstreams of one service at this handler and the queue before
// them. It is pure: the time is an argument, and it starts nothing.
type pool struct {
	upstreams []*upstreamState
	queue     *fairqueue.Queue
	// costs learns how long a slot is held, answers how long until an answer
	// begins: a caller that reads slowly holds a slot but does not make the
	// upstream slow.
	slotTimes     *fairqueue.CostEstimator
	responseTimes *fairqueue.CostEstimator
	rng           *rand.Rand
}

func newPool(service config.Service, rng *rand.Rand) *pool {
	expected := time.Duration(service.ExpectedMs * float64(time.Millisecond))
	return &pool{
		queue: fairqueue.New(), slotTimes: fairqueue.NewCostEstimator(expected),
		responseTimes: fairqueue.NewCostEstimator(expected), rng: rng,
	}
}

// offer queues a request, or refuses it at once.
func (p *pool) enqueue(t *Ticket, now time.Time) *fairqueue.Refusal {
	t.item.Cost, t.item.Class = p.slotTimes.Estimate(t.kind)
	if p.responseTimes.HasEnoughSamples(t.kind) {
		t.expectedResponseTime, _ = p.responseTimes.Estimate(t.kind)
	}
	p.queue.SetSlots(p.slotLimit(now))
	return p.queue.Push(&t.item, now)
}

// serve starts waiting requests while there is room. granted is told of each
// that starts, late of each that left the queue because it could not be done
// in time.
func (p *pool) dispatch(now time.Time, granted, late func(*Ticket)) {
	p.queue.SetSlots(p.slotLimit(now))
	drop := func(it *fairqueue.Item) { late(it.Value.(*Ticket)) }
	for p.queue.Len() > 0 && p.freeSlots(now) > 0 {
		it := p.queue.Pop(now, drop)
		if it == nil {
			return
		}
		t := it.Value.(*Ticket)
		p.start(t, p.pick(t, now))
		granted(t)
	}
}

// lastResort is more than any load.
const lastResortLoad = 1e6

func (p *pool) start(t *Ticket, w *upstreamState) {
	w.running++
	t.upstream = w
	t.Upstream, t.Address = w.name, w.Address
	t.trial = w.health.condition == onTrial
}

// pick chooses the upstream for a request. There is a free one.
//
// The least loaded is taken over all of the pool: its counts are true, not
// reports, so two random choices would only be worse. One that warms up, drains
// or has a complaint against it is considered in the part of the choices that
// it should get, else only where no other is free. An upstream on trial comes first, one that an earlier attempt failed on comes last.
func (p *pool) pick(t *Ticket, now time.Time) *upstreamState {
	var best *upstreamState
	bestLoad := math.Inf(1)
	offset := p.rng.IntN(len(p.upstreams))
	for i := range p.upstreams {
		w := p.upstreams[(i+offset)%len(p.upstreams)]
		if w.running == 0 && w.acceptsRequests(now) && w.health.TrialDue(t.safe, now) && w.name != t.avoid {
			return w
		}
		if w.freeSlots(now) == 0 {
			continue
		}
		load := w.load(now)
		if part := w.trafficFraction(now); part < 1 && p.rng.Float64() >= part {
			load += lastResortLoad
		}
		if w.name == t.avoid {
			load = math.MaxFloat64
		}
		if load < bestLoad {
			best, bestLoad = w, load
		}
	}
	return best
}

// done takes a result in.
func (p *pool) done(t *Ticket, r Result, now time.Time) {
	w := t.upstream
	p.recordResult(t, r, now)
	w.running--
	w.drain.recordRunning(w.running, now)
	p.queue.Done(&t.item, r.Took, now)
}

func (p *pool) recordResult(t *Ticket, r Result, now time.Time) {
	w := t.upstream
	switch r.kind() {
	case resultUnsent:
	case resultShed:
		w.limit.Decrease(w.running, now)
		p.recordTrial(t, false, 0, now)
	case resultFailed:
		w.health.RecordFailure()
		p.recordTrial(t, false, 0, now)
		p.ejectIfUnhealthy(w, now)
	case resultAbandoned:
		p.recordAbandoned(t, r, now)
	case resultResponded:
		p.recordResponse(t, r, now)
	}
}

func (p *pool) recordResponse(t *Ticket, r Result, now time.Time) {
	w := t.upstream
	slowness := slownessOf(r, t.expectedResponseTime)
	w.health.RecordResponse(slowness)
	w.probe.lastResponse = now
	if w.health.condition == healthy {
		p.slotTimes.Record(t.kind, r.Took)
		p.responseTimes.Record(t.kind, r.responseTime())
	}
	if w.running >= w.limit.Value() {
		w.limit.Increase(now)
	}
	p.recordTrial(t, true, slowness, now)
	p.ejectIfUnhealthy(w, now)
}

// abandoned: the caller gave up. An answer that had not come after many times
// the expected time counts as slow; one that had not been given the time
// says nothing.
func (p *pool) recordAbandoned(t *Ticket, r Result, now time.Time) {
	slowness := slownessOf(r, t.expectedResponseTime)
	if slowness < maxSlowness {
		return
	}
	t.upstream.health.RecordResponse(slowness)
	p.recordTrial(t, false, slowness, now)
	p.ejectIfUnhealthy(t.upstream, now)
}

// slownessOf compares with what is usual for the kind of work; 1 if nothing is.
func slownessOf(r Result, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(r.responseTime()) / float64(expected)
}

// tried settles a trial.
func (p *pool) recordTrial(t *Ticket, ok bool, slowness float64, now time.Time) {
	w := t.upstream
	if !t.trial || w.health.condition != onTrial {
		return
	}
	slow, _ := p.peerAverages(w, now)
	if w.health.RecordTrial(ok, slowness, slow, now) {
		w.limit.Reset(now)
	}
}

// review ejects an upstream that is sick beside its peers, within the bound.
func (p *pool) ejectIfUnhealthy(w *upstreamState, now time.Time) {
	h := w.health
	if h.condition != healthy || (h.failureRatio <= maxFailureRatio && h.slowness <= maxSlowness) {
		return
	}
	slow, failing := p.peerAverages(w, now)
	if h.ShouldEject(slow, failing) && p.mayEject(now) {
		h.Eject(now)
	}
}

func (p *pool) mayEject(now time.Time) bool {
	out, all := 0, 0
	for _, w := range p.upstreams {
		if !w.acceptsRequests(now) {
			continue
		}
		all++
		if w.health.condition != healthy {
			out++
		}
	}
	return float64(out+1) <= maxEjectedFraction*float64(all)
}

// peers returns the median slowness and the mean failures of the other
// upstreams in use.
func (p *pool) peerAverages(self *upstreamState, now time.Time) (slowness, failures float64) {
	var slow []float64
	for _, w := range p.upstreams {
		if w == self || !w.acceptsRequests(now) || w.health.condition != healthy {
			continue
		}
		slow = append(slow, w.health.slowness)
		failures += w.health.failureRatio
	}
	if len(slow) == 0 {
		return 1, 0
	}
	slices.Sort(slow)
	return slow[(len(slow)-1)/2], failures / float64(len(slow))
}

// limit is how many requests the pool may run at once, trials left aside.
func (p *pool) slotLimit(now time.Time) int {
	sum := 0
	for _, w := range p.upstreams {
		if w.acceptsRequests(now) && w.health.condition == healthy {
			sum += w.slotLimit(now)
		}
	}
	return sum
}

// free is how many more it may start.
func (p *pool) freeSlots(now time.Time) int {
	sum := 0
	for _, w := range p.upstreams {
		sum += w.freeSlots(now)
	}
	return sum
}

// idle tells whether nothing here waits or runs.
func (p *pool) idle() bool {
	return p.queue.Len() == 0 && !slices.ContainsFunc(p.upstreams, func(w *upstreamState) bool { return w.running > 0 })
}
