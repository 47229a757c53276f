package quota

import "time"

// Timing of loans.
const (
	// ShareLoanTerm is the term of a loan of a share. If the hub stops, its
	// sources have their shares back after this time. Renewal every
	// ShareLoanRenewal leaves three attempts.
	ShareLoanTerm = 2 * time.Second
	// ShareLoanRenewal is the time after which the borrower renews a loan of a
	// share.
	ShareLoanRenewal = 500 * time.Millisecond
	// TokenLoanTerm is the term of a loan of tokens. It is longer than the
	// round trip between the farthest regions (110 ms) and the longest wait in
	// the queue of the source (MaxWait) together. It is well below the
	// remaining term of a share loan between renewals, because the hub lends
	// from what it has borrowed.
	TokenLoanTerm = 800 * time.Millisecond
	// ExpiryMargin is added to every term by the source. It covers clock drift
	// during a term (under 1 ms at 500 ppm) and the time between a request's
	// reading of the clock and its spending of tokens.
	ExpiryMargin = 100 * time.Millisecond
	// Quarantine is the time for which a slot acquired without a transfer
	// stays unused, until every loan of its previous holder has expired
	// everywhere.
	Quarantine = ShareLoanTerm + 2*ExpiryMargin
)

// LoanRequest is a request to borrow from a peer. The borrower chooses Loan
// and never reuses the id of a loan that it has closed.
type LoanRequest struct {
	Quota, Borrower string
	Loan            uint64
	// ShareLoan requests or renews a loan of the unlent share of the peer.
	// Otherwise Tokens are requested; 0 requests none.
	ShareLoan bool
	Tokens    float64
	// MaxDelay is the time for which the peer may delay its response.
	MaxDelay time.Duration
	// ClosedLoans lists loans that the borrower has closed before their
	// expiry.
	ClosedLoans []LoanClosing
}

// LoanClosing closes a loan before its expiry. Tokens are the unspent tokens
// that the borrower returns.
type LoanClosing struct {
	Loan   uint64
	Tokens float64
}

// Grant is the response to a LoanRequest: the loan after the request, and the
// tokens transferred with this response. A zero Share means that nothing is
// granted.
type Grant struct {
	Share  Share
	Tokens float64
	Term   time.Duration
	// RetryAfter is the time after which the source expects to have tokens; 0
	// if it granted the request.
	RetryAfter time.Duration
}

type loanKey struct {
	borrower string
	id       uint64
}

// lentLoan is a loan as recorded by its source.
type lentLoan struct {
	key       loanKey
	share     Share
	expiresAt time.Time
	// maxTokens is the largest number of tokens that the loan can hold at
	// maxTokensAt: the tokens transferred with it and those accrued at its
	// rate.
	maxTokens   float64
	maxTokensAt time.Time
}

func (l *lentLoan) accrue(now time.Time) {
	if elapsed := now.Sub(l.maxTokensAt).Seconds(); elapsed > 0 {
		l.maxTokens = min(l.share.Burst, l.maxTokens+elapsed*l.share.Rate)
		l.maxTokensAt = now
	}
}

// LentLoans holds the loans that a daemon has made of one quota. They reduce
// the rate and capacity of its account. A record is removed when its term and
// ExpiryMargin have passed or when the borrower closes the loan. It never
// shrinks before that, because the borrower may be spending from it.
type LentLoans struct{ loans []lentLoan }

// Sum returns the sum of the loans.
func (l *LentLoans) Sum() Share {
	var sum Share
	for _, x := range l.loans {
		sum = sum.plus(x.share)
	}
	return sum
}

// lend records a loan, or enlarges and extends an existing one.
func (l *LentLoans) lend(key loanKey, added Share, tokens float64, term time.Duration, now time.Time) Share {
	until := now.Add(term + ExpiryMargin)
	for i := range l.loans {
		x := &l.loans[i]
		if x.key != key {
			continue
		}
		x.accrue(now)
		x.share = x.share.plus(added)
		x.maxTokens += tokens
		if until.After(x.expiresAt) {
			x.expiresAt = until
		}
		return x.share
	}
	l.loans = append(l.loans, lentLoan{key: key, share: added, expiresAt: until, maxTokens: tokens, maxTokensAt: now})
	return added
}

