package quota

import (
	"context"
	"sync"
	"time"
)

// Limits of a ledger.
const (
	// maxEpochs is the number of earlier sets of held slots that are kept to
	// compute the level of an account that is created later. Older sets count
	// as empty.
	maxEpochs = 8
	// idleTimeout is the time after which an account that is full, unused and
	// without loans is dropped. It is created again with the same level when
	// it is needed.
	idleTimeout = time.Minute
	// planRequestsSize is the capacity of the queue of quotas that need a
	// plan. A quota that does not fit is planned at the next tick.
	planRequestsSize = 256
)

// Ledger holds this daemon's account for each quota in use. Traffic threads
// take tokens from it, and the control thread sets the held slots and the
// fleet state. A Ledger is safe for concurrent use: each account has its own
// lock.
type Ledger struct {
	// Fence blocks spending and lending after a pause of the process.
	Fence Fence

	accounts     sync.Map // name -> *entry
	planRequests chan string

	mu     sync.Mutex // guards epochs and the creation and removal of accounts
	epochs []epoch
}

// entry is an account with its lock.
type entry struct {
	mu      sync.Mutex
	account *Account
	// dropped is set when the entry has been removed from the ledger. A caller
	// that loaded the entry before its removal must load it again; otherwise
	// it would spend from this account while others spend from a new one.
	dropped bool
}

// epoch holds the slots that the daemon held from a time on.
type epoch struct {
	from      time.Time
	heldSlots *HeldSlots
}

// NewLedger returns a ledger without held slots, which admits nothing.
func NewLedger() *Ledger { return &Ledger{planRequests: make(chan string, planRequestsSize)} }

// SetHeldSlots sets the slots that this daemon holds from now on.
func (l *Ledger) SetHeldSlots(s *HeldSlots, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epochs = append(l.epochs, epoch{now, s})
	if len(l.epochs) > maxEpochs {
		l.epochs = l.epochs[1:]
	}
	l.forEach(func(name string, a *Account) {
		own, total, _ := s.Share(name)
		a.SetShares(own, total, now)
	})
}

func (l *Ledger) forEach(f func(name string, a *Account)) {
	l.accounts.Range(func(name, e any) bool {
		en := e.(*entry)
		en.mu.Lock()
		defer en.mu.Unlock()
		f(name.(string), en.account)
		return true
	})
}

// withAccount runs f on the account of a quota and creates the account if
// needed. It returns false if the quota is not known.
func (l *Ledger) withAccount(name string, now time.Time, f func(*Account)) bool {
	for {
		e, ok := l.accounts.Load(name)
		if !ok {
			if e, ok = l.make(name, now); !ok {
				return false
			}
		}
		if l.withEntry(e, now, f) {
			return true
		}
	}
}

// withEntry runs f on the account of an entry. It returns false if the entry
// has been dropped.
func (l *Ledger) withEntry(found any, now time.Time, f func(*Account)) bool {
	e := found.(*entry)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped {
		return false
	}
	e.account.fenced = !l.Fence.Open(now)
	f(e.account)
	return true
}

// make creates an account with the level it would have if it had existed since
// the oldest epoch: nothing was taken from it and nothing of it was lent.
func (l *Ledger) make(name string, now time.Time) (any, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts.Load(name); ok {
		return e, true
	}
	if len(l.epochs) == 0 {
		return nil, false
	}
	if _, _, known := l.epochs[len(l.epochs)-1].heldSlots.Share(name); !known {
		return nil, false
	}
	a := NewAccount(name, Share{}, Share{}, 0, l.epochs[0].from)
	for _, e := range l.epochs {
		own, total, _ := e.heldSlots.Share(name)
		a.SetShares(own, total, e.from)
	}
	a.advance(now)
	a.lastUsed, a.demandUpdatedAt = now, now
	e := &entry{account: a}
	l.accounts.Store(name, e)
	return e, true
}

// Take removes cost tokens of a quota. If it cannot, it returns the expected
// wait; a negative wait means that it is not known.
func (l *Ledger) Take(name string, cost float64, now time.Time) (bool, time.Duration) {
	ok, wait, needsPlan := false, unknownWait, false
	l.withAccount(name, now, func(a *Account) {
		ok, wait = a.Take(cost, now)
		needsPlan = a.wantsTokens()
	})
	if needsPlan {
		l.requestPlan(name)
	}
	return ok, wait
}

// ExpectedWait returns the time after which a request that arrives now would
// get its tokens, and false if the quota is not known.
func (l *Ledger) ExpectedWait(name string, cost float64, now time.Time) (known bool, wait time.Duration) {
	wait = unknownWait
	known = l.withAccount(name, now, func(a *Account) {
		a.advance(now)
		wait = a.expectedWait(cost)
	})
	return known, wait
}

