package quota

import (
	"math"
	"time"
)

// Constants of the plan.
const (
	// initialRoundTrip is the round-trip time assumed before the first
	// measurement.
	initialRoundTrip = 80 * time.Millisecond
	// maxTokenRequests limits the pending token requests for one quota. It is
	// high enough that a caller need not wait for the response to an earlier
	// request.
	maxTokenRequests = 8
	// prefetchFraction limits the tokens that all daemons together request
	// ahead of demand, as a fraction of the total burst. Tokens held by other
	// daemons are missing at the hub.
	prefetchFraction = 0.35
	// hubAdvantage is the lead in demand that another daemon needs to become
	// the hub, as a fraction of the fleet's demand. With a smaller value,
	// random fluctuation moves the hub among daemons with equal demand. With a
	// larger value, a daemon stays the hub although its callers have left.
	hubAdvantage = 0.25
	// minHubDemand is the demand, in tokens per second, from which a daemon
	// can be the hub: one request in 20 s.
	minHubDemand = 0.05
	// overRateFactor is the ratio of the fleet's demand to the total rate
	// above which the customer counts as over its rate.
	overRateFactor = 1.25
)

// FleetState is what the control thread knows about the fleet for one quota.
type FleetState struct {
	// Self and Hub are instances; Hub is empty if there is no hub.
	Self, Hub string
	// LoanSources lists the other daemons that hold slots with a share of the
	// quota.
	LoanSources []string
	// Demand is the demand of the fleet in tokens per second.
	Demand float64
	// OverRate is set if the fleet's demand exceeds the total rate by
	// overRateFactor.
	OverRate bool
	// Leaving is set during the planned stop of this daemon. It cannot be the
	// hub, does not lend and keeps no borrowed share. Callers that still send
	// to it are served with tokens borrowed from the hub.
	Leaving bool
}

// Score is the demand of one daemon for a quota, including the hub's
// advantage; 0 if there is no demand.
type Score struct {
	Instance string
	Value    float64
}

// ElectHub returns the hub, which is the daemon with the highest score ("" if
// there is none), and the fleet's demand in tokens per second without the
// hub's advantage.
func ElectHub(scores []Score) (hub string, demand float64) {
	best := Score{}
	for _, s := range scores {
		demand += s.Value
		if s.Value > best.Value || (s.Value == best.Value && s.Value > 0 && s.Instance < best.Instance) {
			best = s
		}
	}
	return best.Instance, demand / (1 + hubAdvantage)
}

// Score returns the demand that this daemon reports to its peers. The hub adds
// its advantage, so that another daemon needs a clear lead to become the hub.
// Two daemons that both consider themselves the hub come to agree, because
// each compares the same numbers.
func (a *Account) Score(now time.Time) float64 {
	d := a.Demand(now)
	if d < minHubDemand {
		return 0
	}
	if a.fleet.Hub != "" && a.isHub() {
		return d + hubAdvantage*a.fleet.Demand
	}
	return d
}

// SetFleetState sets the state of the fleet. A daemon that is no longer the
// hub closes its share loans at the next Plan.
func (a *Account) SetFleetState(s FleetState) {
	s.OverRate = s.Demand > overRateFactor*a.total.Rate
	a.fleet = s
}

// OutgoingRequest is a LoanRequest to send.
type OutgoingRequest struct {
	To      string
	Request LoanRequest
	SentAt  time.Time
}

// Plan returns the requests to send now.
//
// The requests of one customer may arrive at a few daemons, or in small
// numbers at all of them, or move from one daemon to another. Without loans,
// every daemon would refuse requests above its own share although the shares
// of other daemons are unused. The hub borrows the shares of the others. The
// other daemons borrow tokens from the hub for their queued requests and for
// the demand of the next one and a half round trips.
func (a *Account) Plan(now time.Time) []OutgoingRequest {
	a.advance(now)
	a.serve()
	switch {
	case a.fleet.Hub == "":
		// No ready daemon reports demand for the quota. The loan sources need
		// their shares. While there is demand, a leaving daemon has a hub too:
		// it serves its last callers with tokens borrowed from the hub.
		return a.closeLoansWhere(func(borrowedLoan) bool { return true })
	case a.isHub():
		return a.planHub()
	default:
		return a.planNonHub()
	}
}

