package quota

import "time"

// Timing of loans.
const (
	// ShareLoanTerm is the term of a loan of a share. A dead hub's lenders have
	// their shares again after it; a renewal at ShareLoanRenewal leaves three
	// tries.
	ShareLoanTerm = 2 * time.Second
	// ShareLoanRenewal is the time after which the borrower renews it.
	ShareLoanRenewal = 500 * time.Millisecond
	// TokenLoanTerm is the term of a loan of tokens: above the round trip between
	// the farthest regions (110 ms) and the longest wait in the lender's queue
	// (MaxWait) together, and well under what is left of a standing loan
	// between renewals, since the hub lends on what it borrowed.
	TokenLoanTerm = 800 * time.Millisecond
	// ExpiryMargin is added by the lender to every term: drift of the clocks over a
	// term (under 1 ms at 500 ppm) and the time between a taker's reading of
	// the clock and its take.
	ExpiryMargin = 100 * time.Millisecond
	// Quarantine is how long a slot taken over without a hand-over stays
	// unused: until every loan of its earlier holder has ended everywhere.
	Quarantine = ShareLoanTerm + 2*ExpiryMargin
)

// LoanRequest is a daemon's request to borrow. The borrower chooses Loan, and never
// uses an id again that it has closed.
type LoanRequest struct {
	Quota, Borrower string
	Loan            uint64
	// ShareLoan asks for (or renews) a loan of the lender's free share; else
	// Tokens are asked for, 0 for none.
	ShareLoan bool
	Tokens    float64
	// MaxDelay is how long the lender may delay the response.
	MaxDelay time.Duration
	// ClosedLoans are loans that the borrower has ended early.
	ClosedLoans []LoanClosing
}

// LoanClosing ends a loan early. Tokens are those that the borrower gave up.
type LoanClosing struct {
	Loan   uint64
	Tokens float64
}

// Grant answers a LoanRequest: the loan as it now stands and the tokens that move
// with this answer. A Share of zero grants nothing.
type Grant struct {
	Share  Share
	Tokens float64
	Term   time.Duration
	// RetryAfter is when the lender expects to have tokens; 0 if it granted.
	RetryAfter time.Duration
}

type loanKey struct {
	borrower string
	id       uint64
}

type lentLoan struct {
	key   loanKey
	share Share
	until time.Time
	// worth bounds the tokens that the loan can hold, as of since: what moved
	// with it and what its rate brought.
	worth float64
	since time.Time
}

func (l *lentLoan) settle(now time.Time) {
	if passed := now.Sub(l.since).Seconds(); passed > 0 {
		l.worth = min(l.share.Burst, l.worth+passed*l.share.Rate)
		l.since = now
	}
}

// LentLoans are what a daemon has lent of one quota. Its owner's rate and
// capacity are lower by it. A record is removed when its term and the margin
// have passed, or when the borrower closes it; before that it never shrinks,
// because the borrower may be spending it.
type LentLoans struct{ loans []lentLoan }

// Sum is the sum of the loans.
func (l *LentLoans) Sum() Share {
	var sum Share
	for _, x := range l.loans {
		sum = sum.plus(x.share)
	}
	return sum
}

// lend records a loan, or adds to it and extends it.
func (l *LentLoans) lend(key loanKey, more Share, tokens float64, term time.Duration, now time.Time) Share {
	until := now.Add(term + ExpiryMargin)
	for i := range l.loans {
		x := &l.loans[i]
		if x.key != key {
			continue
		}
		x.settle(now)
		x.share = x.share.plus(more)
		x.worth += tokens
		if until.After(x.until) {
			x.until = until
		}
		return x.share
	}
	l.loans = append(l.loans, lentLoan{key: key, share: more, until: until, worth: tokens, since: now})
	return more
}

// close ends a loan early and returns the tokens to take back. A closing that
// comes twice or after the term finds no record and brings nothing. One that
// follows a repeated LoanRequest finds a record that nobody spends from; what comes
// back is bounded by what that record can hold, so no token is made.
func (l *LentLoans) close(key loanKey, tokens float64, now time.Time) float64 {
	for i := range l.loans {
		x := &l.loans[i]
		if x.key != key {
			continue
		}
		x.settle(now)
		back := max(0, min(tokens, x.worth))
		l.loans = append(l.loans[:i], l.loans[i+1:]...)
		return back
	}
	return 0
}

// nextEnd is the earliest end of a loan at or before now.
func (l *LentLoans) nextEnd(now time.Time) time.Time {
	for _, x := range l.loans {
		if !x.until.After(now) {
			now = x.until
		}
	}
	return now
}

func (l *LentLoans) expire(now time.Time) {
	kept := l.loans[:0]
	for _, x := range l.loans {
		if x.until.After(now) {
			kept = append(kept, x)
		}
	}
	l.loans = kept
}

type borrowedLoan struct {
	id       uint64
	lender   string
	standing bool
	share    Share
	// sent is when the request left that the loan was last granted to; the
	// term counts from it.
	sent, until time.Time
}

type pendingAsk struct {
	lender   string
	standing bool
	tokens   float64
	sent     time.Time
}

// BorrowedLoans are what a daemon has borrowed of one quota and has asked for. Its
// owner's rate and capacity are higher by it until the term has passed.
type BorrowedLoans struct {
	loans   []borrowedLoan
	pending map[uint64]pendingAsk
	lastID  uint64
}

// SumAfter is the sum of the loans that end after t.
func (b *BorrowedLoans) SumAfter(t time.Time) Share {
	var sum Share
	for _, x := range b.loans {
		if x.until.After(t) {
			sum = sum.plus(x.share)
		}
	}
	return sum
}

// asked notes a request that is about to leave.
func (b *BorrowedLoans) asked(id uint64, p pendingAsk) {
	if b.pending == nil {
		b.pending = map[uint64]pendingAsk{}
	}
	b.pending[id] = p
}

// granted notes an answer to the request sent at sent, and returns the tokens
// that it brings. An answer that nobody waits for any more, because the loan
// was closed or asked for again meanwhile, or that comes after its term,
// brings nothing: the lender may have its capacity back.
func (b *BorrowedLoans) granted(id uint64, g Grant, sent, now time.Time) float64 {
	p, waiting := b.pending[id]
	if !waiting || !p.sent.Equal(sent) {
		return 0
	}
	delete(b.pending, id)
	until := sent.Add(g.Term)
	if g.Share == (Share{}) || !until.After(now) {
		return 0
	}
	for i := range b.loans {
		if x := &b.loans[i]; x.id == id {
			x.share, x.sent, x.until = g.Share, sent, until
			return g.Tokens
		}
	}
	b.loans = append(b.loans, borrowedLoan{
		id: id, lender: p.lender, standing: p.standing, share: g.Share, sent: sent, until: until,
	})
	return g.Tokens
}

// drop forgets a loan and any request about it, so that a late answer cannot
// bring it back.
func (b *BorrowedLoans) drop(id uint64) {
	delete(b.pending, id)
	for i := range b.loans {
		if b.loans[i].id == id {
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return
		}
	}
}

func (b *BorrowedLoans) nextEnd(now time.Time) time.Time {
	for _, x := range b.loans {
		if !x.until.After(now) {
			now = x.until
		}
	}
	return now
}

func (b *BorrowedLoans) expire(now time.Time) {
	kept := b.loans[:0]
	for _, x := range b.loans {
		if x.until.After(now) {
			kept = append(kept, x)
		}
	}
	b.loans = kept
	for id, p := range b.pending {
		if now.Sub(p.sent) > ShareLoanTerm {
			delete(b.pending, id)
		}
	}
}
