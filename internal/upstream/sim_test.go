package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"balsambarrow/internal/config"
)

// The simulation drives the pools of six handlers, one in each zone, on
// simulated time, and judges them by what callers receive. Machines stand for
// upstreams: they shed what exceeds their true slots, or get slow, or fail.

// kindOfWork is one kind of request of the simulated service.
type kindOfWork struct {
	mean    time.Duration
	timeout time.Duration
	// load is the part of all slots that this kind needs at factor 1.
	load float64
}

// scenario is one load pattern.
type scenario struct {
	name       string
	zones      int
	machines   int
	slots      func(i int) int
	kinds      []kindOfWork
	rates      []float64 // of the customers, relative
	keys       int
	end        time.Duration
	measure    time.Duration // results count from here on
	factor     func(customer int, t time.Duration) float64
	hotKey     bool // 5/6 of customer 0's requests bear its first key
	fault      func(m *machine, t time.Duration)
	badMachine bool // machine 0 is the faulty one: count its share
	targets    int  // handlers asked in turn while one has no room
	comeBack   float64
	loadEnds   time.Duration
}

type machine struct {
	index    int
	slots    int
	factor   float64
	fails    bool
	lies     bool // its load endpoint always says idle
	cold     int
	running  int
	reported int // by its load endpoint, 5 s old
}

type request struct {
	customer, kind, key int
	arrived, deadline   time.Time
	handler             int
	attempts            int
	returned            bool
	began               time.Time
	machine             *machine
	finished            bool
	avoid               string
}

// discipline is what is compared: the pool, or a naive one.
type discipline interface {
	// offer takes a request; false: refused, with the time to come back.
	offer(r *request) (bool, time.Duration)
	// done is told how a started request ended.
	done(r *request, result Result)
	// leave is told that the caller of a waiting request gave up.
	leave(r *request)
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	refuseTime = 200 * time.Microsecond // a shed or failed answer
)

var epoch = time.Unix(1_000_000, 0)

type sim struct {
	scenario
	rng      *rand.Rand
	t        time.Duration
	seq      int
	events   events
	machines []*machine
	handlers []discipline
	bySlot   []int // the zone of each slot: callers are spread by capacity
	out      *outcome
}

func (s *sim) now() time.Time { return epoch.Add(s.t) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.t + d, s.seq, run})
}

// simulate runs a scenario; of makes a handler's discipline over its machines.
func simulate(sc scenario, seed uint64, of func(*sim, []*machine) discipline) *outcome {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), out: newOutcome(sc)}
	perZone := make([][]*machine, sc.zones)
	for i := range sc.machines {
		m := &machine{index: i, slots: sc.slots(i), factor: 1}
		s.machines = append(s.machines, m)
		perZone[i%sc.zones] = append(perZone[i%sc.zones], m)
		for range m.slots {
			s.bySlot = append(s.bySlot, i%sc.zones)
		}
	}
	for _, ms := range perZone {
		s.handlers = append(s.handlers, of(s, ms))
	}
	for c := range sc.rates {
		for k := range sc.kinds {
			s.arrivals(c, k)
		}
	}
	s.every(100*time.Millisecond, func() {
		for _, m := range s.machines {
			if sc.fault != nil {
				sc.fault(m, s.t)
			}
		}
	})
	s.every(5*time.Second, func() {
		for _, m := range s.machines {
			m.reported = m.running
			if m.lies {
				m.reported = 0
			}
		}
	})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.t = e.at
		e.run()
	}
	return s.out
}

func (s *sim) every(d time.Duration, run func()) {
	run()
	if s.t < s.end {
		s.after(d, func() { s.every(d, run) })
	}
}

