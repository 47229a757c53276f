package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a fleet in which daemons disagree on the hub, messages are
// lost, repeated, delayed and reordered, and daemons pause and crash. After
// every step, the tokens of all accounts together must not exceed those of one
// reference bucket for the total quota, and the reference bucket must cover
// every spend. Then no window of t seconds admits more than rate*t + burst.
type fleetModel struct {
	now       time.Time
	total     Share
	reference *Bucket
	nodes     []*modelNode
	requests  []modelRequest
	grants    []modelGrant
	spent     int
}

type modelNode struct {
	name          string
	account       *Account
	localTickets  []*Ticket
	remoteTickets []modelTicket
	crashed       bool
	// inherited is the share of the slots of a crashed daemon, which may be
	// used from inheritedFrom on.
	inherited     Share
	inheritedFrom time.Time
}

type modelRequest struct {
	out  OutgoingRequest
	from *modelNode
}

type modelTicket struct {
	modelRequest
	ticket *Ticket
}

type modelGrant struct {
	modelRequest
	grant Grant
}

func newFleetModel(total Share, daemons int) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), total: total}
	m.reference = NewBucket(total.Rate, total.Burst, total.Burst, m.now)
	for i := range daemons {
		own := total.times(1 / float64(daemons))
		m.nodes = append(m.nodes, &modelNode{
			name: fmt.Sprint("d", i), account: NewAccount("q", own, total, own.Burst, m.now),
		})
	}
	return m
}

func (m *fleetModel) drawLiveNode(t *rapid.T) *modelNode {
	var live []*modelNode
	for _, n := range m.nodes {
		if !n.crashed {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		t.Skip("all daemons have crashed")
	}
	return rapid.SampledFrom(live).Draw(t, "node")
}

// advanceTime advances the clock by a short step or by a step beyond the term
// of every loan.
func (m *fleetModel) advanceTime(t *rapid.T) {
	ms := rapid.OneOf(rapid.IntRange(0, 60), rapid.IntRange(100, 900), rapid.IntRange(1800, 2600)).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

func (m *fleetModel) take(t *rapid.T) {
	n := m.drawLiveNode(t)
	for range rapid.IntRange(1, 6).Draw(t, "takers") {
		if ok, _ := n.account.Take(1, m.now); ok {
			m.spend(t)
			continue
		}
		if w, _ := n.account.JoinQueue(1, MaxWait, m.now); w != nil {
			n.localTickets = append(n.localTickets, w)
		}
	}
}

func (m *fleetModel) spend(t *rapid.T) {
	m.spent++
	if ok, _ := m.reference.Take(1-1e-7, m.now); !ok {
		t.Fatalf("spent more than rate*t + burst: reference holds %g", m.reference.Level(m.now))
	}
}

func (m *fleetModel) plan(t *rapid.T) {
	n := m.drawLiveNode(t)
	hub := rapid.SampledFrom(m.nodes).Draw(t, "hub").name
	var sources []string
	for _, x := range m.nodes {
		if x != n {
			sources = append(sources, x.name)
		}
	}
	over := rapid.Bool().Draw(t, "over")
	demand := m.total.Rate / 2
	if over {
		demand = m.total.Rate * 5
	}
	leaving := hub != n.name && rapid.Bool().Draw(t, "leaving")
	n.account.SetFleetState(FleetState{Self: n.name, Hub: hub, LoanSources: sources, Demand: demand, Leaving: leaving})
	for _, out := range n.account.Plan(m.now) {
		m.requests = append(m.requests, modelRequest{out, n})
	}
}

func (m *fleetModel) deliverRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request in flight")
	}
	i := rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")
	request := m.requests[i]
	if !rapid.Bool().Draw(t, "again") {
		m.requests = slices.Delete(m.requests, i, i+1)
	}
	to := m.find(request.out.To)
	if to.crashed {
		return
	}
	g, ticket := to.account.Lend(request.out.Request, m.now)
	if ticket != nil {
		to.remoteTickets = append(to.remoteTickets, modelTicket{request, ticket})
		return
	}
	m.grants = append(m.grants, modelGrant{request, g})
}