func (a *Account) planHub() []OutgoingRequest {
	var out []OutgoingRequest
	for _, source := range a.fleet.LoanSources {
		id, due := a.dueShareLoan(source)
		if due {
			out = append(out, a.newRequest(source, LoanRequest{Loan: id, ShareLoan: true}))
		}
	}
	source := a.tokenSource()
	out = append(out, a.closeLoansWhere(func(l borrowedLoan) bool { return !l.shareLoan && l.source != source })...)
	return append(out, a.requestTokens(source)...)
}

// tokenSource returns the daemon to borrow tokens from, or "" if there is
// none. It is the hub or, for the hub itself, the daemon to which most of its
// own share is lent.
//
// The hub needs a source just after the election. Its own share is still lent
// to the previous hub. The previous hub does not yet know of the change and
// lends its share to the new hub only after a heartbeat and a renewal (up to a
// second), but it still lends tokens to any daemon that requests them. Without
// this source, the new hub would refuse callers within their rate although the
// previous hub has tokens.
func (a *Account) tokenSource() string {
	if !a.isHub() {
		return a.fleet.Hub
	}
	var largest lentLoan
	for _, l := range a.lent.loans {
		if l.share.Rate > largest.share.Rate {
			largest = l
		}
	}
	return largest.key.borrower
}

// dueShareLoan returns the id of the share loan to renew, or a new id, and
// whether to send the request now.
func (a *Account) dueShareLoan(source string) (uint64, bool) {
	for _, p := range a.borrowed.pending {
		if p.shareLoan && p.source == source && a.updatedAt.Sub(p.sentAt) < ShareLoanRenewal {
			return 0, false
		}
	}
	for _, l := range a.borrowed.loans {
		if l.shareLoan && l.source == source {
			return l.id, a.updatedAt.Sub(l.requestedAt) >= ShareLoanRenewal
		}
	}
	a.borrowed.lastID++
	return a.borrowed.lastID, true
}

func (a *Account) planNonHub() []OutgoingRequest {
	out := a.closeLoansWhere(func(l borrowedLoan) bool { return l.shareLoan || l.source != a.fleet.Hub })
	return append(out, a.requestTokens(a.fleet.Hub)...)
}

// requestTokens requests the tokens needed from a daemon and closes the spent
// loans that it made before.
func (a *Account) requestTokens(source string) []OutgoingRequest {
	if source == "" {
		return nil
	}
	var out []OutgoingRequest
	spent := a.closeSpentLoans(source)
	for pending := a.pendingTokenRequests(); pending < maxTokenRequests; pending++ {
		n := a.tokensNeeded(source)
		if n < 1 || a.blockedUntil.After(a.updatedAt) {
			break
		}
		a.borrowed.lastID++
		out = append(out, a.newRequest(source, LoanRequest{
			Loan: a.borrowed.lastID, Tokens: n, MaxDelay: MaxWait, ClosedLoans: spent,
		}))
		spent = nil
	}
	if len(spent) > 0 {
		out = append(out, a.newRequest(source, LoanRequest{ClosedLoans: spent}))
	}
	return out
}

// newRequest returns a request addressed to a daemon and records it as pending
// if it requests a loan.
func (a *Account) newRequest(to string, req LoanRequest) OutgoingRequest {
	req.Quota, req.Borrower = a.name, a.fleet.Self
	if req.ShareLoan || req.Tokens > 0 {
		a.borrowed.addPending(req.Loan, pendingRequest{source: to, shareLoan: req.ShareLoan, tokens: req.Tokens, sentAt: a.updatedAt})
	}
	return OutgoingRequest{To: to, Request: req, SentAt: a.updatedAt}
}

