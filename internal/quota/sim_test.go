package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs one quota on a fleet of daemons in simulated time. It is
// deterministic for a seed.
type sim struct {
	now       time.Time
	start     time.Time
	seq       int
	events    eventHeap
	rng       *rand.Rand
	nodes     []*simNode
	oneWay    time.Duration
	total     Share
	central   *Bucket // admits what a single bucket for the fleet would
	reference *Bucket // must cover every spent token
	measureAt time.Time
	policy    simPolicy
	loss      float64

	sent, refused, wrongRefusals, centralAdmitted, admitted, overshoot int
	waits                                                              []time.Duration
	messages, bytes                                                    int
	perSecond                                                          map[int][2]int // wrong refusals, sent
	retries, retriesServed                                             int
	honorRetryAfter                                                    bool // callers retry after the time they were given
}

// simPolicy selects how daemons obtain tokens.
type simPolicy int

const (
	policyLoans simPolicy = iota
	policyEven
	policyProportional
	policyAllocator
	policyStore
)

var policyNames = []string{"hub and loans", "even split", "shares by demand", "leased allocator", "store tokens"}

type simEvent struct {
	dueAt time.Time
	seq   int
	run   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].seq < h[j].seq
	}
	return h[i].dueAt.Before(h[j].dueAt)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simNode struct {
	sim           *sim
	name          string
	region        int
	account       *Account
	scores        map[string]float64
	waiters       []*simWaiter
	remoteTickets []*simRemote
	wakeAt        time.Time
	down          bool
}

// simWaiter is a request that waits for a token at its entry node.
type simWaiter struct {
	ticket    *Ticket
	arrivedAt time.Time
	central   bool
	retry     bool
}

// simRemote is a loan request that waits in the queue of its source.
type simRemote struct {
	ticket *Ticket
	from   *simNode
	out    OutgoingRequest
}

// simRegions maps ten daemons to 3 regions. Their zones have 2, 2, 2, 2, 1 and
// 1 daemons.
var simRegions = []int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2}

// simWeights are the shares of the daemons in slots: 24 slots, 4 for each
// zone.
var simWeights = []float64{2, 2, 2, 2, 2, 2, 2, 2, 4, 4}

func newSim(seed uint64, total Share, oneWay time.Duration, p simPolicy) *sim {
	return newSimWithWeights(simWeights, seed, total, oneWay, p)
}

func newSimWithWeights(weights []float64, seed uint64, total Share, oneWay time.Duration, p simPolicy) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), total: total, oneWay: oneWay, policy: p, perSecond: map[int][2]int{}}
	s.start = time.Unix(1000, 0)
	s.now = s.start
	s.central = NewBucket(total.Rate, total.Burst, total.Burst, s.now)
	s.reference = NewBucket(total.Rate, total.Burst, total.Burst, s.now)
	for i, region := range simRegions {
		own := total.times(weights[i] / 24)
		if p == policyAllocator || p == policyStore {
			own = Share{}
			if i == 0 {
				own = total
			}
		}
		n := &simNode{sim: s, name: fmt.Sprint("d", i), region: region, scores: map[string]float64{}}
		n.account = NewAccount("q", own, total, own.Burst, s.now)
		s.nodes = append(s.nodes, n)
		s.after(time.Duration(i)*5*time.Millisecond, n.tick)
		s.after(time.Duration(i)*50*time.Millisecond, n.heartbeat)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) run(until time.Duration) {
	end := s.start.Add(until)
	for len(s.events) > 0 && !s.events[0].dueAt.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.dueAt
		e.run()
	}
	s.now = end
}

func (s *sim) delay(a, b *simNode) time.Duration {
	if a.region == b.region {
		return 500 * time.Microsecond
	}
	return s.oneWay
}

// load generates Poisson arrivals at perSecond, each at a node picked by
// weight.
func (s *sim) load(perSecond float64, weights func(since time.Duration) []float64) {
	var next func()
	next = func() {
		s.pick(weights(s.now.Sub(s.start))).arrive(false)
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *sim) pick(weights []float64) *simNode {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := s.rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return s.nodes[i]
		}
	}
	return s.nodes[len(s.nodes)-1]
}

func (s *sim) measured() bool { return !s.now.Before(s.measureAt) }

func (s *sim) second() int { return int(s.now.Sub(s.start) / time.Second) }

func (n *simNode) arrive(retry bool) {
	s := n.sim
	central, _ := s.central.Take(1, s.now)
	if s.measured() && !retry {
		s.sent++
		if central {
			s.centralAdmitted++
		}
		c := s.perSecond[s.second()]
		c[1]++
		s.perSecond[s.second()] = c
	}
	w := &simWaiter{arrivedAt: s.now, central: central, retry: retry}
	if s.policy == policyAllocator || s.policy == policyStore {
		n.fetchToken(w)
		return
	}
	if ok, _ := n.account.Take(1, s.now); ok {
		w.admitted(n)
		n.plan()
		return
	}
	t, wait := n.account.JoinQueue(1, time.Second, s.now)
	if t == nil {
		w.refused(n, wait)
		return
	}
	w.ticket = t
	n.waiters = append(n.waiters, w)
	n.plan()
}

// fetchToken requests the token of each request from the single allocator (or
// the store).
func (n *simNode) fetchToken(w *simWaiter) {
	s, hub := n.sim, n.sim.nodes[0]
	oneWay := s.delay(n, hub)
	s.countMessages(2, 60)
	s.after(oneWay, func() {
		ok, wait := hub.account.Take(1, s.now)
		s.after(oneWay, func() {
			if ok {
				w.admitted(n)
				return
			}
			w.refused(n, wait)
		})
	})
}

