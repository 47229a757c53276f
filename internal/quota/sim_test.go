package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs one quota over daemons in simulated time. It is deterministic for
// a seed.
type sim struct {
	now       time.Time
	start     time.Time
	seq       int
	events    eventHeap
	rng       *rand.Rand
	nodes     []*simNode
	oneWay    time.Duration
	whole     Share
	central   *Bucket // admits what one bucket for the fleet would
	reference *Bucket // must hold every token that is spent
	measureAt time.Time
	policy    simPolicy
	loss      float64

	sent, refused, wrongful, centralAdmitted, admitted, overshoot int
	waits                                                         []time.Duration
	messages, bytes                                               int
	perSecond                                                     map[int][2]int // wrongful, sent
	retries, retriesServed                                        int
	honest                                                        bool // callers come back when told
}

// simPolicy is a strategy of how daemons get tokens.
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
	at  time.Time
	seq int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
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
	s       *sim
	name    string
	region  int
	account *Account
	scores  map[string]float64
	local   []*simWaiter
	remote  []*simRemote
	wakeAt  time.Time
	down    bool
}

type simWaiter struct {
	ticket  *Ticket
	came    time.Time
	central bool
	retry   bool
}

type simRemote struct {
	ticket *Ticket
	from   *simNode
	out    OutgoingRequest
}

// simRegions places ten daemons: zones of 2, 2, 2, 2, 1 and 1 in 3 regions.
var simRegions = []int{0, 0, 0, 0, 1, 1, 1, 1, 2, 2}

// simParts are the parts of the quota: 24 slots, 4 for each zone.
var simParts = []float64{2, 2, 2, 2, 2, 2, 2, 2, 4, 4}

func newSim(seed uint64, whole Share, oneWay time.Duration, p simPolicy) *sim {
	return newSimOver(simParts, seed, whole, oneWay, p)
}

func newSimOver(parts []float64, seed uint64, whole Share, oneWay time.Duration, p simPolicy) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), whole: whole, oneWay: oneWay, policy: p, perSecond: map[int][2]int{}}
	s.start = time.Unix(1000, 0)
	s.now = s.start
	s.central = NewBucket(whole.Rate, whole.Burst, whole.Burst, s.now)
	s.reference = NewBucket(whole.Rate, whole.Burst, whole.Burst, s.now)
	for i, region := range simRegions {
		own := whole.times(parts[i] / 24)
		if p == policyAllocator || p == policyStore {
			own = Share{}
			if i == 0 {
				own = whole
			}
		}
		n := &simNode{s: s, name: fmt.Sprint("d", i), region: region, scores: map[string]float64{}}
		n.account = NewAccount("q", own, whole, own.Burst, s.now)
		s.nodes = append(s.nodes, n)
		s.after(time.Duration(i)*5*time.Millisecond, n.tick)
		s.after(time.Duration(i)*50*time.Millisecond, n.beat)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *sim) run(until time.Duration) {
	end := s.start.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
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

// load sends Poisson arrivals at perSecond to a node picked by weights.
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
	s := n.s
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
	w := &simWaiter{came: s.now, central: central, retry: retry}
	if s.policy == policyAllocator || s.policy == policyStore {
		n.fetch(w)
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
	n.local = append(n.local, w)
	n.plan()
}

// fetch asks the one allocator (or the store) for each request.
func (n *simNode) fetch(w *simWaiter) {
	s, hub := n.s, n.s.nodes[0]
	way := s.delay(n, hub)
	s.note(2, 60)
	s.after(way, func() {
		ok, wait := hub.account.Take(1, s.now)
		s.after(way, func() {
			if ok {
				w.admitted(n)
				return
			}
			w.refused(n, wait)
		})
	})
}

func (s *sim) note(messages, bytes int) {
	if s.measured() {
		s.messages += messages
		s.bytes += bytes
	}
}

func (w *simWaiter) admitted(n *simNode) {
	s := n.s
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
		s.waits = append(s.waits, s.now.Sub(w.came))
	}
}

