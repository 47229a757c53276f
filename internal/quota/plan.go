package quota

import (
	"math"
	"time"
)

// Grounds of the plan.
const (
	// firstRoundTrip is assumed until one was measured.
	firstRoundTrip = 80 * time.Millisecond
	// maxPulls bounds the asks for tokens under way at once for one quota:
	// enough that a taker need not wait for an earlier ask's answer.
	maxPulls = 8
	// aheadPart bounds the tokens fetched ahead of demand, of the whole
	// burst over all daemons: what lies elsewhere is missing at the hub.
	aheadPart = 0.35
	// lead is how far ahead another daemon must be to become hub, in parts of
	// the fleet's demand. Less, and chance moves the hub among even daemons;
	// more, and a hub stays whose callers have left.
	lead = 0.25
	// minDemand is the demand, in tokens per second, from which a daemon is
	// worth a hub: one request in 20 s.
	minDemand = 0.05
	// overFactor is how far above the rate the demand of the fleet must be for
	// the customer to count as over its whole rate.
	overFactor = 1.25
)

// FleetState is what the control thread knows of the fleet for one quota.
type FleetState struct {
	// Self and Hub are instances; no hub is "".
	Self, Hub string
	// LoanSources hold slots of the quota, without this daemon.
	LoanSources []string
	// Demand of the fleet in tokens per second.
	Demand float64
	// OverRate: the fleet's demand is above the whole rate.
	OverRate bool
	// Leaving: this daemon is at its planned stop. It is no hub, and lends and
	// keeps no share; callers that have not looked elsewhere yet are served with
	// tokens of the hub.
	Leaving bool
}

// Score is one daemon's account of its demand for a quota, with the hub's
// lead; 0 for none.
type Score struct {
	Instance string
	Value    float64
}

// ElectHub returns the hub, the daemon with the highest score ("" if there is
// none), and the fleet's demand in tokens per second, the hub's lead taken out.
func ElectHub(scores []Score) (hub string, demand float64) {
	best := Score{}
	for _, s := range scores {
		demand += s.Value
		if s.Value > best.Value || (s.Value == best.Value && s.Value > 0 && s.Instance < best.Instance) {
			best = s
		}
	}
	return best.Instance, demand / (1 + lead)
}

// Score is what a daemon tells others of its demand. The hub adds its lead,
// so that another must be clearly ahead, and so that two daemons which both
// take themselves for the hub come to agree: each compares the same numbers.
func (a *Account) Score(now time.Time) float64 {
	d := a.Demand(now)
	if d < minDemand {
		return 0
	}
	if a.situation.Hub != "" && a.isHub() {
		return d + lead*a.situation.Demand
	}
	return d
}

// SetFleetState sets the state of the fleet. A hub that is one no longer gives its standing
// loans back at the next Plan.
func (a *Account) SetFleetState(s FleetState) {
	s.OverRate = s.Demand > overFactor*a.whole.Rate
	a.situation = s
}

// OutgoingRequest is a LoanRequest to send.
type OutgoingRequest struct {
	To      string
	Request LoanRequest
	SentAt  time.Time
}

// Plan returns what to send now. The load pattern answered: one customer's
// requests enter by few daemons, or by all in small numbers, or move from one
// to another. Without it every daemon refuses what is above its own part
// though others' parts lie idle. The hub gathers the shares (standing loans);
// the others take tokens from it, as many as wait and a round trip's demand
// ahead.
func (a *Account) Plan(now time.Time) []OutgoingRequest {
	a.advance(now)
	a.serve()
	switch {
	case a.situation.Hub == "":
		// Nobody asks, or this daemon leaves: its lenders need their shares.
		return a.closings(func(borrowedLoan) bool { return true })
	case a.isHub():
		return a.planHub()
	default:
		return a.planOther()
	}
}

func (a *Account) planHub() []OutgoingRequest {
	var out []OutgoingRequest
	for _, lender := range a.situation.LoanSources {
		id, due := a.standingWith(lender)
		if due {
			out = append(out, a.ask(lender, LoanRequest{Loan: id, ShareLoan: true}))
		}
	}
	source := a.source()
	out = append(out, a.closings(func(l borrowedLoan) bool { return !l.standing && l.lender != source })...)
	return append(out, a.pullFrom(source)...)
}

// source is the daemon to take tokens from; "" if there is none: the hub, or,
// for a daemon that has just become the hub, the one that still has its share.
//
// The failure it guards against: the hub changes, the new hub's own share is
// still lent to the earlier one, which has not heard of the change and lends
// it no share before a heartbeat and a renewal have passed (up to a second).
// Callers inside their rate are refused at the new hub, though the earlier one
// has tokens: it goes on giving them to whoever asks.
func (a *Account) source() string {
	if !a.isHub() {
		return a.situation.Hub
	}
	var most lentLoan
	for _, l := range a.lender.loans {
		if l.share.Rate > most.share.Rate {
			most = l
		}
	}
	return most.key.borrower
}

