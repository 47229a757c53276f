package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsambarrow/internal/config"
	"balsambarrow/internal/fairqueue"
)

// pool holds the upstreams of one service at this handler and the queue in
// front of them. It has no side effects: the time is an argument, and it
// starts no goroutines.
type pool struct {
	upstreams []*upstreamState
	queue     *fairqueue.Queue
	// slotTimes estimates how long a request holds a slot, responseTimes how
	// long it takes until the response begins. They differ because a caller
	// that reads slowly holds a slot but does not make the upstream slow.
	slotTimes     *fairqueue.CostEstimator
	responseTimes *fairqueue.CostEstimator
	rng           *rand.Rand
	// waiting holds the tickets of the queued requests.
	waiting map[*Ticket]struct{}
}

func newPool(service config.Service, rng *rand.Rand) *pool {
	expected := time.Duration(service.ExpectedMs * float64(time.Millisecond))
	return &pool{
		queue: fairqueue.New(), slotTimes: fairqueue.NewCostEstimator(expected),
		responseTimes: fairqueue.NewCostEstimator(expected), rng: rng, waiting: map[*Ticket]struct{}{},
	}
}

// enqueue queues a request, or refuses it immediately.
func (p *pool) enqueue(t *Ticket, now time.Time) *fairqueue.Refusal {
	t.item.Cost, t.item.Class = p.slotTimes.Estimate(t.kind)
	if p.responseTimes.HasEnoughSamples(t.kind) {
		t.expectedResponseTime, _ = p.responseTimes.Estimate(t.kind)
	}
	p.queue.SetSlots(p.slotLimit(now))
	refusal := p.queue.Push(&t.item, now)
	if refusal == nil {
		p.waiting[t] = struct{}{}
	}
	return refusal
}

// dispatch starts queued requests while slots are free. It calls onStart for
// each request that starts and onExpired for each one that left the queue
// because it could not meet its deadline.
func (p *pool) dispatch(now time.Time, onStart, onExpired func(*Ticket)) {
	p.ejectOutliers(now)
	p.queue.SetSlots(p.slotLimit(now))
	expireTicket := func(t *Ticket) {
		delete(p.waiting, t)
		onExpired(t)
	}
	p.expireDuringPause(now, expireTicket)
	expire := func(it *fairqueue.Item) { expireTicket(it.Value.(*Ticket)) }
	for p.queue.Len() > 0 && p.freeSlots(now) > 0 {
		it := p.queue.Pop(now, expire)
		if it == nil {
			return
		}
		t := it.Value.(*Ticket)
		delete(p.waiting, t)
		p.start(t, p.pick(t, now))
		onStart(t)
	}
}

// lastResortLoad is added to the load of upstreams that are used only if no
// other one is free. It exceeds any load.
const lastResortLoad = 1e6

func (p *pool) start(t *Ticket, s *upstreamState) {
	s.running++
	t.upstream = s
	t.Upstream, t.Address = s.name, s.Address
	t.trial = s.health.condition == onTrial
}

