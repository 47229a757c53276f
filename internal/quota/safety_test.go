package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a fleet whose daemons disagree on the hub, whose messages are
// lost, repeated, late and out of order, and whose daemons pause and crash.
// After every step, the tokens of all accounts together must be no more than
// one reference bucket of the whole quota holds, and every spend must be
// covered by it: then no window of t seconds sees more than rate*t + burst.
type fleetModel struct {
	now       time.Time
	whole     Share
	reference *Bucket
	nodes     []*modelNode
	asks      []modelAsk
	grants    []modelGrant
	spent     int
}

type modelNode struct {
	name    string
	account *Account
	waiting []*Ticket
	lent    []modelTicket
	crashed bool
	// adopts is the share of a crashed daemon's slots, to be used from a time.
	adopts     Share
	adoptsFrom time.Time
}

type modelAsk struct {
	out  OutgoingRequest
	from *modelNode
}

type modelTicket struct {
	modelAsk
	ticket *Ticket
}

type modelGrant struct {
	modelAsk
	grant Grant
}

func newFleetModel(whole Share, parts int) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), whole: whole}
	m.reference = NewBucket(whole.Rate, whole.Burst, whole.Burst, m.now)
	for i := range parts {
		own := whole.times(1 / float64(parts))
		m.nodes = append(m.nodes, &modelNode{
			name: fmt.Sprint("d", i), account: NewAccount("q", own, whole, own.Burst, m.now),
		})
	}
	return m
}

func (m *fleetModel) live(t *rapid.T) *modelNode {
	var live []*modelNode
	for _, n := range m.nodes {
		if !n.crashed {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		t.Skip("all crashed")
	}
	return rapid.SampledFrom(live).Draw(t, "node")
}

// pass lets time go by; short steps and steps past every term.
func (m *fleetModel) pass(t *rapid.T) {
	ms := rapid.OneOf(rapid.IntRange(0, 60), rapid.IntRange(100, 900), rapid.IntRange(1800, 2600)).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
}

func (m *fleetModel) take(t *rapid.T) {
	n := m.live(t)
	for range rapid.IntRange(1, 6).Draw(t, "takers") {
		if ok, _ := n.account.Take(1, m.now); ok {
			m.spend(t)
			continue
		}
		if w, _ := n.account.JoinQueue(1, MaxWait, m.now); w != nil {
			n.waiting = append(n.waiting, w)
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
	n := m.live(t)
	hub := rapid.SampledFrom(m.nodes).Draw(t, "hub").name
	var lenders []string
	for _, x := range m.nodes {
		if x != n {
			lenders = append(lenders, x.name)
		}
	}
	over := rapid.Bool().Draw(t, "over")
	demand := m.whole.Rate / 2
	if over {
		demand = m.whole.Rate * 5
	}
	leaving := hub != n.name && rapid.Bool().Draw(t, "leaving")
	n.account.SetFleetState(FleetState{Self: n.name, Hub: hub, LoanSources: lenders, Demand: demand, Leaving: leaving})
	for _, out := range n.account.Plan(m.now) {
		m.asks = append(m.asks, modelAsk{out, n})
	}
}

func (m *fleetModel) deliverAsk(t *rapid.T) {
	if len(m.asks) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.asks)-1).Draw(t, "ask")
	a := m.asks[i]
	if !rapid.Bool().Draw(t, "again") {
		m.asks = slices.Delete(m.asks, i, i+1)
	}
	to := m.find(a.out.To)
	if to.crashed {
		return
	}
	g, ticket := to.account.Lend(a.out.Request, m.now)
	if ticket != nil {
		to.lent = append(to.lent, modelTicket{a, ticket})
		return
	}
	m.grants = append(m.grants, modelGrant{a, g})
}

func (m *fleetModel) deliverGrant(t *rapid.T) {
	if len(m.grants) == 0 {
		t.Skip("none")
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

func (m *fleetModel) lose(t *rapid.T) {
	if len(m.asks) > 0 && rapid.Bool().Draw(t, "asks") {
		m.asks = m.asks[1:]
	}
	if len(m.grants) > 0 && rapid.Bool().Draw(t, "grants") {
		m.grants = m.grants[1:]
	}
}

// crash ends a daemon, or takes its slots from it; a zone peer holds them from
// now on, after the quarantine and with an empty bucket.
func (m *fleetModel) crash(t *rapid.T) {
	n := m.live(t)
	heir := m.live(t)
	if heir == n || heir.adopts != (Share{}) || n.adopts != (Share{}) {
		t.Skip("no heir")
	}
	if rapid.Bool().Draw(t, "paused") {
		// Its lease has lapsed; it still answers, and lends on if it can.
		defer n.account.SetShares(Share{}, m.whole, m.now)
	} else {
		n.crashed = true
	}
	heir.adopts, heir.adoptsFrom = n.account.own, m.now.Add(Quarantine)
}

// refund gives back a token that was taken and not used.
func (m *fleetModel) refund(t *rapid.T) {
	n := m.live(t)
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
		if n.adopts != (Share{}) && !m.now.Before(n.adoptsFrom) {
			n.account.SetShares(n.account.own.plus(n.adopts), m.whole, m.now)
			n.adopts = Share{}
		}
		n.account.ServeQueue(m.now)
		m.settle(t, n)
		level := n.account.Level(m.now)
		if math.IsNaN(level) || level < -1e-6 {
			t.Fatalf("%s holds %g tokens", n.name, level)
		}
		sum += max(0, level)
	}
	if have := m.reference.Level(m.now); sum > have+1e-6 {
		t.Fatalf("accounts hold %g tokens, one bucket would hold %g", sum, have)
	}
}

func (m *fleetModel) settle(t *rapid.T, n *modelNode) {
	n.waiting = slices.DeleteFunc(n.waiting, func(w *Ticket) bool {
		if w.state == ticketServed {
			m.spend(t)
		}
		return w.state != ticketWaiting
	})
	n.lent = slices.DeleteFunc(n.lent, func(l modelTicket) bool {
		if l.ticket.state == ticketWaiting {
			return false
		}
		m.grants = append(m.grants, modelGrant{l.modelAsk, n.account.TicketGrant(l.ticket)})
		return true
	})
}

// A customer sends far more than its rate while daemons die, hang past the
// terms of their loans and lose, repeat and reorder their messages. The
// upstreams must never see more than rate*t + burst in any window. The cause
// would be a part of a share that two daemons spend at once, or a token that
// a message makes twice.
func TestNoScheduleSpendsMoreThanTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Share{
			Rate:  rapid.SampledFrom([]float64{5, 40, 200}).Draw(t, "rate"),
			Burst: rapid.SampledFrom([]float64{3, 10, 40}).Draw(t, "burst"),
		}
		m := newFleetModel(whole, rapid.IntRange(2, 4).Draw(t, "daemons"))
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.pass, "take": m.take, "plan": m.plan, "planAgain": m.plan, "ask": m.deliverAsk, "grant": m.deliverGrant,
			"moreAsks": m.deliverAsk, "moreGrants": m.deliverGrant, "lose": m.lose, "crash": m.crash, "refund": m.refund,
			"": m.check,
		})
	})
}