func (w *simWaiter) refused(n *simNode, wait time.Duration) {
	s := n.s
	if w.retry || !s.measured() {
		return
	}
	s.refused++
	if w.central {
		s.wrongful++
		c := s.perSecond[s.second()]
		c[0]++
		s.perSecond[s.second()] = c
	}
	if s.honest && wait >= 0 {
		s.retries++
		s.after(wait+time.Millisecond, func() { n.arrive(true) })
	}
}

// pump looks after every event at what came of the waiters.
func (n *simNode) pump() {
	n.local = slices.DeleteFunc(n.local, func(w *simWaiter) bool {
		switch w.ticket.state {
		case ticketServed:
			w.admitted(n)
		case ticketRefused:
			w.refused(n, n.account.expected(1))
		default:
			return false
		}
		return true
	})
	n.remote = slices.DeleteFunc(n.remote, func(r *simRemote) bool {
		if r.ticket.state == ticketWaiting {
			return false
		}
		n.answer(r.from, r.out, n.account.TicketGrant(r.ticket))
		return true
	})
	n.wake()
}

func (n *simNode) wake() {
	wait := never
	if len(n.account.queue) > 0 {
		wait = n.account.ServeDelay(n.account.queue[0])
	}
	at := n.s.now.Add(wait)
	if wait == never || (n.wakeAt.After(n.s.now) && !n.wakeAt.After(at)) {
		return
	}
	n.wakeAt = at
	n.s.after(wait, func() {
		n.account.ServeQueue(n.s.now)
		n.pump()
	})
}

func (n *simNode) tick() {
	s := n.s
	s.after(50*time.Millisecond, n.tick)
	if n.down {
		return
	}
	switch s.policy {
	case policyLoans:
		n.situate()
		n.plan()
	case policyProportional:
		n.proportion()
		n.account.ServeQueue(s.now)
		n.pump()
	default:
		n.account.ServeQueue(s.now)
		n.pump()
	}
}

func (n *simNode) situate() {
	s := n.s
	var scores []Score
	var lenders []string
	for _, p := range s.nodes {
		scores = append(scores, Score{p.name, n.scores[p.name]})
		if p != n {
			lenders = append(lenders, p.name)
		}
	}
	hub, demand := ElectHub(scores)
	n.account.SetFleetState(FleetState{Self: n.name, Hub: hub, LoanSources: lenders, Demand: demand})
}

// proportion is the rival: shares in proportion to the demand last heard.
// It is kinder to it than a protocol would be: no loan is ever in the way.
func (n *simNode) proportion() {
	s := n.s
	sum := 0.0
	for _, p := range s.nodes {
		sum += n.scores[p.name] + 0.01*s.whole.Rate
	}
	mine := n.scores[n.name] + 0.01*s.whole.Rate
	n.account.SetShares(s.whole.times(mine/sum), s.whole, s.now)
}

func (n *simNode) beat() {
	s := n.s
	s.after(500*time.Millisecond, n.beat)
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
	if n.s.policy == policyLoans {
		for _, out := range n.account.Plan(n.s.now) {
			n.send(out)
		}
	}
	n.pump()
}

func (s *sim) find(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// Sizes of messages with the framing of the stream, from TestMessageSizes.
const askBytes, grantBytes = 60, 45

func (n *simNode) send(out OutgoingRequest) {
	s, to := n.s, n.s.find(out.To)
	s.note(1, askBytes)
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
			to.remote = append(to.remote, &simRemote{ticket, n, out})
		case out.Request.ShareLoan || out.Request.Tokens > 0:
			to.answer(n, out, grant)
		}
		to.pump()
	})
}

func (n *simNode) answer(to *simNode, out OutgoingRequest, g Grant) {
	s := n.s
	s.note(1, grantBytes)
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
