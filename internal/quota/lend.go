package quota

import (
	"math"
	"time"
)

// minTokenTerm is the shortest term worth lending tokens for: a round trip
// between the farthest regions and the time to spend them.
const minTokenTerm = 250 * time.Millisecond

// roundingSlack is the error of sums of shares.
const roundingSlack = 1e-9

// Lend answers a peer's Ask, or returns a ticket whose end brings the answer
// (see TicketGrant).
func (a *Account) Lend(ask LoanRequest, now time.Time) (Grant, *Ticket) {
	a.advance(now)
	for _, c := range ask.ClosedLoans {
		a.level += a.lender.close(loanKey{ask.Borrower, c.Loan}, c.Tokens, a.at)
	}
	a.cut()
	a.serve()
	key := loanKey{ask.Borrower, ask.Loan}
	switch {
	case a.fenced:
		return Grant{}, nil
	case ask.ShareLoan:
		return a.lendShare(key), nil
	case ask.Tokens > 0:
		return a.lendSoon(key, ask)
	}
	return Grant{}, nil
}

// lendShare lends all that is free of the own share, with the tokens in it,
// to the daemon that this one takes for the hub, and extends what it has.
//
// A loan is not extended once the own share has shrunk below what is lent: a
// slot may be gone to another daemon, which uses it after Quarantine and
// counts on every loan of it to have ended by then. Nor does a leaving daemon
// extend one: its tokens can be handed over once all loans of them have ended.
func (a *Account) lendShare(key loanKey) Grant {
	if a.situation.Leaving {
		return Grant{}
	}
	covered := a.own.minus(a.lender.Sum())
	if key.borrower != a.situation.Hub || covered.Rate < -roundingSlack || covered.Burst < -roundingSlack {
		return Grant{}
	}
	free := a.free()
	if free.Burst < roundingSlack {
		free = Share{}
	}
	tokens := max(0, math.Min(a.level, free.Burst))
	a.level -= tokens
	total := a.lender.lend(key, free, tokens, ShareLoanTerm, a.at)
	return Grant{Share: total, Tokens: tokens, Term: ShareLoanTerm}
}

// lendSoon lends tokens now, or queues the peer behind those that came before.
func (a *Account) lendSoon(key loanKey, ask LoanRequest) (Grant, *Ticket) {
	if len(a.queue) == 0 && a.covers(ask.Tokens) {
		return a.lendTokens(key, ask.Tokens), nil
	}
	wait := a.expected(ask.Tokens)
	if a.situation.OverRate || wait < 0 || wait > min(ask.MaxDelay, MaxWait) {
		if whole := math.Floor(a.level); len(a.queue) == 0 && whole >= 1 {
			return a.lendTokens(key, whole), nil
		}
		return Grant{RetryAfter: max(wait, time.Millisecond)}, nil
	}
	return Grant{}, a.enqueue(&Ticket{cost: ask.Tokens, until: a.at.Add(ask.MaxDelay), loan: &key})
}

// lendTokens lends tokens with as much capacity, for a term in which that
// capacity is certainly this account's: its own, or borrowed for longer.
// Without this bound the capacity would be spent by the peer and, after the
// loan under it has ended, also by the first lender.
func (a *Account) lendTokens(key loanKey, tokens float64) Grant {
	for term := TokenLoanTerm; term >= minTokenTerm; term -= 50 * time.Millisecond {
		backing := a.own.minus(a.lender.Sum()).plus(a.borrower.SumAfter(a.at.Add(term + ExpiryMargin)))
		if backing.Burst < tokens {
			continue
		}
		a.level -= tokens
		share := a.lender.lend(key, Share{Burst: tokens}, tokens, term, a.at)
		return Grant{Share: share, Tokens: tokens, Term: term}
	}
	return Grant{RetryAfter: minTokenTerm}
}

// TicketGrant is the response that a ticket of Lend came to.
func (a *Account) TicketGrant(t *Ticket) Grant {
	if t.state == ticketServed {
		return t.grant
	}
	return Grant{RetryAfter: max(a.expected(t.cost), time.Millisecond)}
}

// ApplyGrant applies a peer's response to the loan request sent at sent.
func (a *Account) ApplyGrant(id uint64, g Grant, sent, now time.Time) {
	a.advance(now)
	p, waiting := a.borrower.pending[id]
	a.level += a.borrower.granted(id, g, sent, a.at)
	a.cut()
	if waiting && !p.standing {
		a.noteAnswer(g, sent)
	}
	a.serve()
}

func (a *Account) noteAnswer(g Grant, sent time.Time) {
	if g.RetryAfter > 0 {
		a.blockedUntil = a.at.Add(g.RetryAfter)
		if a.situation.OverRate {
			a.refuseAll()
		}
		return
	}
	a.blockedUntil = time.Time{}
	took := a.at.Sub(sent)
	if took < a.roundTrip {
		a.roundTrip = took
		return
	}
	a.roundTrip += (took - a.roundTrip) / 8
}

// refuseAll ends the local waiters at once: the customer is over its whole
// rate, and the hub has said that it has nothing for them.
func (a *Account) refuseAll() {
	for len(a.queue) > 0 {
		t := a.queue[0]
		a.leave(0)
		t.end(ticketRefused)
	}
}

// DropRequest removes a loan request that failed. The peer may have lent and the
// answer been lost: then the tokens are lost, and its capacity is back there
// when the term has ended.
func (a *Account) DropRequest(id uint64, sent time.Time) {
	if p, ok := a.borrower.pending[id]; ok && p.sent.Equal(sent) {
		delete(a.borrower.pending, id)
	}
}