// JoinQueue queues a request for cost tokens; see Account.JoinQueue.
func (l *Ledger) JoinQueue(name string, cost float64, maxWait time.Duration, now time.Time) (*Ticket, time.Duration) {
	var t *Ticket
	wait := unknownWait
	l.withAccount(name, now, func(a *Account) { t, wait = a.JoinQueue(cost, maxWait, now) })
	if t != nil {
		l.requestPlan(name)
	}
	return t, wait
}

// requestPlan requests a plan for a quota before the next tick. If the channel
// is full, the quota is planned at the next tick.
func (l *Ledger) requestPlan(name string) {
	select {
	case l.planRequests <- name:
	default:
	}
}

// PlanRequests delivers the names of quotas that need a plan before the next
// tick.
func (l *Ledger) PlanRequests() <-chan string { return l.planRequests }

// Await waits until a ticket is served (true) or refused (false). When ctx
// ends, the ticket is canceled, unless it has been served.
func (l *Ledger) Await(ctx context.Context, name string, t *Ticket) bool {
	for {
		wait := unknownWait
		l.withAccount(name, time.Now(), func(a *Account) { wait = a.ServeDelay(t) })
		select {
		case <-t.done:
			return t.state == ticketServed
		case <-ctx.Done():
			served := false
			l.withAccount(name, time.Now(), func(a *Account) { served = a.Cancel(t, time.Now()) })
			return served
		case <-time.After(max(wait, 0)):
			now := time.Now()
			l.withAccount(name, now, func(a *Account) { a.ServeQueue(now) })
		}
	}
}

// Refund returns the tokens that were taken for a request that certainly did
// not run.
func (l *Ledger) Refund(name string, cost float64, now time.Time) {
	l.withAccount(name, now, func(a *Account) { a.Refund(cost, now) })
}

// Plan returns the loan requests to send for one quota.
func (l *Ledger) Plan(name string, now time.Time) []OutgoingRequest {
	var out []OutgoingRequest
	if e, ok := l.accounts.Load(name); ok {
		l.withEntry(e, now, func(a *Account) { out = a.Plan(now) })
	}
	return out
}

// Lend handles a loan request of a peer; see Account.Lend.
func (l *Ledger) Lend(req LoanRequest, now time.Time) (g Grant, t *Ticket) {
	l.withAccount(req.Quota, now, func(a *Account) { g, t = a.Lend(req, now) })
	return g, t
}

// TicketGrant returns the response for a ticket of Lend that has ended.
func (l *Ledger) TicketGrant(name string, t *Ticket, now time.Time) (g Grant) {
	l.withAccount(name, now, func(a *Account) { g = a.TicketGrant(t) })
	return g
}

// ApplyGrant applies the response of a peer to a loan request; see
// Account.ApplyGrant.
func (l *Ledger) ApplyGrant(o OutgoingRequest, g Grant, now time.Time) {
	l.withAccount(o.Request.Quota, now, func(a *Account) { a.ApplyGrant(o.Request.Loan, g, o.SentAt, now) })
}

// DropRequest removes a loan request that failed.
func (l *Ledger) DropRequest(o OutgoingRequest, now time.Time) {
	l.withAccount(o.Request.Quota, now, func(a *Account) { a.DropRequest(o.Request.Loan, o.SentAt) })
}

// Names returns the names of the quotas that have an account.
func (l *Ledger) Names() []string {
	var names []string
	l.accounts.Range(func(name, _ any) bool {
		names = append(names, name.(string))
		return true
	})
	return names
}

// SetFleetState sets the fleet state of one quota.
func (l *Ledger) SetFleetState(name string, s FleetState) {
	if e, ok := l.accounts.Load(name); ok {
		l.withEntry(e, time.Now(), func(a *Account) { a.SetFleetState(s) })
	}
}

// Score returns the demand score of a quota to report to peers.
func (l *Ledger) Score(name string, now time.Time) (score float64) {
	if e, ok := l.accounts.Load(name); ok {
		l.withEntry(e, now, func(a *Account) { score = a.Score(now) })
	}
	return score
}

// DropIdle removes idle accounts. An account created again later has the same
// level.
func (l *Ledger) DropIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts.Range(func(name, e any) bool {
		l.withEntry(e, now, func(a *Account) {
			if a.isIdle(now) {
				e.(*entry).dropped = true
				l.accounts.Delete(name)
			}
		})
		return true
	})
}