// arrivals makes a Poisson stream of one customer and kind.
func (s *sim) arrivals(customer, kind int) {
	w := s.kinds[kind]
	total := 0.0
	for _, r := range s.rates {
		total += r
	}
	base := w.load * s.capacitySlots() / w.mean.Seconds() * s.rates[customer] / total
	const step = 100 * time.Millisecond // the longest the rate is taken as constant
	var next func()
	next = func() {
		if s.t >= s.end {
			return
		}
		rate := base * s.factor(customer, s.t)
		gap := step
		if rate > 0 {
			gap = time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		}
		if gap >= step {
			s.after(step, next)
			return
		}
		s.after(gap, func() {
			s.arrive(customer, kind)
			next()
		})
	}
	next()
}

func (s *sim) capacitySlots() float64 {
	sum := 0
	for i := range s.scenario.machines {
		sum += s.slots(i)
	}
	return float64(sum)
}

func (s *sim) arrive(customer, kind int) {
	r := &request{
		customer: customer, kind: kind, arrived: s.now(),
		deadline: s.now().Add(s.kinds[kind].timeout), handler: s.bySlot[s.rng.IntN(len(s.bySlot))],
	}
	if s.keys > 1 {
		r.key = s.rng.IntN(s.keys)
		if s.hotKey && customer == 0 && s.rng.Float64() < 5.0/6 {
			r.key = 0
		}
	}
	s.out.offered(s, r)
	s.after(s.kinds[kind].timeout, func() { s.giveUp(r) })
	s.offer(r)
}

func (s *sim) offer(r *request) {
	var ok bool
	var retryAfter time.Duration
	for range max(s.targets, 1) {
		if ok, retryAfter = s.handlers[r.handler].offer(r); ok {
			return
		}
		r.handler = (r.handler + 1) % s.zones
	}
	r.finished = true
	s.out.refused(s, r, retryAfter)
	if retryAfter > 0 && !r.returned && s.rng.Float64() < s.comeBack {
		back := *r
		back.returned, back.finished, back.attempts = true, false, 0
		s.after(retryAfter, func() {
			back.arrived = s.now()
			back.deadline = s.now().Add(s.kinds[r.kind].timeout)
			s.out.cameBack(s)
			s.after(s.kinds[r.kind].timeout, func() { s.giveUp(&back) })
			s.offer(&back)
		})
	}
}

// begin is called by a discipline that sends a request to a machine.
func (s *sim) begin(r *request, m *machine) {
	r.machine, r.began = m, s.now()
	r.attempts++
	m.running++
	s.out.dispatched(s, m)
	mean := float64(s.kinds[r.kind].mean)
	took := time.Duration((0.5 + 0.5*s.rng.ExpFloat64()) * mean * m.factor)
	result := Result{}
	switch {
	case m.fails:
		took, result.Failed = refuseTime, true
	case m.running > m.slots:
		took, result.Shed, result.Failed = refuseTime, true, true
	case m.cold > 0:
		m.cold--
		took *= 4
	}
	if left := r.deadline.Sub(s.now()); took > left {
		took, result = left, Result{Abandoned: true}
	}
	result.Took = max(took, 1)
	s.after(took, func() { s.ended(r, result) })
}

func (s *sim) ended(r *request, result Result) {
	r.machine.running--
	s.handlers[r.handler].done(r, result)
	if result.kind() == resultAnswered {
		r.finished = true
		s.out.served(s, r)
		return
	}
	if result.Failed && r.attempts < maxAttempts {
		r.avoid = name(r.machine)
		r.machine = nil
		s.offer(r)
		return
	}
	r.finished = true
	s.out.lost(s, r, result)
}

// giveUp: the deadline of a request that still waits passes.
func (s *sim) giveUp(r *request) {
	if r.finished || r.machine != nil {
		return
	}
	s.handlers[r.handler].leave(r)
	r.finished = true
	s.out.lost(s, r, Result{Abandoned: true})
}

func name(m *machine) string { return fmt.Sprintf("u%02d", m.index) }

