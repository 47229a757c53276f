package quota

import (
	"math"
	"time"
)

// MaxWait bounds the wait for a token: four round trips between the farthest
// regions (110 ms). A daemon that is not the hub needs one round trip for a
// token and up to one more where a request is already under way; the rest
// evens out chance bursts of callers inside their rate. Without a wait, every
// daemon whose own part is empty refuses although the fleet has tokens.
const MaxWait = 450 * time.Millisecond

// demandMemory is the time over which demand is averaged: four heartbeats, so
// that chance does not move the hub, short against a move of the traffic.
const demandMemory = 2 * time.Second

// wakeSlack keeps a waiter from waking just before its turn.
const wakeSlack = 50 * time.Microsecond

// never is told where no wait is known.
const never = time.Duration(-1)

// Ticket is a place in an account's queue.
type Ticket struct {
	cost  float64
	until time.Time
	// loan is set where a peer waits.
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

// Done is closed when the ticket was served or refused.
func (t *Ticket) Done() <-chan struct{} { return t.done }

func (t *Ticket) end(s ticketState) {
	t.state = s
	close(t.done)
}

// Account is one daemon's part of one quota: a token bucket over its own
// share, less what it lends, plus what it borrows, with a queue of takers in
// the order of their coming.
//
// Its level grows by its rate up to its capacity and falls by what is spent
// or lent; nothing else raises it. As rates and capacities of all accounts
// together stay within the quota, so do all spends together, in any window.
//
// Every call first brings the account to now, in the order of the ends of
// loans. A daemon that was paused past a term (its callers would see requests
// admitted on a share that its lender has again) therefore loses the loan
// before it can take. An Account is not safe for concurrent use.
type Account struct {
	name     string
	own      Share
	whole    Share
	lender   LentLoans
	borrower BorrowedLoans
	level    float64
	at       time.Time
	queue    []*Ticket
	queued   float64

	demand   float64
	demandAt time.Time
	usedAt   time.Time
	// fenced: nothing may be spent or lent now; see Fence.
	fenced bool
	// blockedUntil: the hub has said that it has nothing before then.
	blockedUntil time.Time
	situation    FleetState
	roundTrip    time.Duration
}

// NewAccount returns an account over an own share of the whole quota.
func NewAccount(name string, own, whole Share, level float64, now time.Time) *Account {
	return &Account{
		name: name, own: own, whole: whole, level: math.Min(level, own.Burst),
		at: now, demandAt: now, usedAt: now, roundTrip: firstRoundTrip,
	}
}

// shape is the rate and capacity for now.
func (a *Account) shape() Share {
	s := a.own.minus(a.lender.Sum()).plus(a.borrower.SumAfter(a.at))
	return Share{Rate: max(0, s.Rate), Burst: max(0, s.Burst)}
}

// free is what of the own share is not lent.
func (a *Account) free() Share {
	s := a.own.minus(a.lender.Sum())
	return Share{Rate: max(0, s.Rate), Burst: max(0, s.Burst)}
}

func (a *Account) advance(now time.Time) {
	for {
		next := a.borrower.nextEnd(a.lender.nextEnd(now))
		a.accrue(next)
		a.lender.expire(a.at)
		a.borrower.expire(a.at)
		a.cut()
		if !next.Before(now) {
			return
		}
	}
}

func (a *Account) accrue(to time.Time) {
	passed := to.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	s := a.shape()
	a.level = math.Min(s.Burst, a.level+passed*s.Rate)
	a.at = to
}

// cut drops tokens above the capacity.
func (a *Account) cut() { a.level = math.Min(a.level, a.shape().Burst) }

// SetShares sets the own share and the whole quota. The level never rises by it.
func (a *Account) SetShares(own, whole Share, now time.Time) {
	a.advance(now)
	a.own, a.whole = own, whole
	a.cut()
}

// Take spends cost at once, or tells how long until it could; never if that
// is not known.
func (a *Account) Take(cost float64, now time.Time) (bool, time.Duration) {
	a.advance(now)
	a.note(cost, now)
	a.serve()
	if len(a.queue) == 0 && a.covers(cost) {
		a.level -= cost
		return true, 0
	}
	return false, a.expected(cost)
}

// expected is how long until a taker that comes now would be served. Where
// most of the quota is elsewhere and comes from a hub, or will as soon as this
// daemon's first demand is known, the whole rate counts.
func (a *Account) expected(cost float64) time.Duration {
	if wait := a.blockedUntil.Sub(a.at); wait > 0 {
		return wait
	}
	s := a.shape()
	helped := s.Rate <= 0 || a.situation.Hub != ""
	if s.Rate < a.whole.Rate/2 && helped {
		s = a.whole
	}
	if s.Rate <= 0 {
		return never
	}
	return seconds(max(0, a.queued+cost-a.level) / s.Rate)
}

// JoinQueue takes a place in the queue after a Take that failed. Without a ticket
// the taker is refused at once: nothing can be there for it within patience,
// or the customer is over its whole rate and waiting would only make every
// caller late. The duration is when to come back.
func (a *Account) JoinQueue(cost float64, patience time.Duration, now time.Time) (*Ticket, time.Duration) {
	a.advance(now)
	patience = min(patience, MaxWait)
	wait := a.expected(cost)
	switch {
	case patience <= 0 || wait < 0 || wait > patience:
		return nil, wait
	case a.situation.OverRate && a.isHub():
		return nil, wait
	}
	return a.enqueue(&Ticket{cost: cost, until: a.at.Add(patience)}), wait
}

func (a *Account) isHub() bool { return a.situation.Hub == a.situation.Self }

func (a *Account) enqueue(t *Ticket) *Ticket {
	t.done = make(chan struct{})
	a.queue = append(a.queue, t)
	a.queued += t.cost
	return t
}

// ServeQueue brings the account to now and serves its queue.
func (a *Account) ServeQueue(now time.Time) {
	a.advance(now)
	a.serve()
}

func (a *Account) serve() {
	for len(a.queue) > 0 {
		t := a.queue[0]
		if t.until.Before(a.at) {
			a.leave(0)
			t.end(ticketRefused)
			continue
		}
		if !a.covers(t.cost) {
			return
		}
		a.leave(0)
		if t.loan != nil {
			a.serveLoan(t)
			continue
		}
		a.level -= t.cost
		t.end(ticketServed)
	}
}

// covers is false also for a level that is not a number, so that an error in
// the sums refuses and never admits.
func (a *Account) covers(cost float64) bool { return !a.fenced && a.level >= cost }

func (a *Account) serveLoan(t *Ticket) {
	t.grant = a.lendTokens(*t.loan, t.cost)
	if t.grant.Tokens > 0 {
		t.end(ticketServed)
		return
	}
	t.end(ticketRefused)
}

func (a *Account) leave(i int) {
	a.queued -= a.queue[i].cost
	a.queue = append(a.queue[:i], a.queue[i+1:]...)
	if len(a.queue) == 0 {
		a.queued = 0
	}
}

// Cancel gives a ticket up and tells whether it had been served before.
func (a *Account) Cancel(t *Ticket, now time.Time) bool {
	a.advance(now)
	a.serve()
	for i, x := range a.queue {
		if x == t {
			a.leave(i)
			t.end(ticketRefused)
			break
		}
	}
	return t.state == ticketServed
}

// ServeDelay is how long until a ticket's turn may have come, as far as this
// account knows. Each waiter asks for its own turn, so that a long queue does
// not wake as a whole.
func (a *Account) ServeDelay(t *Ticket) time.Duration {
	ahead := 0.0
	for _, x := range a.queue {
		ahead += x.cost
		if x == t {
			break
		}
	}
	wait := max(0, t.until.Sub(a.at)) + wakeSlack
	if s := a.shape(); s.Rate > 0 && s.Burst >= t.cost {
		wait = min(wait, seconds(max(0, ahead-a.level)/s.Rate)+wakeSlack)
	}
	return wait
}

// Refund gives back what was taken for a request that certainly did not run.
func (a *Account) Refund(cost float64, now time.Time) {
	a.advance(now)
	a.level = math.Min(a.shape().Burst, a.level+cost)
	a.serve()
}

// Level is the tokens in the account.
func (a *Account) Level(now time.Time) float64 {
	a.advance(now)
	return a.level
}

func (a *Account) note(cost float64, now time.Time) {
	a.usedAt = now
	a.demand = a.Demand(now) + cost/demandMemory.Seconds()
	a.demandAt = now
}

// Demand is the rate at which takers come, in tokens per second.
func (a *Account) Demand(now time.Time) float64 {
	passed := max(0, now.Sub(a.demandAt).Seconds())
	return a.demand * math.Exp(-passed/demandMemory.Seconds())
}

// wants tells whether a Plan now would ask for tokens.
func (a *Account) wants() bool {
	source := a.source()
	return source != "" && a.need(source) >= 1 && a.pulls() < maxPulls
}

// idle: nothing is lent, borrowed, asked or waited for, and the level is full.
func (a *Account) idle(now time.Time) bool {
	a.advance(now)
	quiet := len(a.lender.loans)+len(a.borrower.loans)+len(a.borrower.pending)+len(a.queue) == 0
	return quiet && a.level >= a.own.Burst && now.Sub(a.usedAt) > idleAfter
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
