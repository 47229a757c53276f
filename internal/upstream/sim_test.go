package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"balsambarrow/internal/config"
)

// The simulation runs the pool of one handler in each of six zones on simulated
// time and evaluates the responses that callers receive. Machines represent
// upstreams: they shed requests beyond their true slots, become slow, or fail.

// kindOfWork is one kind of request of the simulated service.
type kindOfWork struct {
	meanTime time.Duration
	timeout  time.Duration
	// load is the fraction of all slots that this kind needs at load factor
	// 1.
	load float64
}

// scenario is a load pattern with optional faults.
type scenario struct {
	name          string
	zones         int
	machines      int
	slots         func(i int) int
	kinds         []kindOfWork
	rates         []float64 // of the customers, relative to each other
	keys          int
	end           time.Duration
	measureFrom   time.Duration // results before this time are ignored
	loadFactor    func(customer int, t time.Duration) float64
	hotKey        bool // 5/6 of the requests of customer 0 use its first key
	fault         func(m *machine, t time.Duration)
	faultyMachine bool // machine 0 is faulty, and its share of the requests is reported
	maxHandlers   int  // handlers tried in order until one accepts the request
	retryFraction float64
	loadEnds      time.Duration
}

type machine struct {
	index        int
	slots        int
	slowdown     float64
	fails        bool
	reportsIdle  bool // its load endpoint always reports no load
	coldRequests int
	running      int
	reported     int // running requests reported by its load endpoint, up to 5 s old
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

// discipline is a queueing and balancing discipline of one handler.
type discipline interface {
	// enqueue accepts a request, or returns false and the retry delay.
	enqueue(r *request) (bool, time.Duration)
	// finished is called when a started request has ended.
	finished(r *request, result Result)
	// cancel is called when a queued request reaches its deadline.
	cancel(r *request)
}

type event struct {
	dueAt time.Duration
	seq   int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].dueAt < e[j].dueAt || e[i].dueAt == e[j].dueAt && e[i].seq < e[j].seq
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
	errorResponseTime = 200 * time.Microsecond // duration of a shed or failed request
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
	zoneOfSlot []int // zone of each slot; callers are distributed by capacity
	outcome    *outcome
}

func (s *sim) now() time.Time { return epoch.Add(s.elapsed) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.elapsed + d, s.seq, run})
}

