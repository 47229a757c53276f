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
	meanTime time.Duration
	timeout  time.Duration
	// load is the part of all slots that this kind needs at factor 1.
	load float64
}

// scenario is one load pattern.
type scenario struct {
	name          string
	zones         int
	machines      int
	slots         func(i int) int
	kinds         []kindOfWork
	rates         []float64 // of the customers, relative
	keys          int
	end           time.Duration
	measureFrom   time.Duration // results count from here on
	loadFactor    func(customer int, t time.Duration) float64
	hotKey        bool // 5/6 of customer 0's requests bear its first key
	fault         func(m *machine, t time.Duration)
	faultyMachine bool // machine 0 is the faulty one: count its share
	maxHandlers   int  // handlers asked in turn while one has no room
	retryFraction float64
	loadEnds      time.Duration
}

type machine struct {
	index        int
	slots        int
	slowdown     float64
	fails        bool
	reportsIdle  bool // its load endpoint always says idle
	coldRequests int
	running      int
	reported     int // by its load endpoint, 5 s old
}

type request struct {
	customer, kind, key int
	arrived, deadline   time.Time
	handler             int
	attempts            int
	isRetry             bool
	startedAt           time.Time
	machine             *machine
	finished            bool
	avoid               string
}

// discipline is what is compared: the pool, or a naive one.
type discipline interface {
	// offer takes a request; false: refused, with the time to come back.
	enqueue(r *request) (bool, time.Duration)
	// done is told how a started request ended.
	finished(r *request, result Result)
	// leave is told that the caller of a waiting request gave up.
	cancel(r *request)
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
	errorResponseTime = 200 * time.Microsecond // a shed or failed answer
)

var epoch = time.Unix(1_000_000, 0)

type sim struct {
	scenario
	rng        *rand.Rand
	elapsed    time.Duration
	seq        int
	events     events
	machines   []*machine
	handlers   []discipline
	zoneOfSlot []int // the zone of each slot: callers are spread by capacity
	outcome    *outcome
}

func (s *sim) now() time.Time { return epoch.Add(s.elapsed) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.elapsed + d, s.seq, run})
}

// simulate runs a scenario; of makes a handler's discipline over its machines.
func simulate(sc scenario, seed uint64, of func(*sim, []*machine) discipline) *outcome {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), outcome: newOutcome(sc)}
	perZone := make([][]*machine, sc.zones)
	for i := range sc.machines {
		m := &machine{index: i, slots: sc.slots(i), slowdown: 1}
		s.machines = append(s.machines, m)
		perZone[i%sc.zones] = append(perZone[i%sc.zones], m)
		for range m.slots {
			s.zoneOfSlot = append(s.zoneOfSlot, i%sc.zones)
		}
	}
	for _, ms := range perZone {
		s.handlers = append(s.handlers, of(s, ms))
	}
	for c := range sc.rates {
		for k := range sc.kinds {
			s.startArrivals(c, k)
		}
	}
	s.repeatEvery(100*time.Millisecond, func() {
		for _, m := range s.machines {
			if sc.fault != nil {
				sc.fault(m, s.elapsed)
			}
		}
	})
	s.repeatEvery(5*time.Second, func() {
		for _, m := range s.machines {
			m.reported = m.running
			if m.reportsIdle {
				m.reported = 0
			}
		}
	})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.elapsed = e.at
		e.run()
	}
	return s.outcome
}

func (s *sim) repeatEvery(d time.Duration, run func()) {
	run()
	if s.elapsed < s.end {
		s.after(d, func() { s.repeatEvery(d, run) })
	}
}