// fair is the discipline under test.
type fair struct {
	s       *sim
	pool    *pool
	byName  map[string]*machine
	tickets map[*Ticket]*request
	of      map[*request]*Ticket
}

func newFair(s *sim, ms []*machine) discipline {
	f := &fair{
		s: s, byName: map[string]*machine{}, tickets: map[*Ticket]*request{}, of: map[*request]*Ticket{},
		pool: newPool(config.Service{ExpectedMs: milliseconds(s.kinds[0].mean)}, s.rng),
	}
	for _, m := range ms {
		f.byName[name(m)] = m
		f.pool.adopt(name(m), config.Upstream{Slots: m.slots}, drain{}, s.now())
	}
	return f
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *fair) offer(r *request) (bool, time.Duration) {
	t := newTicket(nil, f.pool, Request{
		Customer: fmt.Sprint(r.customer), Key: uint64(r.key), Kind: uint64(r.kind),
		Deadline: r.deadline, Safe: true, Avoid: r.avoid,
	}, 1)
	if refusal := f.pool.offer(t, f.s.now()); refusal != nil {
		return false, refusal.RetryAfter
	}
	f.tickets[t], f.of[r] = r, t
	f.serve()
	return true, 0
}

func (f *fair) serve() {
	f.pool.serve(f.s.now(), func(t *Ticket) { f.s.begin(f.tickets[t], f.byName[t.Upstream]) }, func(t *Ticket) {
		r := f.tickets[t]
		r.finished = true
		f.forget(r)
		f.s.out.lost(f.s, r, Result{Abandoned: true})
	})
}

func (f *fair) forget(r *request) {
	delete(f.tickets, f.of[r])
	delete(f.of, r)
}

func (f *fair) done(r *request, result Result) {
	f.pool.done(f.of[r], result, f.s.now())
	f.forget(r)
	f.serve()
}

func (f *fair) leave(r *request) {
	f.pool.queue.Remove(&f.of[r].item, f.s.now())
	f.forget(r)
}

// naive is the baseline: one FIFO queue of 1024, whose waiters leave at their
// deadline, and a fixed limit or none.
type naive struct {
	s       *sim
	ms      []*machine
	own     map[*machine]int
	waiting []*request
	next    int
	choose  choice
}

// choice of a machine by a naive handler.
type choice int

const (
	roundRobin    choice = iota // among those with a free slot
	leastRunning                // by its own count
	leastReported               // by load reports, without limit
	unlimited                   // round robin without limit
	unbounded                   // leastRunning with a queue without bound
)

func newNaive(choose choice) func(*sim, []*machine) discipline {
	return func(s *sim, ms []*machine) discipline {
		return &naive{s: s, ms: ms, own: map[*machine]int{}, choose: choose}
	}
}

const naiveBound = 1024

func (n *naive) offer(r *request) (bool, time.Duration) {
	if n.choose != unbounded && len(n.waiting) >= naiveBound {
		return false, time.Second
	}
	n.waiting = append(n.waiting, r)
	n.serve()
	return true, 0
}

func (n *naive) serve() {
	for len(n.waiting) > 0 {
		m := n.pick()
		if m == nil {
			return
		}
		r := n.waiting[0]
		n.waiting = n.waiting[1:]
		if r.finished {
			continue
		}
		n.own[m]++
		n.s.begin(r, m)
	}
}

func (n *naive) pick() *machine {
	var best *machine
	bestLoad := 0
	n.next++
	for i := range n.ms {
		m := n.ms[(n.next+i)%len(n.ms)]
		load := 0
		switch {
		case n.choose == leastReported:
			load = m.reported
		case n.choose == unlimited:
		case n.own[m] >= n.s.slots(m.index):
			continue
		case n.choose == leastRunning, n.choose == unbounded:
			load = n.own[m]
		}
		if best == nil || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best
}

func (n *naive) done(r *request, _ Result) {
	n.own[r.machine]--
	n.serve()
}

func (n *naive) leave(*request) {}