// simulate runs a scenario. newDiscipline returns the discipline of a handler
// with the given machines.
func simulate(sc scenario, seed uint64, newDiscipline func(*sim, []*machine) discipline) *outcome {
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
	for _, zoneMachines := range perZone {
		s.handlers = append(s.handlers, newDiscipline(s, zoneMachines))
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
		s.elapsed = e.dueAt
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

// startArrivals starts the Poisson arrivals of one customer and kind.
func (s *sim) startArrivals(customer, kind int) {
	w := s.kinds[kind]
	total := 0.0
	for _, r := range s.rates {
		total += r
	}
	base := w.load * s.totalSlots() / w.meanTime.Seconds() * s.rates[customer] / total
	const step = 100 * time.Millisecond // interval over which the rate is taken as constant
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
		retry := *r
		retry.isRetry, retry.finished, retry.attempts = true, false, 0
		s.after(retryAfter, func() {
			retry.arrived = s.now()
			retry.deadline = s.now().Add(s.kinds[r.kind].timeout)
			s.outcome.recordReturn(s)
			s.after(s.kinds[r.kind].timeout, func() { s.timeOut(&retry) })
			s.send(&retry)
		})
	}
}

// start is called by a discipline to send a request to a machine.
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
	if remaining := r.deadline.Sub(s.now()); took > remaining {
		took, result = remaining, Result{Abandoned: true}
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

// timeOut is called at the deadline of a request and cancels it if it is
// still queued.
func (s *sim) timeOut(r *request) {
	if r.finished || r.machine != nil {
		return
	}
	s.handlers[r.handler].cancel(r)
	r.finished = true
	s.outcome.recordUnserved(s, r, Result{Abandoned: true})
}

func machineName(m *machine) string { return fmt.Sprintf("u%02d", m.index) }

// poolDiscipline is the discipline under test.
type poolDiscipline struct {
	sim       *sim
	pool      *pool
	byName    map[string]*machine
	requestOf map[*Ticket]*request
	ticketOf  map[*request]*Ticket
}

func newPoolDiscipline(s *sim, machines []*machine) discipline {
	d := &poolDiscipline{
		sim: s, byName: map[string]*machine{}, requestOf: map[*Ticket]*request{}, ticketOf: map[*request]*Ticket{},
		pool: newPool(config.Service{ExpectedMs: milliseconds(s.kinds[0].meanTime)}, s.rng),
	}
	for _, m := range machines {
		d.byName[machineName(m)] = m
		d.pool.upstreams = append(d.pool.upstreams, newUpstreamState(machineName(m), config.Upstream{Slots: m.slots}))
	}
	return d
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (d *poolDiscipline) enqueue(r *request) (bool, time.Duration) {
	t := newTicket(nil, d.pool, Request{
		Customer: fmt.Sprint(r.customer), Key: uint64(r.key), Kind: uint64(r.kind),
		Deadline: r.deadline, Safe: true, Avoid: r.avoid,
	}, 1)
	if refusal := d.pool.enqueue(t, d.sim.now()); refusal != nil {
		return false, refusal.RetryAfter
	}
	d.requestOf[t], d.ticketOf[r] = r, t
	d.dispatch()
	return true, 0
}

func (d *poolDiscipline) dispatch() {
	d.pool.dispatch(d.sim.now(), func(t *Ticket) { d.sim.start(d.requestOf[t], d.byName[t.Upstream]) }, func(t *Ticket) {
		r := d.requestOf[t]
		r.finished = true
		d.remove(r)
		d.sim.outcome.recordUnserved(d.sim, r, Result{Abandoned: true})
	})
}

func (d *poolDiscipline) remove(r *request) {
	delete(d.requestOf, d.ticketOf[r])
	delete(d.ticketOf, r)
}

func (d *poolDiscipline) finished(r *request, result Result) {
	d.pool.finish(d.ticketOf[r], result, d.sim.now())
	d.remove(r)
	d.dispatch()
}

func (d *poolDiscipline) cancel(r *request) {
	d.pool.queue.Remove(&d.ticketOf[r].item, d.sim.now())
	d.remove(r)
}

// fifoDiscipline is the baseline: a FIFO queue of fifoQueueLimit requests,
// which leave it at their deadline, and a fixed concurrency limit or none.
type fifoDiscipline struct {
	sim       *sim
	machines  []*machine
	running   map[*machine]int
	waiting   []*request
	next      int
	balancing balancing
}

// balancing is how a fifoDiscipline chooses a machine.
type balancing int

const (
	roundRobin            balancing = iota // among machines with a free slot
	leastRunning                           // by the count of the handler
	leastReported                          // by load reports, without a limit
	roundRobinUnlimited                    // round robin without a limit
	leastRunningUnbounded                  // leastRunning with an unbounded queue
)

func newFIFODiscipline(policy balancing) func(*sim, []*machine) discipline {
	return func(s *sim, machines []*machine) discipline {
		return &fifoDiscipline{sim: s, machines: machines, running: map[*machine]int{}, balancing: policy}
	}
}

const fifoQueueLimit = 1024

func (d *fifoDiscipline) enqueue(r *request) (bool, time.Duration) {
	if d.balancing != leastRunningUnbounded && len(d.waiting) >= fifoQueueLimit {
		return false, time.Second
	}
	d.waiting = append(d.waiting, r)
	d.dispatch()
	return true, 0
}

func (d *fifoDiscipline) dispatch() {
	for len(d.waiting) > 0 {
		m := d.pick()
		if m == nil {
			return
		}
		r := d.waiting[0]
		d.waiting = d.waiting[1:]
		if r.finished {
			continue
		}
		d.running[m]++
		d.sim.start(r, m)
	}
}

func (d *fifoDiscipline) pick() *machine {
	var best *machine
	bestLoad := 0
	d.next++
	for i := range d.machines {
		m := d.machines[(d.next+i)%len(d.machines)]
		load := 0
		switch {
		case d.balancing == leastReported:
			load = m.reported
		case d.balancing == roundRobinUnlimited:
		case d.running[m] >= d.sim.slots(m.index):
			continue
		case d.balancing == leastRunning, d.balancing == leastRunningUnbounded:
			load = d.running[m]
		}
		if best == nil || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	return best
}

func (d *fifoDiscipline) finished(r *request, _ Result) {
	d.running[r.machine]--
	d.dispatch()
}

func (d *fifoDiscipline) cancel(*request) {}
