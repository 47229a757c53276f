package quota

import (
	"context"
	"sync"
	"time"
)

// Bounds of what a ledger keeps.
const (
	// maxEpochs is how many earlier shapes are kept to tell what an account
	// that is made later holds. Older ones count as empty.
	maxEpochs = 8
	// idleAfter is when an account that is full, unused and without loans is
	// dropped. It is made again with the same level when it is needed.
	idleAfter = time.Minute
	// wakeSize bounds the quotas noted for the planner; what does not fit is
	// found at its next tick.
	wakeSize = 256
)

// Ledger holds this daemon's account of each quota that is in use here.
// Traffic threads take from it; the control thread sets shape and situation.
// It is safe for concurrent use: each account has a lock of its own.
type Ledger struct {
	// Fence stops spending and lending after a pause.
	Fence Fence

	accounts sync.Map // name -> *entry
	wake     chan string

	mu     sync.Mutex // guards epochs and the making and dropping of accounts
	epochs []epoch
}

type entry struct {
	mu      sync.Mutex
	account *Account
	// dropped: a taker that found this entry just before must look again, or
	// it would spend from it and others from the account made anew.
	dropped bool
}

type epoch struct {
	from  time.Time
	shape *HeldSlots
}

// NewLedger returns a ledger without a shape: it admits nothing.
func NewLedger() *Ledger { return &Ledger{wake: make(chan string, wakeSize)} }

// SetHeldSlots sets the slots that this daemon holds from now on.
func (l *Ledger) SetHeldSlots(s *HeldSlots, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epochs = append(l.epochs, epoch{now, s})
	if len(l.epochs) > maxEpochs {
		l.epochs = l.epochs[1:]
	}
	l.each(func(name string, a *Account) {
		own, whole, _ := s.Share(name)
		a.SetShares(own, whole, now)
	})
}

func (l *Ledger) each(f func(name string, a *Account)) {
	l.accounts.Range(func(name, e any) bool {
		en := e.(*entry)
		en.mu.Lock()
		defer en.mu.Unlock()
		f(name.(string), en.account)
		return true
	})
}

// with runs f on a quota's account, made if there is none yet; false if the
// quota is not known.
func (l *Ledger) with(name string, now time.Time, f func(*Account)) bool {
	for {
		e, ok := l.accounts.Load(name)
		if !ok {
			if e, ok = l.make(name, now); !ok {
				return false
			}
		}
		if l.run(e, now, f) {
			return true
		}
	}
}