func (m *fleetModel) deliverGrant(t *rapid.T) {
	if len(m.grants) == 0 {
		t.Skip("no grant in flight")
	}
	i := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
	g := m.grants[i]
	if !rapid.Bool().Draw(t, "again") {
		m.grants = slices.Delete(m.grants, i, i+1)
	}
	if !g.from.crashed {
		g.from.account.ApplyGrant(g.out.Request.Loan, g.grant, g.out.SentAt, m.now)
	}
}

func (m *fleetModel) loseMessages(t *rapid.T) {
	if len(m.requests) > 0 && rapid.Bool().Draw(t, "requests") {
		m.requests = m.requests[1:]
	}
	if len(m.grants) > 0 && rapid.Bool().Draw(t, "grants") {
		m.grants = m.grants[1:]
	}
}

// crash stops a daemon or takes its slots. Another daemon then holds the slots
// and uses them after the quarantine, with an empty bucket.
func (m *fleetModel) crash(t *rapid.T) {
	n := m.drawLiveNode(t)
	successor := m.drawLiveNode(t)
	if successor == n || successor.inherited != (Share{}) || n.inherited != (Share{}) {
		t.Skip("no daemon can inherit the slots")
	}
	if rapid.Bool().Draw(t, "paused") {
		// The lease of the daemon has expired. It still responds and lends if
		// it can.
		defer n.account.SetShares(Share{}, m.total, m.now)
	} else {
		n.crashed = true
	}
	successor.inherited, successor.inheritedFrom = n.account.ownShare, m.now.Add(Quarantine)
}

// refund returns a token that was taken but not used.
func (m *fleetModel) refund(t *rapid.T) {
	n := m.drawLiveNode(t)
	if ok, _ := n.account.Take(1, m.now); ok {
		n.account.Refund(1, m.now)
	}
}

func (m *fleetModel) find(name string) *modelNode {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (m *fleetModel) check(t *rapid.T) {
	sum := 0.0
	for _, n := range m.nodes {
		if n.crashed {
			continue
		}
		if n.inherited != (Share{}) && !m.now.Before(n.inheritedFrom) {
			n.account.SetShares(n.account.ownShare.plus(n.inherited), m.total, m.now)
			n.inherited = Share{}
		}
		n.account.ServeQueue(m.now)
		m.collectTickets(t, n)
		level := n.account.Level(m.now)
		if math.IsNaN(level) || level < -1e-6 {
			t.Fatalf("%s holds %g tokens", n.name, level)
		}
		sum += max(0, level)
	}
	if have := m.reference.Level(m.now); sum > have+1e-6 {
		t.Fatalf("accounts hold %g tokens, more than the %g of one bucket", sum, have)
	}
}

func (m *fleetModel) collectTickets(t *rapid.T, n *modelNode) {
	n.localTickets = slices.DeleteFunc(n.localTickets, func(w *Ticket) bool {
		if w.state == ticketServed {
			m.spend(t)
		}
		return w.state != ticketWaiting
	})
	n.remoteTickets = slices.DeleteFunc(n.remoteTickets, func(l modelTicket) bool {
		if l.ticket.state == ticketWaiting {
			return false
		}
		m.grants = append(m.grants, modelGrant{l.modelRequest, n.account.TicketGrant(l.ticket)})
		return true
	})
}

// A customer sends far more than its rate while daemons crash, pause beyond
// the terms of their loans, and lose, repeat and reorder messages. The
// upstreams must never receive more than rate*t + burst in any window of t
// seconds. A violation means that two daemons spend the same part of a share
// at once, or that a message creates a token twice.
func TestNoScheduleExceedsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := Share{
			Rate:  rapid.SampledFrom([]float64{5, 40, 200}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{3, 10, 40}).Draw(t, "burst"),
		}
		m := newFleetModel(total, rapid.IntRange(2, 4).Draw(t, "daemons"))
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.advanceTime, "take": m.take, "plan": m.plan, "planAgain": m.plan, "ask": m.deliverRequest, "grant": m.deliverGrant,
			"moreAsks": m.deliverRequest, "moreGrants": m.deliverGrant, "lose": m.loseMessages, "crash": m.crash, "refund": m.refund,
			"": m.check,
		})
	})
}
