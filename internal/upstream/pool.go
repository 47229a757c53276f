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
	workers []*worker
	queue   *fairqueue.Queue
	// costs learns how long a slot is held, answers how long until an answer
	// begins: a caller that reads slowly holds a slot but does not make the
	// upstream slow.
	costs   *fairqueue.Costs
	answers *fairqueue.Costs
	rng     *rand.Rand
}

func newPool(service config.Service, rng *rand.Rand) *pool {
	expected := time.Duration(service.ExpectedMs * float64(time.Millisecond))
	return &pool{
		queue: fairqueue.New(), costs: fairqueue.NewCosts(expected),
		answers: fairqueue.NewCosts(expected), rng: rng,
	}
}

// offer queues a request, or refuses it at once.
func (p *pool) offer(t *Ticket, now time.Time) *fairqueue.Refusal {
	t.item.Cost, t.item.Class = p.costs.Estimate(t.kind)
	if p.answers.Known(t.kind) {
		t.expected, _ = p.answers.Estimate(t.kind)
	}
	p.queue.SetRoom(p.limit(now))
	return p.queue.Push(&t.item, now)
}

// serve starts waiting requests while there is room. granted is told of each
// that starts, late of each that left the queue because it could not be done
// in time.
func (p *pool) serve(now time.Time, granted, late func(*Ticket)) {
	p.queue.SetRoom(p.limit(now))
	drop := func(it *fairqueue.Item) { late(it.Value.(*Ticket)) }
	for p.queue.Len() > 0 && p.free(now) > 0 {
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
const lastResort = 1e6

func (p *pool) start(t *Ticket, w *worker) {
	w.running++
	t.worker = w
	t.Upstream, t.Address = w.name, w.Address
	t.trial = w.health.condition == onTrial
}

// pick chooses the upstream for a request. There is a free one.
//
// The least loaded is taken over all of the pool: its counts are true, not
// reports, so two random choices would only be worse. One that warms up, drains
// or has a complaint against it is considered in the part of the choices that
// it should get, else only where no other is free. An upstream on trial comes first, one that an earlier attempt failed on comes last.
func (p *pool) pick(t *Ticket, now time.Time) *worker {
	var best *worker
	bestLoad := math.Inf(1)
	offset := p.rng.IntN(len(p.workers))
	for i := range p.workers {
		w := p.workers[(i+offset)%len(p.workers)]
		if w.running == 0 && w.takesWork(now) && w.health.TrialDue(t.safe, now) && w.name != t.avoid {
			return w
		}
		if w.free(now) == 0 {
			continue
		}
		load := w.load()
		if part := w.part(now); part < 1 && p.rng.Float64() >= part {
			load += lastResort
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
	w := t.worker
	p.judge(t, r, now)
	w.running--
	w.drain.note(w.running, now)
	p.queue.Done(&t.item, r.Took, now)
}

func (p *pool) judge(t *Ticket, r Result, now time.Time) {
	w := t.worker
	switch r.kind() {
	case resultUnsent:
	case resultShed:
		w.limit.Cut(w.running, now)
		p.tried(t, false, 0, now)
	case resultFailed:
		w.health.Failed()
		p.tried(t, false, 0, now)
		p.review(w, now)
	case resultAbandoned:
		p.abandoned(t, r, now)
	case resultAnswered:
		p.answered(t, r, now)
	}
}

func (p *pool) answered(t *Ticket, r Result, now time.Time) {
	w := t.worker
	slowness := slownessOf(r, t.expected)
	w.health.Succeeded(slowness)
	w.probe.answered = now
	if w.health.condition == healthy {
		p.costs.Learn(t.kind, r.Took)
		p.answers.Learn(t.kind, r.answer())
	}
	if w.running >= w.limit.Value() {
		w.limit.Grow(now)
	}
	p.tried(t, true, slowness, now)
	p.review(w, now)
}

// abandoned: the caller gave up. An answer that had not come after many times
// the expected time counts as slow; one that had not been given the time
// says nothing.
func (p *pool) abandoned(t *Ticket, r Result, now time.Time) {
	slowness := slownessOf(r, t.expected)
	if slowness < slownessLimit {
		return
	}
	t.worker.health.Succeeded(slowness)
	p.tried(t, false, slowness, now)
	p.review(t.worker, now)
}

// slownessOf compares with what is usual for the kind of work; 1 if nothing is.
func slownessOf(r Result, expected time.Duration) float64 {
	if expected <= 0 {
		return 1
	}
	return float64(r.answer()) / float64(expected)
}

// tried settles a trial.
func (p *pool) tried(t *Ticket, ok bool, slowness float64, now time.Time) {
	w := t.worker
	if !t.trial || w.health.condition != onTrial {
		return
	}
	slow, _ := p.peers(w, now)
	if w.health.Tried(ok, slowness, slow, now) {
		w.limit.Restart(now)
	}
}

// review ejects an upstream that is sick beside its peers, within the bound.
func (p *pool) review(w *worker, now time.Time) {
	h := w.health
	if h.condition != healthy || (h.failures <= failureLimit && h.slowness <= slownessLimit) {
		return
	}
	slow, failing := p.peers(w, now)
	if h.Sick(slow, failing) && p.mayEject(now) {
		h.Eject(now)
	}
}

func (p *pool) mayEject(now time.Time) bool {
	out, all := 0, 0
	for _, w := range p.workers {
		if !w.takesWork(now) {
			continue
		}
		all++
		if w.health.condition != healthy {
			out++
		}
	}
	return float64(out+1) <= maxEjectedPart*float64(all)
}

// peers returns the median slowness and the mean failures of the other
// upstreams in use.
func (p *pool) peers(self *worker, now time.Time) (slowness, failures float64) {
	var slow []float64
	for _, w := range p.workers {
		if w == self || !w.takesWork(now) || w.health.condition != healthy {
			continue
		}
		slow = append(slow, w.health.slowness)
		failures += w.health.failures
	}
	if len(slow) == 0 {
		return 1, 0
	}
	slices.Sort(slow)
	return slow[(len(slow)-1)/2], failures / float64(len(slow))
}

// limit is how many requests the pool may run at once, trials left aside.
func (p *pool) limit(now time.Time) int {
	sum := 0
	for _, w := range p.workers {
		if w.takesWork(now) && w.health.condition == healthy {
			sum += w.limit.Value()
		}
	}
	return sum
}

// free is how many more it may start.
func (p *pool) free(now time.Time) int {
	sum := 0
	for _, w := range p.workers {
		sum += w.free(now)
	}
	return sum
}

// idle tells whether nothing here waits or runs.
func (p *pool) idle() bool {
	return p.queue.Len() == 0 && !slices.ContainsFunc(p.workers, func(w *worker) bool { return w.running > 0 })
}