func (s *sim) countMessages(messages, bytes int) {
	if s.measured() {
		s.messages += messages
		s.bytes += bytes
	}
}

func (w *simWaiter) admitted(n *simNode) {
	s := n.sim
	if s.policy != policyAllocator && s.policy != policyStore {
		if ok, _ := s.reference.Take(1-1e-6, s.now); !ok {
			s.overshoot++
		}
	}
	if w.retry {
		s.retriesServed++
		return
	}
	if s.measured() {
		s.admitted++
		s.waits = append(s.waits, s.now.Sub(w.arrivedAt))
	}
}

func (w *simWaiter) refused(n *simNode, wait time.Duration) {
	s := n.sim
	if w.retry || !s.measured() {
		return
	}
	s.refused++
	if w.central {
		s.wrongRefusals++
		c := s.perSecond[s.second()]
		c[0]++
		s.perSecond[s.second()] = c
	}
	if s.honorRetryAfter && wait >= 0 {
		s.retries++
		s.after(wait+time.Millisecond, func() { n.arrive(true) })
	}
}

// handleTickets handles the tickets that have ended. It runs after every
// event.
func (n *simNode) handleTickets() {
	n.waiters = slices.DeleteFunc(n.waiters, func(w *simWaiter) bool {
		switch w.ticket.state {
		case ticketServed:
			w.admitted(n)
		case ticketRefused:
			w.refused(n, n.account.expectedWait(1))
		default:
			return false
		}
		return true
	})
	n.remoteTickets = slices.DeleteFunc(n.remoteTickets, func(r *simRemote) bool {
		if r.ticket.state == ticketWaiting {
			return false
		}
		n.respond(r.from, r.out, n.account.TicketGrant(r.ticket))
		return true
	})
	n.wake()
}

func (n *simNode) wake() {
	wait := unknownWait
	if len(n.account.queue) > 0 {
		wait = n.account.ServeDelay(n.account.queue[0])
	}
	at := n.sim.now.Add(wait)
	if wait == unknownWait || (n.wakeAt.After(n.sim.now) && !n.wakeAt.After(at)) {
		return
	}
	n.wakeAt = at
	n.sim.after(wait, func() {
		n.account.ServeQueue(n.sim.now)
		n.handleTickets()
	})
}

func (n *simNode) tick() {
	s := n.sim
	s.after(50*time.Millisecond, n.tick)
	if n.down {
		return
	}
	switch s.policy {
	case policyLoans:
		n.updateFleetState()
		n.plan()
	case policyProportional:
		n.splitByDemand()
		n.account.ServeQueue(s.now)
		n.handleTickets()
	default:
		n.account.ServeQueue(s.now)
		n.handleTickets()
	}
}

func (n *simNode) updateFleetState() {
	s := n.sim
	var scores []Score
	var sources []string
	for _, p := range s.nodes {
		scores = append(scores, Score{p.name, n.scores[p.name]})
		if p != n {
			sources = append(sources, p.name)
		}
	}
	hub, demand := ElectHub(scores)
	n.account.SetFleetState(FleetState{Self: n.name, Hub: hub, LoanSources: sources, Demand: demand})
}

// splitByDemand sets the shares of the compared policy, which are proportional
// to the demand last reported. The policy is simulated without the delays of a
// protocol, to its advantage.
func (n *simNode) splitByDemand() {
	s := n.sim
	sum := 0.0
	for _, p := range s.nodes {
		sum += n.scores[p.name] + 0.01*s.total.Rate
	}
	ownDemand := n.scores[n.name] + 0.01*s.total.Rate
	n.account.SetShares(s.total.times(ownDemand/sum), s.total, s.now)
}

func (n *simNode) heartbeat() {
	s := n.sim
	s.after(500*time.Millisecond, n.heartbeat)
	if n.down {
		return
	}
	score := n.account.Score(s.now)
	n.scores[n.name] = score
	for _, p := range s.nodes {
		if p != n {
			s.after(s.delay(n, p), func() { p.scores[n.name] = score })
		}
	}
}

func (n *simNode) plan() {
	if n.sim.policy == policyLoans {
		for _, out := range n.account.Plan(n.sim.now) {
			n.send(out)
		}
	}
	n.handleTickets()
}

func (s *sim) find(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// requestBytes and grantBytes are the sizes of messages with the framing of
// the stream; TestMeasureSizes prints the sizes without framing.
const requestBytes, grantBytes = 60, 45

func (n *simNode) send(out OutgoingRequest) {
	s, to := n.sim, n.sim.find(out.To)
	s.countMessages(1, requestBytes)
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.delay(n, to), func() {
		if to.down {
			return
		}
		grant, ticket := to.account.Lend(out.Request, s.now)
		switch {
		case ticket != nil:
			to.remoteTickets = append(to.remoteTickets, &simRemote{ticket, n, out})
		case out.Request.ShareLoan || out.Request.Tokens > 0:
			to.respond(n, out, grant)
		}
		to.handleTickets()
	})
}

func (n *simNode) respond(to *simNode, out OutgoingRequest, g Grant) {
	s := n.sim
	s.countMessages(1, grantBytes)
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.delay(n, to), func() {
		if to.down {
			return
		}
		to.account.ApplyGrant(out.Request.Loan, g, out.SentAt, s.now)
		to.plan()
	})
}

func (s *sim) quantile(q float64) time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[min(len(s.waits)-1, int(q*float64(len(s.waits))))]
}
