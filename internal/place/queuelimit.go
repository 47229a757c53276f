package place

import "time"

// Limits on the queueing delay of a request at an upstream.
//
// A burst, a hot customer or the loss of a zone can bring twice the upstreams' capacity
// for several seconds. Without a limit, queues fill until the upstreams reject requests.
// With a limit as tight as the latency target, requests are rejected that could have
// been served at the end of the burst.
const (
	// queueLimitFactor is the longest queueing delay, as a multiple of the part of the
	// target that remains besides the service and round-trip times.
	queueLimitFactor = 4
	// minQueuePart is the part of its target that a request may always wait. A request
	// whose service time alone exceeds the target is late in any case, and warms the
	// object for the next one.
	minQueuePart = 0.25
	// overRateQueuePart is the queueing limit of requests of a customer that exceeds its
	// rate, as a part of the delay at which the response is still on time. Callers of
	// such a customer always have more requests to send; if these filled the queues,
	// the responses to all other customers would be late as well.
	overRateQueuePart = 2.0 / 3
	// lowerPriorityPart is the queueing limit of a less urgent request, as a part of the
	// limit of a more urgent one of the same service. Otherwise the requests with the
	// longer target would fill the queues first.
	lowerPriorityPart = 0.75
	// priorityWindow is how long the limit of a more urgent priority counts after its
	// last request.
	priorityWindow = 5 * time.Second
)

// standingQueueWindow is the time over which the minimum queueing delay at an upstream
// is tracked. A queue that does not get shorter for this long is not due to a burst.
const standingQueueWindow = 500 * time.Millisecond

// standingQueue tracks the minimum queueing delay at an upstream over the current half
// of standingQueueWindow and the previous one.
//
// While an upstream is overloaded for seconds, all responses are late if each request may
// wait until the queue is full. A queue that never becomes short enough for a response
// on time is of no use, so it is kept at the length at which responses are on time.
type standingQueue struct {
	halfIndex         int64
	current, previous time.Duration
}

func (s *standingQueue) observe(now time.Time, delay time.Duration) {
	index := now.UnixNano() / int64(standingQueueWindow/2)
	switch index - s.halfIndex {
	case 0:
		s.current = min(s.current, delay)
	case 1:
		*s = standingQueue{index, delay, s.current}
	default:
		*s = standingQueue{index, delay, 0}
	}
}

// shortest returns the minimum queueing delay over the window; 0 if there were no requests.
func (s *standingQueue) shortest(now time.Time) time.Duration {
	switch now.UnixNano()/int64(standingQueueWindow/2) - s.halfIndex {
	case 0:
		return min(s.current, s.previous)
	case 1:
		return s.current
	}
	return 0
}

// queueLimits holds the queueing limit of each priority of one service.
type queueLimits map[int]queueLimit

type queueLimit struct {
	limit time.Duration
	setAt time.Time
}

// onTimeQueueLimit returns the longest queueing delay at which a response is still on time,
// but at least minQueuePart of the target. baseLatency is the sum of the service and
// round-trip times.
func onTimeQueueLimit(target, baseLatency time.Duration) time.Duration {
	return max(target-baseLatency, time.Duration(minQueuePart*float64(target)))
}

// limit returns the longest queueing delay that a request of the priority may have.
// baseLatency is the sum of its service and round-trip times. The limit is lower while
// there are requests of a more urgent priority.
func (r queueLimits) limit(now time.Time, priority int, target, baseLatency time.Duration) time.Duration {
	limit := queueLimitFactor * onTimeQueueLimit(target, baseLatency)
	r[priority] = queueLimit{limit, now}
	for p, a := range r {
		if p < priority && now.Sub(a.setAt) < priorityWindow {
			limit = min(limit, time.Duration(lowerPriorityPart*float64(a.limit)))
		}
	}
	return limit
}

// QueueLimitError reports that the queueing delay at every upstream exceeds the limit.
type QueueLimitError struct {
	Service string
	// ExpectedQueueing is the delay at the preferred upstream. Limit is the longest
	// delay that the request may have.
	ExpectedQueueing time.Duration
	Limit            time.Duration
	// Latency is the sum of the service and round-trip times at the preferred upstream. RoomAfter is
	// when an upstream is expected to have room for the request. They are set if the request waits at
	// the host.
	Latency   time.Duration
	RoomAfter time.Duration
	// ShiftLimited is set if requests may not go to other regions because too many have moved
	// there recently.
	ShiftLimited bool
	// NoRoom is set if the hosts share the room of the upstreams, and all of it is in use at those
	// that the request would go to.
	NoRoom bool
}

func (e *QueueLimitError) Error() string {
	text := "place: " + e.Service + ": would wait " + e.ExpectedQueueing.String() + ", may wait " + e.Limit.String()
	if e.NoRoom {
		text += ", room of the preferred upstreams in use"
	}
	if e.ShiftLimited {
		text += ", other regions at their shift limit"
	}
	return text
}
