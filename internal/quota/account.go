package quota

import (
	"math"
	"time"
)

// MaxWait is the longest time for which a request waits for a token: four
// round trips between the farthest regions (110 ms). A daemon that is not the
// hub needs one round trip to borrow a token, and up to one more if another
// loan request is already pending. The rest evens out random bursts of callers
// that are within their rate. Without a wait, every daemon whose own share is
// used up would refuse requests although the fleet has tokens.
const MaxWait = 450 * time.Millisecond

// demandTimeConstant is the time constant of the average demand: four
// heartbeats, long enough that random fluctuation does not move the hub, and
// short compared with a shift of the traffic.
const demandTimeConstant = 2 * time.Second

// wakeSlack is added to the delay of a waiter so that it does not wake just
// before its turn.
const wakeSlack = 50 * time.Microsecond

// unknownWait is returned where the expected wait is not known.
const unknownWait = time.Duration(-1)

// Ticket is an entry in the queue of an account.
type Ticket struct {
	cost     float64
	deadline time.Time
	// loan is set if a peer is waiting for a loan of tokens.
	loan  *loanKey
	grant Grant
	done  chan struct{}
	state ticketState
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketServed
	ticketRefused
)

// Done is closed when the ticket is served or refused.
func (t *Ticket) Done() <-chan struct{} { return t.done }

func (t *Ticket) finish(s ticketState) {
	t.state = s
	close(t.done)
}

// Account is one daemon's part of one quota: a token bucket over the daemon's
// own share, less its lent loans and plus its borrowed loans, with a FIFO
// queue of requests that wait for tokens.
//
// The level grows at the account's rate up to its capacity and falls by the
// tokens that are spent or lent. Nothing else raises it. Since the rates and
// capacities of all accounts together stay within the quota, all spends
// together stay within it too, in any time window.
//
// Every call first advances the account to now and ends loans in the order of
// their expiry. A daemon that was paused for longer than the term of a loan
// therefore loses the loan before it can take from it; otherwise it would
// admit requests on a share that its source has taken back. An Account is not
// safe for concurrent use.
type Account struct {
	name       string
	ownShare   Share
	total      Share
	lent       LentLoans
	borrowed   BorrowedLoans
	level      float64
	updatedAt  time.Time
	queue      []*Ticket
	queuedCost float64

	demand          float64
	demandUpdatedAt time.Time
	lastUsed        time.Time
	// fenced is set while the account may neither spend nor lend; see Fence.
	fenced bool
	// blockedUntil is the time before which the hub has no tokens, according
	// to its last response.
	blockedUntil time.Time
	fleet        FleetState
	roundTrip    time.Duration
}

// NewAccount returns an account with its own share of a total quota.
func NewAccount(name string, own, total Share, level float64, now time.Time) *Account {
	return &Account{
		name: name, ownShare: own, total: total, level: math.Min(level, own.Burst),
		updatedAt: now, demandUpdatedAt: now, lastUsed: now, roundTrip: initialRoundTrip,
	}
}

// effectiveShare returns the current rate and capacity of the account, with
// loans.
func (a *Account) effectiveShare() Share {
	s := a.ownShare.minus(a.lent.Sum()).plus(a.borrowed.SumAfter(a.updatedAt))
	return Share{Rate: max(0, s.Rate), Burst: max(0, s.Burst)}
}

// unlentShare returns the part of the own share that is not lent.
func (a *Account) unlentShare() Share {
	s := a.ownShare.minus(a.lent.Sum())
	return Share{Rate: max(0, s.Rate), Burst: max(0, s.Burst)}
}

// advance accrues tokens up to now and ends each loan that expires before now
// at the time of its expiry.
func (a *Account) advance(now time.Time) {
	for {
		next := a.borrowed.nextExpiry(a.lent.nextExpiry(now))
		a.accrue(next)
		a.lent.expire(a.updatedAt)
		a.borrowed.expire(a.updatedAt)
		a.capLevel()
		if !next.Before(now) {
			return
		}
	}
}

func (a *Account) accrue(to time.Time) {
	elapsed := to.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s := a.effectiveShare()
	a.level = math.Min(s.Burst, a.level+elapsed*s.Rate)
	a.updatedAt = to
}

// capLevel drops tokens above the capacity.
func (a *Account) capLevel() { a.level = math.Min(a.level, a.effectiveShare().Burst) }

// SetShares sets the own share and the total quota. It never raises the level.
func (a *Account) SetShares(own, total Share, now time.Time) {
	a.advance(now)
	a.ownShare, a.total = own, total
	a.capLevel()
}

// Take removes cost tokens, or returns the expected wait; a negative wait
// means that it is not known.
func (a *Account) Take(cost float64, now time.Time) (bool, time.Duration) {
	a.advance(now)
	a.recordDemand(cost, now)
	a.serve()
	if len(a.queue) == 0 && a.covers(cost) {
		a.level -= cost
		return true, 0
	}
	return false, a.expectedWait(cost)
}

// expectedWait returns the time after which a request that arrives now would
// get its tokens. It is computed with the total rate if the account's current
// rate is less than half of that and either a hub is known, from which the
// daemon borrows, or the account has no rate at all: the daemon then borrows
// as soon as its first demand is known.
func (a *Account) expectedWait(cost float64) time.Duration {
	if wait := a.blockedUntil.Sub(a.updatedAt); wait > 0 {
		return wait
	}
	s := a.effectiveShare()
	viaHub := s.Rate <= 0 || a.fleet.Hub != ""
	if s.Rate < a.total.Rate/2 && viaHub {
		s = a.total
	}
	if s.Rate <= 0 {
		return unknownWait
	}
	return seconds(max(0, a.queuedCost+cost-a.level) / s.Rate)
}

