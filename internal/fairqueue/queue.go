package fairqueue

import "time"

// Bounds of waiting.
const (
	// MaxWaiting bounds the requests that wait at one service of one handler:
	// at 5 ms and 12 slots a third of a second of work, at 10 ms and a
	// 5-second budget a sixth of what the budget allows; memory stays under 1 MB.
	MaxWaiting = 4096
	// waitPart is the part of the remaining budget that may pass in the queue.
	// The rest covers the error of the estimate.
	waitPart = 0.75
	// standingAfter is how long a customer's queue may stand before it is kept
	// short: the burst that is to be absorbed lasts two seconds.
	standingAfter = 2 * time.Second
	// standingWait is the wait allowed in a queue that stands. A longer one
	// serves nobody more, it only makes all of them late.
	standingWait = 100 * time.Millisecond
	// standingCosts is the same for long work, in multiples of its own cost.
	standingCosts = 2
)

// Times told to refused callers.
const (
	// promiseShare is the part of a customer's share that is promised to those
	// told to come back; the rest serves those who come anew.
	promiseShare = 0.5
	// maxRetry bounds the time told. It is what it takes to serve all who were
	// refused in 10 s of three times the capacity.
	maxRetry = time.Minute
)

// Queue is the queue of one service at one handler.
type Queue struct {
	parts     [classes]*part
	running   [classes]int
	room      int
	lastShort time.Time
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{}
	for class := range q.parts {
		q.parts[class] = newPart()
	}
	return q
}

// SetRoom tells how many requests may run at once.
func (q *Queue) SetRoom(slots int) { q.room = slots }

// Len is how many requests wait.
func (q *Queue) Len() int { return q.parts[Short].count + q.parts[Long].count }

// Push queues a request, or refuses it at once.
func (q *Queue) Push(it *Item, now time.Time) *Refusal {
	if it.Class == Short {
		q.lastShort = now
	}
	p := q.parts[it.Class]
	c := p.customerOf(it, now)
	if !q.contended() && now.Before(it.Deadline) {
		p.push(it, c, now)
		return nil
	}
	budget := it.Deadline.Sub(now) - it.Cost
	if budget < 0 {
		return &Refusal{Reason: ReasonDeadline}
	}
	// A customer may hold as many places as are left to all: one alone gets
	// half of them, and another always finds some.
	if free := MaxWaiting - q.Len(); c.count >= free {
		return q.refuse(ReasonFull, it, c, duration(c.backlog/q.capacity(it.Class, now)), now)
	}
	allowed := allowedWait(it, c, budget, now)
	wait := duration(max(c.bias, 1) * p.ahead(c, it.Key, allowed, now) / q.capacity(it.Class, now))
	if wait > allowed {
		return q.refuse(ReasonNoRoom, it, c, wait-allowed, now)
	}
	it.predicted = wait
	p.push(it, c, now)
	return nil
}

// contended tells whether a request would take room that another one wants.
// Where it would not, it runs whatever its budget: an estimate is an estimate,
// and one that a slow spell has raised above all budgets could never be
// corrected if nothing were served by it.
func (q *Queue) contended() bool {
	return q.Len() > 0 || q.running[Short]+q.running[Long] >= q.room
}

// allowedWait is the longest wait that the request is admitted to.
func allowedWait(it *Item, c *customer, budget time.Duration, now time.Time) time.Duration {
	allowed := time.Duration(waitPart * float64(budget))
	if c.count > 0 && now.Sub(c.standingSince) > standingAfter {
		allowed = min(allowed, max(standingWait, standingCosts*it.Cost))
	}
	return allowed
}

// refuse makes a refusal with the time at which coming back makes sense. All
// who are refused come back; so each is told a later time than the one before,
// at the pace at which the customer's share can serve them.
func (q *Queue) refuse(reason Reason, it *Item, c *customer, drain time.Duration, now time.Time) *Refusal {
	at := now.Add(max(drain, it.Cost))
	if c.promised.After(at) {
		at = c.promised
	}
	p := q.parts[it.Class]
	pace := milliseconds(it.Cost) * p.weights() / (c.weight * q.capacity(it.Class, now) * promiseShare)
	if at.Sub(now) >= maxRetry {
		return &Refusal{Reason: reason, RetryAfter: maxRetry}
	}
	c.promised = at.Add(duration(pace))
	return &Refusal{Reason: reason, RetryAfter: at.Sub(now)}
}

// Pop takes the request to be served now; nil if none may be. Requests that
// can no longer be done in time are taken out and passed to late: serving
// them would cost room that others can use.
func (q *Queue) Pop(now time.Time, late func(*Item)) *Item {
	for {
		class, ok := q.choose(now)
		if !ok {
			return nil
		}
		p := q.parts[class]
		it := p.first()
		if q.tooLate(it, now) {
			p.take(it, false, now)
			late(it)
			continue
		}
		p.take(it, true, now)
		q.running[class]++
		return it
	}
}

// tooLate tells whether serving a request would waste room: its deadline has
// passed, or will while it runs and another one waits.
func (q *Queue) tooLate(it *Item, now time.Time) bool {
	if q.Len() > 1 {
		return now.Add(it.Cost).After(it.Deadline)
	}
	return !now.Before(it.Deadline)
}

// Done settles a popped request after it took some time; 0 if it did not run.
func (q *Queue) Done(it *Item, took time.Duration, now time.Time) {
	q.running[it.Class]--
	q.parts[it.Class].settle(it, took, now)
}

// Remove takes a waiting request out whose caller gave up; false if it does
// not wait.
func (q *Queue) Remove(it *Item, now time.Time) bool {
	if !it.waits {
		return false
	}
	q.parts[it.Class].take(it, false, now)
	return true
}

// RetryAfter is what to tell a caller whose request left the queue unserved.
func (q *Queue) RetryAfter(it *Item, now time.Time) time.Duration {
	c := it.flow.owner
	wait := duration(c.backlog / q.capacity(it.Class, now))
	return q.refuse(ReasonNoRoom, it, c, wait, now).RetryAfter
}
