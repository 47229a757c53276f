package place

import "time"

// How long a request may wait in an upstream's queue.
//
// Load pattern: a burst, a hot customer or the loss of a zone brings twice what
// the upstreams can do, for some seconds. Without a bound queues fill until the
// upstreams refuse. With a bound as tight as the target, requests are refused
// that the end of the burst would have served.
const (
	// queueLimitFactor is how long a request may wait, in parts of what its target
	// leaves beside work and way.
	queueLimitFactor = 4
	// minQueuePart is the part of its target that a request may always wait: one
	// whose work alone takes longer is late in any case, and warms the upstream
	// for the next.
	minQueuePart = 0.25
	// overRateQueuePart is the part of the wait within which it would be served in time that
	// a request may wait whose customer asks for more than its rate. Its callers
	// have more to ask at any time; if they fill the queues, those of all other
	// customers are late as well.
	overRateQueuePart = 2.0 / 3
	// lowerPriorityPart is what a less urgent request may wait of the wait that is
	// allowed to a more urgent one of the same service. Otherwise those with
	// the longer target would fill the queues first.
	lowerPriorityPart = 0.75
	// priorityMemory is how long a more urgent kind of request is reckoned with
	// after the last one.
	priorityWindow = 5 * time.Second
)

// standingFor is how long the shortest wait at an upstream is remembered. A queue that
// does not get shorter for so long does not come from a burst.
const standingQueueWindow = 500 * time.Millisecond

// standingQueue is the shortest wait that requests have met at an upstream lately, over
// the present half of standingFor and the one before.
//
// Load pattern: more requests than an upstream can do, for seconds. If each may wait until
// the queue is full, all of them are late. A queue that never gets short enough for an
// answer in time gains nothing, so it is kept as short as that.
type standingQueue struct {
	window            int64
	current, previous time.Duration
}

func (s *standingQueue) observe(now time.Time, wait time.Duration) {
	half := now.UnixNano() / int64(standingQueueWindow/2)
	switch half - s.window {
	case 0:
		s.current = min(s.current, wait)
	case 1:
		*s = standingQueue{half, wait, s.current}
	default:
		*s = standingQueue{half, wait, 0}
	}
}

// wait is the shortest wait over the last moments; 0 if there were no requests.
func (s *standingQueue) shortest(now time.Time) time.Duration {
	switch now.UnixNano()/int64(standingQueueWindow/2) - s.window {
	case 0:
		return min(s.current, s.previous)
	case 1:
		return s.current
	}
	return 0
}

// queueLimits is the wait that is allowed to each priority of one service.
type queueLimits map[int]queueLimit

type queueLimit struct {
	limit time.Duration
	at    time.Time
}

// inTimeWait is how long a request may wait and be served in time, if its work and way
// take rest of its target; leastWait of the target at least.
func onTimeQueueLimit(target, rest time.Duration) time.Duration {
	return max(target-rest, time.Duration(minQueuePart*float64(target)))
}

// limit is how long a request of the priority may wait if its work and way take
// rest of its target.
func (r queueLimits) limit(now time.Time, priority int, target, rest time.Duration) time.Duration {
	wait := queueLimitFactor * onTimeQueueLimit(target, rest)
	r[priority] = queueLimit{wait, now}
	for p, a := range r {
		if p < priority && now.Sub(a.at) < priorityWindow {
			wait = min(wait, time.Duration(lowerPriorityPart*float64(a.limit)))
		}
	}
	return wait
}

// FullError says that a request would wait too long at every upstream.
type QueueLimitError struct {
	Service string
	// Wait is the shortest that there is, and Allowed what the request may wait.
	ExpectedQueueing time.Duration
	Limit            time.Duration
}

func (e *QueueLimitError) Error() string {
	return "place: " + e.Service + ": would wait " + e.ExpectedQueueing.String() + ", may wait " + e.Limit.String()
}