// pick chooses the upstream for a request. The caller ensures that one is
// free.
//
// It chooses the least loaded of all upstreams. The loads are exact counts,
// so that the better of two random choices would only be worse. An upstream
// in slow start, in a drain or with a warning takes part in only a fraction
// of the choices (see trafficFraction) and is otherwise used only if no other
// upstream is free, and so is an outlier that may not be ejected. An upstream
// that is due for a trial request is chosen first, and one on which an earlier
// attempt failed is chosen last.
func (p *pool) pick(t *Ticket, now time.Time) *upstreamState {
	var best *upstreamState
	bestLoad := math.Inf(1)
	offset := p.rng.IntN(len(p.upstreams))
	for i := range p.upstreams {
		s := p.upstreams[(i+offset)%len(p.upstreams)]
		if s.running == 0 && s.acceptsRequests(now) && !s.paused(now) && s.health.TrialDue(t.safe, now) && s.name != t.avoid {
			return s
		}
		if s.freeSlots(now) == 0 {
			continue
		}
		load := s.load(now)
		if fraction := s.trafficFraction(now); fraction < 1 && p.rng.Float64() >= fraction {
			load += lastResortLoad
		}
		if s.outlier {
			load += 2 * lastResortLoad
		}
		if s.name == t.avoid {
			load = math.MaxFloat64
		}
		if load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// finish records the result of a request and releases its slot.
func (p *pool) finish(t *Ticket, r Result, now time.Time) {
	s := t.upstream
	p.recordResult(t, r, now)
	s.running--
	s.drain.recordRunning(s.running, now)
	p.queue.Done(&t.item, r.Took, now)
}

func (p *pool) recordResult(t *Ticket, r Result, now time.Time) {
	s := t.upstream
	switch r.kind() {
	case resultUnsent:
	case resultShed:
		s.limit.Decrease(s.running, now)
		s.pause(r.RetryAfter, now)
		p.recordTrial(t, false, 0, now)
	case resultFailed:
		s.health.RecordFailure()
		p.recordTrial(t, false, 0, now)
		p.ejectIfUnhealthy(s, now)
	case resultAbandoned:
		p.recordAbandoned(t, r, now)
	case resultResponded:
		p.recordResponse(t, r, now)
	}
}

func (p *pool) recordResponse(t *Ticket, r Result, now time.Time) {
	s := t.upstream
	slowness := slownessOf(r, t.expectedResponseTime)
	s.health.RecordResponse(slowness)
	s.probe.lastResponse = now
	if s.reportsOverload(r.Load) {
		s.health.RecordWarning(now)
	}
	if s.health.condition == healthy {
		p.slotTimes.Record(t.kind, r.Took)
		p.responseTimes.Record(t.kind, r.responseTime())
	}
	if s.running >= s.limit.Value() {
		s.limit.Increase(now)
	}
	p.recordTrial(t, true, slowness, now)
	p.ejectIfUnhealthy(s, now)
}

// recordAbandoned records a request whose caller stopped waiting. If the caller
// waited for many times the expected response time, the request counts as a
// slow response. Otherwise the result is ignored, because it does not show that
// the upstream is slow.
func (p *pool) recordAbandoned(t *Ticket, r Result, now time.Time) {
	slowness := slownessOf(r, t.expectedResponseTime)
	if slowness < maxSlowness {
		return
	}
	t.upstream.health.RecordResponse(slowness)
	p.recordTrial(t, false, slowness, now)
	p.ejectIfUnhealthy(t.upstream, now)
}

// slownessOf returns the ratio of the response time to the expected one, or 1
// if none is known.
func slownessOf(r Result, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(r.responseTime()) / float64(expected)
}

// recordTrial records the result of a trial request.
func (p *pool) recordTrial(t *Ticket, ok bool, slowness float64, now time.Time) {
	s := t.upstream
	if !t.trial || s.health.condition != onTrial {
		return
	}
	peerSlowness, _ := p.peerStats(s, now)
	if s.health.RecordTrial(ok, slowness, peerSlowness, now) {
		s.limit.ResetToOne(now)
	}
}

// ejectIfUnhealthy ejects an upstream whose results are much worse than those
// of its peers, unless too many are ejected already.
func (p *pool) ejectIfUnhealthy(s *upstreamState, now time.Time) {
	h := s.health
	s.outlier = false
	if h.condition != healthy || (h.failureRatio <= maxFailureRatio && h.slowness <= maxSlowness) {
		return
	}
	peerSlowness, peerFailures := p.peerStats(s, now)
	if h.ShouldEject(peerSlowness, peerFailures) {
		s.outlier = true
		p.ejectOutliers(now)
	}
}

// ejectOutliers ejects outliers as far as the limit allows.
func (p *pool) ejectOutliers(now time.Time) {
	for _, s := range p.upstreams {
		if s.outlier && p.mayEject(now) {
			s.outlier = false
			s.health.Eject(now)
		}
	}
}

// mayEject reports whether one more upstream may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	notHealthy, all := 0, 0
	for _, s := range p.upstreams {
		if !s.acceptsRequests(now) {
			continue
		}
		all++
		if s.health.condition != healthy {
			notHealthy++
		}
	}
	return float64(notHealthy+1) <= maxEjectedFraction*float64(all)
}

// peerStats returns the median slowness and the mean failure ratio of the
// other upstreams in use.
func (p *pool) peerStats(self *upstreamState, now time.Time) (slowness, failures float64) {
	var slownesses []float64
	for _, s := range p.upstreams {
		if s == self || !s.acceptsRequests(now) || s.health.condition != healthy {
			continue
		}
		slownesses = append(slownesses, s.health.slowness)
		failures += s.health.failureRatio
	}
	if len(slownesses) == 0 {
		return 1, 0
	}
	slices.Sort(slownesses)
	return slownesses[(len(slownesses)-1)/2], failures / float64(len(slownesses))
}

// slotLimit returns the number of requests that may run at once, not counting
// trial requests.
func (p *pool) slotLimit(now time.Time) int {
	sum := 0
	for _, s := range p.upstreams {
		if s.acceptsRequests(now) && !s.paused(now) && s.health.condition == healthy {
			sum += s.slotLimit(now)
		}
	}
	return sum
}

// freeSlots returns the number of requests that may start now, not counting
// trial requests.
func (p *pool) freeSlots(now time.Time) int {
	sum := 0
	for _, s := range p.upstreams {
		sum += s.freeSlots(now)
	}
	return sum
}

// isIdle reports whether no request is queued or running.
func (p *pool) isIdle() bool {
	return p.queue.Len() == 0 && !slices.ContainsFunc(p.upstreams, func(s *upstreamState) bool { return s.running > 0 })
}