// pendingTokenRequests returns the number of pending requests for tokens.
func (a *Account) pendingTokenRequests() int {
	n := 0
	for _, p := range a.borrowed.pending {
		if !p.shareLoan {
			n++
		}
	}
	return n
}

// tokensNeeded returns the number of whole tokens to request: those for queued
// requests and those to prefetch, less the tokens held and requested. One
// request is limited to an eighth of the total burst, so that it does not
// empty the hub.
func (a *Account) tokensNeeded(source string) float64 {
	need := a.queuedCost + a.prefetch() - a.level
	for _, p := range a.borrowed.pending {
		// Only requests to this source count. A previous hub may never grant a
		// pending request, because it has closed its loans.
		if p.source == source {
			need -= p.tokens
		}
	}
	if a.queuedCost == 0 {
		need = math.Floor(need)
	}
	return math.Min(math.Ceil(need), max(1, math.Floor(a.total.Burst/8)))
}

// prefetch returns the demand during one and a half round trips in whole
// tokens, limited to this daemon's part of the tokens that may be held outside
// the hub.
func (a *Account) prefetch() float64 {
	if a.fleet.OverRate || a.fleet.Demand <= 0 {
		return 0
	}
	d := a.Demand(a.updatedAt)
	limit := prefetchFraction * a.total.Burst * d / a.fleet.Demand
	return math.Floor(math.Min(d*a.roundTrip.Seconds()*1.5, limit))
}

// closeSpentLoans closes two kinds of token loans from a source: those whose
// tokens are spent, so that the source gets their capacity back, and those that
// are about to expire, with their unspent tokens.
func (a *Account) closeSpentLoans(source string) []LoanClosing {
	var out []LoanClosing
	for i := 0; i < len(a.borrowed.loans); {
		l := a.borrowed.loans[i]
		unspent := max(0, a.level-(a.effectiveShare().Burst-l.share.Burst))
		expiring := l.expiresAt.Sub(a.updatedAt) < 2*a.roundTrip
		if l.shareLoan || l.source != source || (unspent > 0 && !expiring) || !a.canClose(l) {
			i++
			continue
		}
		out = append(out, a.closeLoan(l, unspent))
	}
	return out
}

// canClose reports whether this account has enough capacity without a loan to
// back the loans that it has made itself. If a hub closed the share loans that
// back its token loans, the sources would spend the same capacity again before
// the token loans end.
func (a *Account) canClose(l borrowedLoan) bool {
	remaining := a.ownShare.minus(a.lent.Sum()).plus(a.borrowed.SumAfter(a.updatedAt)).minus(l.share)
	return remaining.Burst >= 0
}

// closeLoan removes a borrowed loan and returns the closing to send to its
// source.
func (a *Account) closeLoan(l borrowedLoan, tokens float64) LoanClosing {
	a.level -= tokens
	a.borrowed.remove(l.id)
	a.capLevel()
	return LoanClosing{Loan: l.id, Tokens: tokens}
}

// closeLoansWhere closes the loans that match, with the tokens held in them.
func (a *Account) closeLoansWhere(match func(borrowedLoan) bool) []OutgoingRequest {
	var out []OutgoingRequest
	for i := 0; i < len(a.borrowed.loans); {
		l := a.borrowed.loans[i]
		if !match(l) || !a.canClose(l) {
			i++
			continue
		}
		fraction := l.share.Burst / max(a.effectiveShare().Burst, l.share.Burst, roundingTolerance)
		tokens := max(0, min(a.level*fraction, l.share.Burst))
		out = append(out, a.newRequest(l.source, LoanRequest{ClosedLoans: []LoanClosing{a.closeLoan(l, tokens)}}))
	}
	return out
}