// arrivals makes a Poisson stream of one customer and kind.
func (s *sim) startArrivals(customer, kind int) {
	w := s.kinds[kind]
	total := 0.0
	for _, r := range s.rates {
		total += r
	}
	base := w.load * s.totalSlots() / w.meanTime.Seconds() * s.rates[customer] / total
	const step = 100 * time.Millisecond // the longest the rate is taken as constant
	var next func()
	next = func() {
		if s.elapsed >= s.end {
			return
		}
		rate := base * s.loadFactor(customer, s.elapsed)
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

func (s *sim) totalSlots() float64 {
	sum := 0
	for i := range s.scenario.machines {
		sum += s.slots(i)
	}
	return float64(sum)
}

func (s *sim) arrive(customer, kind int) {
	r := &request{
		customer: customer, kind: kind, arrived: s.now(),
		deadline: s.now().Add(s.kinds[kind].timeout), handler: s.zoneOfSlot[s.rng.IntN(len(s.zoneOfSlot))],
	}
	if s.keys > 1 {
		r.key = s.rng.IntN(s.keys)
		if s.hotKey && customer == 0 && s.rng.Float64() < 5.0/6 {
			r.key = 0
		}
	}
	s.outcome.recordOffered(s, r)
	s.after(s.kinds[kind].timeout, func() { s.timeOut(r) })
	s.send(r)
}

func (s *sim) send(r *request) {
	var ok bool
	var retryAfter time.Duration
	for range max(s.maxHandlers, 1) {
		if ok, retryAfter = s.handlers[r.handler].enqueue(r); ok {
			return
		}
		r.handler = (r.handler + 1) % s.zones
	}
	r.finished = true
	s.outcome.recordRefused(s, r, retryAfter)
	if retryAfter > 0 && !r.isRetry && s.rng.Float64() < s.retryFraction {
		back := *r
		back.isRetry, back.finished, back.attempts = true, false, 0
		s.after(retryAfter, func() {
			back.arrived = s.now()
			back.deadline = s.now().Add(s.kinds[r.kind].timeout)
			s.outcome.recordReturn(s)
			s.after(s.kinds[r.kind].timeout, func() { s.timeOut(&back) })
			s.send(&back)
		})
	}
}

// begin is called by a discipline that sends a request to a machine.
func (s *sim) start(r *request, m *machine) {
	r.machine, r.startedAt = m, s.now()
	r.attempts++
	m.running++
	s.outcome.recordSent(s, m)
	mean := float64(s.kinds[r.kind].meanTime)
	took := time.Duration((0.5 + 0.5*s.rng.ExpFloat64()) * mean * m.slowdown)
	result := Result{}
	switch {
	case m.fails:
		took, result.Failed = errorResponseTime, true
	case m.running > m.slots:
		took, result.Shed, result.Failed = errorResponseTime, true, true
	case m.coldRequests > 0:
		m.coldRequests--
		took *= 4
	}
	if left := r.deadline.Sub(s.now()); took > left {
		took, result = left, Result{Abandoned: true}
	}
	result.Took = max(took, 1)
	s.after(took, func() { s.finish(r, result) })
}

func (s *sim) finish(r *request, result Result) {
	r.machine.running--
	s.handlers[r.handler].finished(r, result)
	if result.kind() == resultResponded {
		r.finished = true
		s.outcome.recordServed(s, r)
		return
	}
	if result.Failed && r.attempts < maxAttempts {
		r.avoid = machineName(r.machine)
		r.machine = nil
		s.send(r)
		return
	}
	r.finished = true
	s.outcome.recordUnserved(s, r, result)
}

// giveUp: the deadline of a request that still waits passes.
func (s *sim) timeOut(r *request) {
	if r.finished || r.machine != nil {
		return
	}
	s.handlers[r.handler].cancel(r)
	r.finished = true
	s.outcome.recordUnserved(s, r, Result{Abandoned: true})
}

func machineName(m *machine) string { return fmt.Sprintf("u%02d", m.index) }

// fair is the discipline under test.
type poolDiscipline struct {
	s         *sim
	pool      *pool
	byName    map[string]*machine
	requestOf map[*Ticket]*request
	ticketOf  map[*request]*Ticket
}

func newPoolDiscipline(s *sim, ms []*machine) discipline {
	f := &poolDiscipline{
		s: s, byName: map[string]*machine{}, requestOf: map[*Ticket]*request{}, ticketOf: map[*request]*Ticket{},
		pool: newPool(config.Service{ExpectedMs: milliseconds(s.kinds[0].meanTime)}, s.rng),
	}
	for _, m := range ms {
		f.byName[machineName(m)] = m
		f.pool.upstreams = append(f.pool.upstreams, newUpstreamState(machineName(m), config.Upstream{Slots: m.slots}))
	}
	return f
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *poolDiscipline) enqueue(r *request) (bool, time.Duration) {
	t := newTicket(nil, f.pool, Request{
		Customer: fmt.Sprint(r.customer), Key: uint64(r.key), Kind: uint64(r.kind),
		Deadline: r.deadline, Safe: true, Avoid: r.avoid,
	}, 1)
	if refusal := f.pool.enqueue(t, f.s.now()); refusal != nil {
		return false, refusal.RetryAfter
	}
	f.requestOf[t], f.ticketOf[r] = r, t
	f.dispatch()
	return true, 0
}

func (f *poolDiscipline) dispatch() {
	f.pool.dispatch(f.s.now(), func(t *Ticket) { f.s.start(f.requestOf[t], f.byName[t.Upstream]) }, func(t *Ticket) {
		r := f.requestOf[t]
		r.finished = true
		f.remove(r)
		f.s.outcome.recordUnserved(f.s, r, Result{Abandoned: true})
	})
}

func (f *poolDiscipline) remove(r *request) {
	delete(f.requestOf, f.ticketOf[r])
	delete(f.ticketOf, r)
}

func (f *poolDiscipline) finished(r *request, result Result) {
	f.pool.finish(f.ticketOf[r], result, f.s.now())
	f.remove(r)
	f.dispatch()
}

func (f *poolDiscipline) cancel(r *request) {
	f.pool.queue.Remove(&f.ticketOf[r].item, f.s.now())
	f.remove(r)
}

// naive is the baseline: one FIFO queue of 1024, whose waiters leave at their
// deadline, and a fixed limit or none.
type fifoDiscipline struct {
	s         *sim
	machines  []*machine
	running   map[*machine]int
	waiting   []*request
	next      int
	balancing balancing
}

// choice of a machine by a naive handler.
type balancing int

const (
	roundRobin            balancing = iota // among those with a free slot
	leastRunning                           // by its own count
	leastReported                          // by load reports, without limit
	roundRobinUnlimited                    // round robin without limit
	leastRunningUnbounded                  // leastRunning with a queue without bound
)

func newFIFODiscipline(choose balancing) func(*sim, []*machine) discipline {
	return func(s *sim, ms []*machine) discipline {
		return &fifoDiscipline{s: s, machines: ms, running: map[*machine]int{}, balancing: choose}
	}
}

const fifoQueueLimit = 1024

func (n *fifoDiscipline) enqueue(r *request) (bool, time.Duration) {
	if n.balancing != leastRunningUnbounded && len(n.waiting) >= fifoQueueLimit {
		return false, time.Second
	}
	n.waiting = append(n.waiting, r)
	n.dispatch()
	return true, 0
}

func (n *fifoDiscipline) dispatch() {
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
		n.running[m]++
		n.s.start(r, m)
	}
}

func (n *fifoDiscipline) pick() *machine {
	var best *machine
	bestLoad := 0
	n.next++
	for i := range n.machines {
		m := n.machines[(n.next+i)%len(n.machines)]
		load := 0
		switch {
		case n.balancing == leastReported:
			load = m.reported
		case n.balancing == roundRobinUnlimited:
		case n.running[m] >= n.s.slots(m.index):
			continue
		case n.balancing == leastRunning, n.balancing == leastRunningUnbounded:
			load = n.running[m]
		}
		if best == nil || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best
}

func (n *fifoDiscipline) finished(r *request, _ Result) {
	n.running[r.machine]--
	n.dispatch()
}

func (n *fifoDiscipline) cancel(*request) {}