// JoinQueue queues a request after a failed Take. It returns no ticket if no
// token can be available within maxWait, or if the customer exceeds its total
// rate, where waiting would only delay every caller. The duration is the time
// after which to retry.
func (a *Account) JoinQueue(cost float64, maxWait time.Duration, now time.Time) (*Ticket, time.Duration) {
	a.advance(now)
	maxWait = min(maxWait, MaxWait)
	wait := a.expectedWait(cost)
	switch {
	case maxWait <= 0 || wait < 0 || wait > maxWait:
		return nil, wait
	case a.fleet.OverRate && a.isHub():
		return nil, wait
	}
	return a.enqueue(&Ticket{cost: cost, deadline: a.updatedAt.Add(maxWait)}), wait
}

func (a *Account) isHub() bool { return a.fleet.Hub == a.fleet.Self }

func (a *Account) enqueue(t *Ticket) *Ticket {
	t.done = make(chan struct{})
	a.queue = append(a.queue, t)
	a.queuedCost += t.cost
	return t
}

// ServeQueue advances the account to now and serves its queue.
func (a *Account) ServeQueue(now time.Time) {
	a.advance(now)
	a.serve()
}

// serve serves the tickets at the head of the queue as far as the level
// allows, and refuses those past their deadline.
func (a *Account) serve() {
	for len(a.queue) > 0 {
		t := a.queue[0]
		if t.deadline.Before(a.updatedAt) {
			a.dequeue(0)
			t.finish(ticketRefused)
			continue
		}
		if !a.covers(t.cost) {
			return
		}
		a.dequeue(0)
		if t.loan != nil {
			a.serveLoan(t)
			continue
		}
		a.level -= t.cost
		t.finish(ticketServed)
	}
}

// covers reports whether cost may be spent now. It is false if the level is
// not a number, so that an arithmetic error refuses requests and never admits
// them.
func (a *Account) covers(cost float64) bool { return !a.fenced && a.level >= cost }

func (a *Account) serveLoan(t *Ticket) {
	t.grant = a.lendTokens(*t.loan, t.cost)
	if t.grant.Tokens > 0 {
		t.finish(ticketServed)
		return
	}
	t.finish(ticketRefused)
}

func (a *Account) dequeue(i int) {
	a.queuedCost -= a.queue[i].cost
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	if len(a.queue) == 0 {
		a.queuedCost = 0
	}
}

// Cancel removes a ticket from the queue and reports whether it had already
// been served.
func (a *Account) Cancel(t *Ticket, now time.Time) bool {
	a.advance(now)
	a.serve()
	for i, x := range a.queue {
		if x == t {
			a.dequeue(i)
			t.finish(ticketRefused)
			break
		}
	}
	return t.state == ticketServed
}

// ServeDelay returns the time after which the ticket may be served, as far as
// this account knows. Each waiter sleeps until its own turn, so that a long
// queue does not wake up all at once.
func (a *Account) ServeDelay(t *Ticket) time.Duration {
	costAhead := 0.0
	for _, x := range a.queue {
		costAhead += x.cost
		if x == t {
			break
		}
	}
	wait := max(0, t.deadline.Sub(a.updatedAt)) + wakeSlack
	if s := a.effectiveShare(); s.Rate > 0 && s.Burst >= t.cost {
		wait = min(wait, seconds(max(0, costAhead-a.level)/s.Rate)+wakeSlack)
	}
	return wait
}

// Refund returns the tokens that were taken for a request that certainly did
// not run.
func (a *Account) Refund(cost float64, now time.Time) {
	a.advance(now)
	a.level = math.Min(a.effectiveShare().Burst, a.level+cost)
	a.serve()
}

// Level returns the number of tokens in the account.
func (a *Account) Level(now time.Time) float64 {
	a.advance(now)
	return a.level
}

func (a *Account) recordDemand(cost float64, now time.Time) {
	a.lastUsed = now
	a.demand = a.Demand(now) + cost/demandTimeConstant.Seconds()
	a.demandUpdatedAt = now
}

// Demand returns the average rate of requests for tokens, in tokens per
// second.
func (a *Account) Demand(now time.Time) float64 {
	elapsed := max(0, now.Sub(a.demandUpdatedAt).Seconds())
	return a.demand * math.Exp(-elapsed/demandTimeConstant.Seconds())
}

// wantsTokens reports whether a Plan now would request tokens.
func (a *Account) wantsTokens() bool {
	source := a.tokenSource()
	return source != "" && a.tokensNeeded(source) >= 1 && a.pendingTokenRequests() < maxTokenRequests
}

// isIdle reports whether the account is full, has not been used recently, and
// has no loans, pending requests or queued tickets.
func (a *Account) isIdle(now time.Time) bool {
	a.advance(now)
	inactive := len(a.lent.loans)+len(a.borrowed.loans)+len(a.borrowed.pending)+len(a.queue) == 0
	return inactive && a.level >= a.ownShare.Burst && now.Sub(a.lastUsed) > idleTimeout
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