// standingWith finds the loan to renew or a new id, and whether to ask now.
func (a *Account) standingWith(lender string) (uint64, bool) {
	for _, p := range a.borrower.pending {
		if p.standing && p.lender == lender && a.at.Sub(p.sent) < ShareLoanRenewal {
			return 0, false
		}
	}
	for _, l := range a.borrower.loans {
		if l.standing && l.lender == lender {
			return l.id, a.at.Sub(l.sent) >= ShareLoanRenewal
		}
	}
	a.borrower.lastID++
	return a.borrower.lastID, true
}

func (a *Account) planOther() []OutgoingRequest {
	out := a.closings(func(l borrowedLoan) bool { return l.standing || l.lender != a.situation.Hub })
	return append(out, a.pullFrom(a.situation.Hub)...)
}

// pullFrom asks a daemon for the tokens needed, and closes what was spent of
// those it gave before.
func (a *Account) pullFrom(source string) []OutgoingRequest {
	if source == "" {
		return nil
	}
	var out []OutgoingRequest
	spent := a.spentLoans(source)
	for pulls := a.pulls(); pulls < maxPulls; pulls++ {
		n := a.need(source)
		if n < 1 || a.blockedUntil.After(a.at) {
			break
		}
		a.borrower.lastID++
		out = append(out, a.ask(source, LoanRequest{
			Loan: a.borrower.lastID, Tokens: n, MaxDelay: MaxWait, ClosedLoans: spent,
		}))
		spent = nil
	}
	if len(spent) > 0 {
		out = append(out, a.ask(source, LoanRequest{ClosedLoans: spent}))
	}
	return out
}

func (a *Account) ask(to string, ask LoanRequest) OutgoingRequest {
	ask.Quota, ask.Borrower = a.name, a.situation.Self
	if ask.ShareLoan || ask.Tokens > 0 {
		a.borrower.asked(ask.Loan, pendingAsk{lender: to, standing: ask.ShareLoan, tokens: ask.Tokens, sent: a.at})
	}
	return OutgoingRequest{To: to, Request: ask, SentAt: a.at}
}

func (a *Account) pulls() int {
	n := 0
	for _, p := range a.borrower.pending {
		if !p.standing {
			n++
		}
	}
	return n
}

// need is how many whole tokens to ask for: those waited for and those ahead,
// less what is here and under way, in pieces that do not drain the hub.
func (a *Account) need(source string) float64 {
	need := a.queued + a.ahead() - a.level
	for _, p := range a.borrower.pending {
		// What waits at an earlier hub may never come: it gave its loans back.
		if p.lender == source {
			need -= p.tokens
		}
	}
	if a.queued == 0 {
		need = math.Floor(need)
	}
	return math.Min(math.Ceil(need), max(1, math.Floor(a.whole.Burst/8)))
}

// ahead is the demand of a round trip in whole tokens, bounded by this
// daemon's part of what may lie outside the hub.
func (a *Account) ahead() float64 {
	if a.situation.OverRate || a.situation.Demand <= 0 {
		return 0
	}
	d := a.Demand(a.at)
	part := aheadPart * a.whole.Burst * d / a.situation.Demand
	return math.Floor(math.Min(d*a.roundTrip.Seconds()*1.5, part))
}

// spentLoans closes the loans of tokens whose capacity is empty, so that the
// hub has it again, and those about to end, with what is left in them.
func (a *Account) spentLoans(source string) []LoanClosing {
	var out []LoanClosing
	for i := 0; i < len(a.borrower.loans); {
		l := a.borrower.loans[i]
		over := max(0, a.level-(a.shape().Burst-l.share.Burst))
		ending := l.until.Sub(a.at) < 2*a.roundTrip
		if l.standing || l.lender != source || (over > 0 && !ending) || !a.spare(l) {
			i++
			continue
		}
		out = append(out, a.closeLoan(l, over))
	}
	return out
}

// spare tells whether this account holds enough without a loan for what it
// has lent on. If a hub gave back the shares that its peers' tokens stand on,
// their lenders would spend the same capacity again before those tokens end.
func (a *Account) spare(l borrowedLoan) bool {
	rest := a.own.minus(a.lender.Sum()).plus(a.borrower.SumAfter(a.at)).minus(l.share)
	return rest.Burst >= 0
}

func (a *Account) closeLoan(l borrowedLoan, tokens float64) LoanClosing {
	a.level -= tokens
	a.borrower.drop(l.id)
	a.cut()
	return LoanClosing{Loan: l.id, Tokens: tokens}
}

// closings ends the loans that no longer fit the situation, with the tokens
// that sit in them.
func (a *Account) closings(which func(borrowedLoan) bool) []OutgoingRequest {
	var out []OutgoingRequest
	for i := 0; i < len(a.borrower.loans); {
		l := a.borrower.loans[i]
		if !which(l) || !a.spare(l) {
			i++
			continue
		}
		part := l.share.Burst / max(a.shape().Burst, l.share.Burst, roundingSlack)
		tokens := max(0, min(a.level*part, l.share.Burst))
		out = append(out, a.ask(l.lender, LoanRequest{ClosedLoans: []LoanClosing{a.closeLoan(l, tokens)}}))
	}
	return out
}
