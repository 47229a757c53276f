package fairqueue

import "time"

// Limits of queueing.
const (
	// MaxWaiting is the maximum number of queued requests of one service at
	// one handler. With 12 slots, that many requests take 1.7 s at 5
	// ms each, and 3.4 s of a 5-second budget at 10 ms each. The queue uses
	// less than 1 MB of memory.
	MaxWaiting = 4096
	// maxWaitFraction is the fraction of the remaining budget that may be
	// spent in the queue. The rest is a margin for the error of the
	// estimates.
	maxWaitFraction = 0.75
	// standingQueueAge is how long a customer's queue may be non-empty before
	// it counts as a standing queue. Bursts to be absorbed last up to 2
	// seconds.
	standingQueueAge = 2 * time.Second
	// standingQueueMaxWait is the longest predicted delay at which a standing
	// queue accepts requests. A longer queue does not increase throughput; it
	// only delays all requests.
	standingQueueMaxWait = 100 * time.Millisecond
	// standingQueueMaxCosts is the same limit for long requests, as a
	// multiple of their own cost.
	standingQueueMaxCosts = 2
)

// Parameters of Refusal.RetryAfter.
const (
	// retryShare is the fraction of a customer's capacity that is reserved
	// for announced retries; the rest serves new requests.
	retryShare = 0.5
	// maxRetryAfter is the longest delay announced. It covers the time needed
	// to serve all requests refused during 10 s at three times the capacity.
	maxRetryAfter = time.Minute
)

// Queue is the queue of one service at one handler.
type Queue struct {
	classes          [classCount]*classQueue
	running          [classCount]int
	slots            int
	lastShortArrival time.Time
}

// New returns an empty queue.
func New() *Queue {
	q := &Queue{}
	for class := range q.classes {
		q.classes[class] = newClassQueue()
	}
	return q
}

// SetSlots sets the number of requests that may run at once.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.classes[Short].count + q.classes[Long].count }

// Push queues a request, or refuses it immediately.
func (q *Queue) Push(it *Item, now time.Time) *Refusal {
	if it.Class == Short {
		q.lastShortArrival = now
	}
	cq := q.classes[it.Class]
	c := cq.customerFor(it, now)
	if !q.contended() && now.Before(it.Deadline) {
		cq.push(it, c, now)
		return nil
	}
	budget := it.Deadline.Sub(now) - it.Cost
	if budget < 0 {
		return &Refusal{Reason: ReasonDeadline}
	}
	// A customer may queue at most as many requests as there are free places:
	// a single customer can use half of the queue, and others always find
	// free places.
	if free := MaxWaiting - q.Len(); c.count >= free {
		return q.newRefusal(ReasonQueueFull, it, c, duration(c.backlogMs/q.classCapacity(it.Class, now)), now)
	}
	allowed := maxWait(it, c, budget, now)
	predicted := duration(max(c.waitBias, 1) * cq.workAhead(c, it.Key, allowed, now) / q.classCapacity(it.Class, now))
	if predicted > allowed {
		return q.newRefusal(ReasonWaitTooLong, it, c, predicted-allowed, now)
	}
	it.predictedWait = predicted
	cq.push(it, c, now)
	return nil
}

// contended reports whether a request competes with others for a slot.
// Without competition a request runs even if its budget seems too short:
// estimates can be wrong, and an estimate that exceeds every budget after a
// slow period could never be corrected if no request ran.
func (q *Queue) contended() bool {
	return q.Len() > 0 || q.running[Short]+q.running[Long] >= q.slots
}

// maxWait returns the longest predicted queueing delay at which a request is
// queued.
func maxWait(it *Item, c *customer, budget time.Duration, now time.Time) time.Duration {
	allowed := time.Duration(maxWaitFraction * float64(budget))
	if c.count > 0 && now.Sub(c.nonEmptySince) > standingQueueAge {
		allowed = min(allowed, max(standingQueueMaxWait, standingQueueMaxCosts*it.Cost))
	}
	return allowed
}

// newRefusal returns a refusal with the delay after which a retry makes
// sense. delay is the time until the queue has a place. All refused callers
// are expected to retry, so each receives a later time than the previous one,
// spaced at the rate at which the customer's share can serve them.
func (q *Queue) newRefusal(reason Reason, it *Item, c *customer, delay time.Duration, now time.Time) *Refusal {
	retryAt := now.Add(max(delay, it.Cost))
	if c.nextRetryAt.After(retryAt) {
		retryAt = c.nextRetryAt
	}
	cq := q.classes[it.Class]
	spacing := milliseconds(it.Cost) * cq.totalWeight() / (c.weight * q.classCapacity(it.Class, now) * retryShare)
	if retryAt.Sub(now) >= maxRetryAfter {
		return &Refusal{Reason: reason, RetryAfter: maxRetryAfter}
	}
	c.nextRetryAt = retryAt.Add(duration(spacing))
	return &Refusal{Reason: reason, RetryAfter: retryAt.Sub(now)}
}

// Pop removes and returns the request to serve now, or nil if none may be
// served. Requests that can no longer meet their deadline are removed and
// passed to onExpired: serving them would use slots that other requests need.
func (q *Queue) Pop(now time.Time, onExpired func(*Item)) *Item {
	for {
		class, ok := q.nextClass(now)
		if !ok {
			return nil
		}
		cq := q.classes[class]
		it := cq.head()
		if q.tooLate(it, now) {
			cq.remove(it, false, now)
			onExpired(it)
			continue
		}
		cq.remove(it, true, now)
		q.running[class]++
		return it
	}
}

// tooLate reports whether serving a request would waste a slot: its deadline
// has passed, or will pass while it runs and another request is queued.
func (q *Queue) tooLate(it *Item, now time.Time) bool {
	if q.Len() > 1 {
		return now.Add(it.Cost).After(it.Deadline)
	}
	return !now.Before(it.Deadline)
}

// Done ends a request returned by Pop and charges the measured service time
// took, which is 0 if the request did not run.
func (q *Queue) Done(it *Item, took time.Duration, now time.Time) {
	q.running[it.Class]--
	q.classes[it.Class].correctCharge(it, took, now)
}

// Remove removes a queued request whose caller no longer waits. It returns
// false if the request is not queued.
func (q *Queue) Remove(it *Item, now time.Time) bool {
	if !it.queued {
		return false
	}
	q.classes[it.Class].remove(it, false, now)
	return true
}

// RetryAfter returns the retry delay to announce for a request that left the
// queue unserved.
func (q *Queue) RetryAfter(it *Item, now time.Time) time.Duration {
	c := it.flow.owner
	wait := duration(c.backlogMs / q.classCapacity(it.Class, now))
	return q.newRefusal(ReasonWaitTooLong, it, c, wait, now).RetryAfter
}