// close ends a loan before its expiry and returns the tokens to take back. A
// closing that is delivered twice, or after the expiry, finds no record and
// returns nothing. A closing that follows a repeated LoanRequest finds a
// record from which no daemon spends; the tokens returned are limited to what
// that record can hold, so no token is created.
func (l *LentLoans) close(key loanKey, tokens float64, now time.Time) float64 {
	for i := range l.loans {
		x := &l.loans[i]
		if x.key != key {
			continue
		}
		x.accrue(now)
		returned := max(0, min(tokens, x.maxTokens))
		l.loans = append(l.loans[:i], l.loans[i+1:]...)
		return returned
	}
	return 0
}

// nextExpiry returns the earliest expiry of a loan, or now if no loan expires
// before now.
func (l *LentLoans) nextExpiry(now time.Time) time.Time {
	for _, x := range l.loans {
		if !x.expiresAt.After(now) {
			now = x.expiresAt
		}
	}
	return now
}

func (l *LentLoans) expire(now time.Time) {
	remaining := l.loans[:0]
	for _, x := range l.loans {
		if x.expiresAt.After(now) {
			remaining = append(remaining, x)
		}
	}
	l.loans = remaining
}

// borrowedLoan is a loan as recorded by its borrower.
type borrowedLoan struct {
	id        uint64
	source    string
	shareLoan bool
	share     Share
	// requestedAt is the time at which the last granted request was sent. The
	// term counts from it.
	requestedAt, expiresAt time.Time
}

type pendingRequest struct {
	source    string
	shareLoan bool
	tokens    float64
	sentAt    time.Time
}

// BorrowedLoans holds the loans that a daemon has received of one quota and
// its pending requests. A loan raises the rate and capacity of the account
// until its term has passed.
type BorrowedLoans struct {
	loans   []borrowedLoan
	pending map[uint64]pendingRequest
	lastID  uint64
}

// SumAfter returns the sum of the loans that expire after t.
func (b *BorrowedLoans) SumAfter(t time.Time) Share {
	var sum Share
	for _, x := range b.loans {
		if x.expiresAt.After(t) {
			sum = sum.plus(x.share)
		}
	}
	return sum
}

// addPending records a request that is about to be sent.
func (b *BorrowedLoans) addPending(id uint64, p pendingRequest) {
	if b.pending == nil {
		b.pending = map[uint64]pendingRequest{}
	}
	b.pending[id] = p
}

// applyGrant applies the response to the request sent at sent and returns the
// tokens it transfers. A response is ignored if its request is no longer
// pending, because the loan was closed or requested again, or if the term has
// already passed: the source may have its capacity back.
func (b *BorrowedLoans) applyGrant(id uint64, g Grant, sent, now time.Time) float64 {
	p, found := b.pending[id]
	if !found || !p.sentAt.Equal(sent) {
		return 0
	}
	delete(b.pending, id)
	until := sent.Add(g.Term)
	if g.Share == (Share{}) || !until.After(now) {
		return 0
	}
	for i := range b.loans {
		if x := &b.loans[i]; x.id == id {
			x.share, x.requestedAt, x.expiresAt = g.Share, sent, until
			return g.Tokens
		}
	}
	b.loans = append(b.loans, borrowedLoan{
		id: id, source: p.source, shareLoan: p.shareLoan, share: g.Share, requestedAt: sent, expiresAt: until,
	})
	return g.Tokens
}

// remove deletes a loan and its pending request, so that a late response
// cannot restore the loan.
func (b *BorrowedLoans) remove(id uint64) {
	delete(b.pending, id)
	for i := range b.loans {
		if b.loans[i].id == id {
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return
		}
	}
}

// nextExpiry returns the earliest expiry of a loan, or now if no loan expires
// before now.
func (b *BorrowedLoans) nextExpiry(now time.Time) time.Time {
	for _, x := range b.loans {
		if !x.expiresAt.After(now) {
			now = x.expiresAt
		}
	}
	return now
}

func (b *BorrowedLoans) expire(now time.Time) {
	remaining := b.loans[:0]
	for _, x := range b.loans {
		if x.expiresAt.After(now) {
			remaining = append(remaining, x)
		}
	}
	b.loans = remaining
	for id, p := range b.pending {
		if now.Sub(p.sentAt) > ShareLoanTerm {
			delete(b.pending, id)
		}
	}
}
