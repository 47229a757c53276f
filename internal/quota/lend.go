package quota

import (
	"math"
	"time"
)

// minTokenLoanTerm is the shortest term for which a loan of tokens is useful:
// one round trip between the farthest regions and the time to spend the
// tokens.
const minTokenLoanTerm = 250 * time.Millisecond

// roundingTolerance is the rounding error allowed in sums of shares.
const roundingTolerance = 1e-9

// Lend handles a loan request of a peer. It returns the response, or a ticket;
// when the ticket ends, TicketGrant returns the response.
func (a *Account) Lend(req LoanRequest, now time.Time) (Grant, *Ticket) {
	a.advance(now)
	for _, c := range req.ClosedLoans {
		a.level += a.lent.close(loanKey{req.Borrower, c.Loan}, c.Tokens, a.updatedAt)
	}
	a.capLevel()
	a.serve()
	key := loanKey{req.Borrower, req.Loan}
	switch {
	case a.fenced:
		return Grant{}, nil
	case req.ShareLoan:
		return a.lendShare(key), nil
	case req.Tokens > 0:
		return a.lendOrQueue(key, req)
	}
	return Grant{}, nil
}

// lendShare lends the unlent part of the own share, with the tokens in it, if
// the borrower is the hub as known to this daemon. It also extends the
// existing loan to the hub.
//
// A loan is not extended once the own share is smaller than what is lent. A
// slot may then belong to another daemon, which uses it after Quarantine and
// relies on every loan of the slot having expired by then. A daemon that is
// leaving does not extend loans either, because it can transfer its tokens
// only after all loans of them have ended.
func (a *Account) lendShare(key loanKey) Grant {
	if a.fleet.Leaving {
		return Grant{}
	}
	unlent := a.ownShare.minus(a.lent.Sum())
	if key.borrower != a.fleet.Hub || unlent.Rate < -roundingTolerance || unlent.Burst < -roundingTolerance {
		return Grant{}
	}
	free := a.unlentShare()
	if free.Burst < roundingTolerance {
		free = Share{}
	}
	tokens := max(0, math.Min(a.level, free.Burst))
	a.level -= tokens
	lent := a.lent.lend(key, free, tokens, ShareLoanTerm, a.updatedAt)
	return Grant{Share: lent, Tokens: tokens, Term: ShareLoanTerm}
}

// lendOrQueue lends tokens now, or queues the peer behind the requests that
// arrived before it.
func (a *Account) lendOrQueue(key loanKey, req LoanRequest) (Grant, *Ticket) {
	if len(a.queue) == 0 && a.covers(req.Tokens) {
		return a.lendTokens(key, req.Tokens), nil
	}
	wait := a.expectedWait(req.Tokens)
	if a.fleet.OverRate || wait < 0 || wait > min(req.MaxDelay, MaxWait) {
		if available := math.Floor(a.level); len(a.queue) == 0 && available >= 1 {
			return a.lendTokens(key, available), nil
		}
		return Grant{RetryAfter: max(wait, time.Millisecond)}, nil
	}
	return Grant{}, a.enqueue(&Ticket{cost: req.Tokens, deadline: a.updatedAt.Add(req.MaxDelay), loan: &key})
}

// lendTokens lends tokens with the same amount of capacity. The term is chosen
// so that the capacity belongs to this account until it ends, either as its
// own share or as a loan that expires later. Without this limit, the capacity
// would be spent by the peer and, after the underlying loan has expired, also
// by its source.
func (a *Account) lendTokens(key loanKey, tokens float64) Grant {
	for term := TokenLoanTerm; term >= minTokenLoanTerm; term -= 50 * time.Millisecond {
		backing := a.ownShare.minus(a.lent.Sum()).plus(a.borrowed.SumAfter(a.updatedAt.Add(term + ExpiryMargin)))
		if backing.Burst < tokens {
			continue
		}
		a.level -= tokens
		share := a.lent.lend(key, Share{Burst: tokens}, tokens, term, a.updatedAt)
		return Grant{Share: share, Tokens: tokens, Term: term}
	}
	return Grant{RetryAfter: minTokenLoanTerm}
}

// TicketGrant returns the response for a ticket of Lend that has ended.
func (a *Account) TicketGrant(t *Ticket) Grant {
	if t.state == ticketServed {
		return t.grant
	}
	return Grant{RetryAfter: max(a.expectedWait(t.cost), time.Millisecond)}
}

// ApplyGrant applies the response of a peer to the loan request sent at sent.
func (a *Account) ApplyGrant(id uint64, g Grant, sent, now time.Time) {
	a.advance(now)
	p, found := a.borrowed.pending[id]
	a.level += a.borrowed.applyGrant(id, g, sent, a.updatedAt)
	a.capLevel()
	if found && !p.shareLoan {
		a.applyTokenResponse(g, sent)
	}
	a.serve()
}

// applyTokenResponse updates the round-trip time or, if the source has no
// tokens, the time until which it has none. In the latter case queued requests
// are refused if the customer exceeds its total rate.
func (a *Account) applyTokenResponse(g Grant, sent time.Time) {
	if g.RetryAfter > 0 {
		a.blockedUntil = a.updatedAt.Add(g.RetryAfter)
		if a.fleet.OverRate {
			a.refuseQueue()
		}
		return
	}
	a.blockedUntil = time.Time{}
	elapsed := a.updatedAt.Sub(sent)
	if elapsed < a.roundTrip {
		a.roundTrip = elapsed
		return
	}
	a.roundTrip += (elapsed - a.roundTrip) / 8
}

// refuseQueue refuses all queued tickets at once: the customer exceeds its
// total rate, and the hub has no tokens for them.
func (a *Account) refuseQueue() {
	for len(a.queue) > 0 {
		t := a.queue[0]
		a.dequeue(0)
		t.finish(ticketRefused)
	}
}

// DropRequest removes a loan request that failed. The peer may have lent
// tokens and the response may have been lost. In that case the tokens are
// lost, and the peer has its capacity back when the term ends.
func (a *Account) DropRequest(id uint64, sent time.Time) {
	if p, ok := a.borrowed.pending[id]; ok && p.sentAt.Equal(sent) {
		delete(a.borrowed.pending, id)
	}
}