func (l *Ledger) run(found any, now time.Time, f func(*Account)) bool {
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

// make creates the account with the level that it would have had it been kept
// since the oldest epoch: nobody has taken from it or borrowed of it.
func (l *Ledger) make(name string, now time.Time) (any, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.accounts.Load(name); ok {
		return e, true
	}
	if len(l.epochs) == 0 {
		return nil, false
	}
	if _, _, known := l.epochs[len(l.epochs)-1].shape.Share(name); !known {
		return nil, false
	}
	a := NewAccount(name, Share{}, Share{}, 0, l.epochs[0].from)
	for _, e := range l.epochs {
		own, whole, _ := e.shape.Share(name)
		a.SetShares(own, whole, e.from)
	}
	a.advance(now)
	a.usedAt, a.demandAt = now, now
	e := &entry{account: a}
	l.accounts.Store(name, e)
	return e, true
}

// Take spends cost of a quota. If it cannot, it returns how long until it
// could; a negative time means that it is not known.
func (l *Ledger) Take(name string, cost float64, now time.Time) (bool, time.Duration) {
	ok, wait, wants := false, never, false
	l.with(name, now, func(a *Account) {
		ok, wait = a.Take(cost, now)
		wants = a.wants()
	})
	if wants {
		l.nudge(name)
	}
	return ok, wait
}

// ExpectedWait is how long until a taker that comes now would be served; false if
// the quota is not known.
func (l *Ledger) ExpectedWait(name string, cost float64, now time.Time) (known bool, wait time.Duration) {
	wait = never
	known = l.with(name, now, func(a *Account) {
		a.advance(now)
		wait = a.expected(cost)
	})
	return known, wait
}

// JoinQueue queues for cost; see Account.JoinQueue.
func (l *Ledger) JoinQueue(name string, cost float64, patience time.Duration, now time.Time) (*Ticket, time.Duration) {
	var t *Ticket
	wait := never
	l.with(name, now, func(a *Account) { t, wait = a.JoinQueue(cost, patience, now) })
	if t != nil {
		l.nudge(name)
	}
	return t, wait
}

func (l *Ledger) nudge(name string) {
	select {
	case l.wake <- name:
	default:
	}
}

// PlanRequests delivers the names of quotas that want a Plan before the next tick.
func (l *Ledger) PlanRequests() <-chan string { return l.wake }

// Await waits until a ticket was served (true) or refused, or ctx has ended;
// then the place is given up.
func (l *Ledger) Await(ctx context.Context, name string, t *Ticket) bool {
	for {
		wait := never
		l.with(name, time.Now(), func(a *Account) { wait = a.ServeDelay(t) })
		select {
		case <-t.done:
			return t.state == ticketServed
		case <-ctx.Done():
			served := false
			l.with(name, time.Now(), func(a *Account) { served = a.Cancel(t, time.Now()) })
			return served
		case <-time.After(max(wait, 0)):
			now := time.Now()
			l.with(name, now, func(a *Account) { a.ServeQueue(now) })
		}
	}
}

// Refund gives back what was taken for a request that certainly did not run.
func (l *Ledger) Refund(name string, cost float64, now time.Time) {
	l.with(name, now, func(a *Account) { a.Refund(cost, now) })
}

// Plan returns what to ask peers for one quota.
func (l *Ledger) Plan(name string, now time.Time) []OutgoingRequest {
	var out []OutgoingRequest
	if e, ok := l.accounts.Load(name); ok {
		l.run(e, now, func(a *Account) { out = a.Plan(now) })
	}
	return out
}

// Lend answers a peer's ask; see Account.Lend.
func (l *Ledger) Lend(ask LoanRequest, now time.Time) (g Grant, t *Ticket) {
	l.with(ask.Quota, now, func(a *Account) { g, t = a.Lend(ask, now) })
	return g, t
}

// TicketGrant is the response that a ticket of Lend came to.
func (l *Ledger) TicketGrant(name string, t *Ticket, now time.Time) (g Grant) {
	l.with(name, now, func(a *Account) { g = a.TicketGrant(t) })
	return g
}

// ApplyGrant applies a peer's response to a loan request; see Account.ApplyGrant.
func (l *Ledger) ApplyGrant(o OutgoingRequest, g Grant, now time.Time) {
	l.with(o.Request.Quota, now, func(a *Account) { a.ApplyGrant(o.Request.Loan, g, o.SentAt, now) })
}

// DropRequest removes a loan request that failed.
func (l *Ledger) DropRequest(o OutgoingRequest, now time.Time) {
	l.with(o.Request.Quota, now, func(a *Account) { a.DropRequest(o.Request.Loan, o.SentAt) })
}

// Names are the quotas in use here.
func (l *Ledger) Names() []string {
	var names []string
	l.accounts.Range(func(name, _ any) bool {
		names = append(names, name.(string))
		return true
	})
	return names
}

// SetFleetState sets what is known of the fleet for one quota.
func (l *Ledger) SetFleetState(name string, s FleetState) {
	if e, ok := l.accounts.Load(name); ok {
		l.run(e, time.Now(), func(a *Account) { a.SetFleetState(s) })
	}
}

// Score is what to tell peers of a quota's demand here.
func (l *Ledger) Score(name string, now time.Time) (score float64) {
	if e, ok := l.accounts.Load(name); ok {
		l.run(e, now, func(a *Account) { score = a.Score(now) })
	}
	return score
}

// DropIdle forgets accounts that would be made again as they are now.
func (l *Ledger) DropIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accounts.Range(func(name, e any) bool {
		l.run(e, now, func(a *Account) {
			if a.idle(now) {
				e.(*entry).dropped = true
				l.accounts.Delete(name)
			}
		})
		return true
	})
}
