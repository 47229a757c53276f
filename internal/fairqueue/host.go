package fairqueue

import (
	"fmt"
	"slices"
	"time"
)

// Limits of a queue at an entry host.
const (
	// MaxHostWaiting is the maximum number of requests of one service that wait at a host.
	MaxHostWaiting = 2048
	// hostPriorities is the number of priorities that are told apart.
	hostPriorities = 8
	// minServedPart is the part of the requests of a less urgent priority that is served before more
	// urgent ones, relative to the part of those that is served. It keeps a priority from starving.
	minServedPart = 0.25
	// minSpareFraction is the least fraction of the capacity that is assumed to remain for requests
	// behind more important ones.
	minSpareFraction = 0.05
	// hostWindow is the time constant of averages over the requests of a host.
	hostWindow = time.Second
	// shareWindow is that of the averages that shares are computed from. It spans the targets of
	// most routes.
	shareWindow = 5 * time.Second
	// busyFraction is the fraction of the requests in flight that are not in an upstream's pipeline.
	busyFraction = 0.75
)

// HostRequest is one request at an entry host. Its exported fields must not change while it waits,
// except by HostQueue.Update.
type HostRequest struct {
	Customer string
	// Rate is the request rate to which the customer is entitled; 0: unlimited. OverRate is set if
	// its demand exceeds that.
	Rate     float64
	OverRate bool
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Kind is a hash of the route. Latency is the expected time from the sending until the response.
	Kind    uint64
	Latency time.Duration
	// Target is until when the response is in time, Deadline until when it is of any use.
	Target, Deadline time.Time
	// Value is not used by this package.
	Value any

	class Class
	// margin is the time left for a latency that exceeds the expected one.
	margin    time.Duration
	band      *hostBand
	customer  *hostCustomer
	queuedAt  time.Time
	startedAt time.Time
}

// latestStart is when the request must be sent to meet its target, or its deadline if it is late.
func (r *HostRequest) latestStart(late bool) time.Time {
	if late {
		return r.Deadline.Add(-r.Latency)
	}
	return r.Target.Add(-r.Latency - r.margin)
}

// Waited returns how long the request has waited.
func (r *HostRequest) Waited(now time.Time) time.Duration { return now.Sub(r.queuedAt) }

// Name returns a short name of the reason, for metrics.
func (r Reason) Name() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonWaitTooLong:
		return "wait"
	default:
		return "full"
	}
}

// HostRefusal is the error for a request whose turn cannot come in time.
type HostRefusal struct {
	Reason Reason
	// PredictedWait is the wait that was predicted, Allowed the longest with which a response would
	// have been of use, and Position the number of requests that would have been served earlier.
	PredictedWait, Allowed time.Duration
	Position               int
	// RetryAfter is when the queue is expected to accept such a request.
	RetryAfter time.Duration
}

// Error implements error.
func (r *HostRefusal) Error() string {
	return fmt.Sprintf("fairqueue: %s: predicted wait %v, may wait %v, position %d", r.Reason, r.PredictedWait, r.Allowed, r.Position)
}

// HostQueue decides which requests of one service an entry host sends next.
//
// Load: more demand than room for some time, customers that exceed their rate, bursts of one kind of
// request, long requests beside short ones. The room is best spent on responses that are in time, and
// the same part of the demand of each customer within its rate should be served. How many upstreams have
// room is not known to it: its owner asks for the next request when there may be room. It is not safe
// for concurrent use.
type HostQueue struct {
	bands     [2 * 2 * hostPriorities]*hostBand
	customers map[string]*hostCustomer
	kinds     *CostEstimator
	// excesses are the margins by kind of request.
	excesses         map[uint64]*excess
	lastShortArrival time.Time
	count            int
	inFlight         int
	started          average
	served           [hostPriorities]average
	asked            [hostPriorities]average
	lastSweep        time.Time
}

// NewHostQueue returns an empty queue. expected is the service time of kinds of requests that have
// not been measured.
func NewHostQueue(expected time.Duration) *HostQueue {
	q := &HostQueue{customers: map[string]*hostCustomer{}, kinds: NewCostEstimator(expected), excesses: map[uint64]*excess{}}
	for i := range q.bands {
		q.bands[i] = &hostBand{
			group: i / hostPriorities, late: i >= 2*hostPriorities, priority: i % hostPriorities, started: average{window: hostWindow},
		}
	}
	q.started.window = hostWindow
	for i := range hostPriorities {
		q.served[i].window, q.asked[i].window = shareWindow, shareWindow
	}
	return q
}

// Len returns the number of waiting requests.
func (q *HostQueue) Len() int { return q.count }

// InFlight returns the number of requests that were sent and have not ended.
func (q *HostQueue) InFlight() int { return q.inFlight }

// bandOf returns the band of a request. The bands are in the order in which they are served: in time
// before late, within the rate before over it, urgent before less urgent.
func (q *HostQueue) bandOf(r *HostRequest, late bool) *hostBand {
	index := min(max(r.Priority, 0), hostPriorities-1)
	if r.OverRate {
		index += hostPriorities
	}
	if late {
		index += 2 * hostPriorities
	}
	return q.bands[index]
}

// Arrive records the arrival of a request, which is then either started or pushed.
func (q *HostQueue) Arrive(r *HostRequest, now time.Time) {
	_, r.class = q.kinds.Estimate(r.Kind)
	r.queuedAt = now
	if e := q.excesses[r.Kind]; e != nil {
		r.margin = time.Duration(*e)
	}
	if r.class == Short {
		q.lastShortArrival = now
	}
	c := q.customers[r.Customer]
	if c == nil {
		q.sweep(now)
		c = newHostCustomer()
		q.customers[r.Customer] = c
	}
	c.rate = r.Rate
	c.asked.add(milliseconds(r.Latency), now)
	c.requests.add(1, now)
	c.lastArrival = now
	r.customer = c
	q.asked[q.bandOf(r, false).priority].add(1, now)
}

// Push queues a request that has arrived, or refuses it if its turn cannot come in time.
func (q *HostQueue) Push(r *HostRequest, now time.Time) *HostRefusal {
	if r.customer.waiting >= MaxHostWaiting-q.count {
		return q.refuse(ReasonQueueFull, r, q.bandOf(r, true), now)
	}
	return q.place(r, now)
}

// place inserts a request before those that cannot be in time if it still can, else among them. It is
// refused if its turn is neither expected in time, nor before its deadline behind those that are in time.
func (q *HostQueue) place(r *HostRequest, now time.Time) *HostRefusal {
	band := q.bandOf(r, now.After(r.latestStart(false)))
	if wait, _ := q.predict(r, band, now); band.late || now.Add(wait).After(r.latestStart(false)) {
		late := q.bandOf(r, true)
		wait, _ := q.predict(r, late, now)
		switch {
		case now.After(r.latestStart(true)):
			return q.refuse(ReasonDeadline, r, late, now)
		case now.Add(wait).After(r.latestStart(true)):
			return q.refuse(ReasonWaitTooLong, r, late, now)
		}
	}
	q.insert(r, band)
	return nil
}

func (q *HostQueue) refuse(reason Reason, r *HostRequest, band *hostBand, now time.Time) *HostRefusal {
	wait, position := q.predict(r, band, now)
	allowed := max(r.latestStart(true).Sub(now), 0)
	// What waits now is gone by its deadline, however long the wait that is predicted from a few samples.
	retryAfter := min(wait-allowed, r.Deadline.Sub(now))
	return &HostRefusal{Reason: reason, PredictedWait: wait, Allowed: allowed, Position: position, RetryAfter: max(retryAfter, r.Latency)}
}

// predict estimates the wait of a request in a band, and the number of requests served before it.
func (q *HostQueue) predict(r *HostRequest, band *hostBand, now time.Time) (time.Duration, int) {
	ahead, position, higher := 0.0, 0, 0.0
	for _, b := range q.bands {
		if b == band {
			break
		}
		if b.group == band.group && q.starves(band.priority, b.priority, now) {
			continue
		}
		ahead += b.workMs
		position += b.count
		higher += b.started.perSecond(now)
	}
	capacity := q.capacity(now)
	spare := max(capacity-higher/1000, minSpareFraction*capacity)
	work, number := band.ahead(r, now)
	return duration((ahead + work) / spare), position + number
}

// capacity estimates how many requests of this host the upstreams serve at once.
func (q *HostQueue) capacity(now time.Time) float64 {
	return max(q.started.perSecond(now)/1000, busyFraction*float64(q.InFlight()), 1)
}

func (q *HostQueue) insert(r *HostRequest, band *hostBand) {
	band.insert(r)
	r.customer.waiting++
	q.count++
}

// Remove removes a waiting request; it does nothing for others.
func (q *HostQueue) Remove(r *HostRequest) {
	if r.band == nil {
		return
	}
	r.band.remove(r)
	r.customer.waiting--
	q.count--
}

// Update changes the expected latency and the deadline of a waiting request. It returns the refusal if
// the turn cannot come in time any more; the request is then removed.
func (q *HostQueue) Update(r *HostRequest, latency time.Duration, deadline, now time.Time) *HostRefusal {
	if r.band == nil {
		return nil
	}
	q.Remove(r)
	r.Latency, r.Deadline = latency, deadline
	if r.Target.After(deadline) {
		r.Target = deadline
	}
	return q.place(r, now)
}

// Next returns the request to send next, without removing it: the first one that skip does not
// report; nil if there is none.
func (q *HostQueue) Next(now time.Time, skip func(*HostRequest) bool) *HostRequest {
	for _, b := range q.order(now) {
		if r := b.next(now, skip); r != nil {
			return r
		}
	}
	return nil
}

// order returns the bands that hold requests in the order in which they are served. A priority that
// starves goes before the more urgent ones of its kind.
func (q *HostQueue) order(now time.Time) []*hostBand {
	var list []*hostBand
	for _, b := range q.bands {
		if b.count == 0 {
			continue
		}
		at := len(list)
		for at > 0 && list[at-1].group == b.group && q.starves(b.priority, list[at-1].priority, now) {
			at--
		}
		list = slices.Insert(list, at, b)
	}
	return list
}

// starves reports whether far fewer of the requests of a priority are served than of a more urgent one.
func (q *HostQueue) starves(priority, urgent int, now time.Time) bool {
	return q.servedPart(priority, now) < minServedPart*q.servedPart(urgent, now)
}

func (q *HostQueue) servedPart(priority int, now time.Time) float64 {
	asked := q.asked[priority].perSecond(now)
	if asked <= 0 {
		return 1
	}
	return q.served[priority].perSecond(now) / asked
}

// Start records that a request is sent; it is removed if it waits. It must be ended by Done.
func (q *HostQueue) Start(r *HostRequest, now time.Time) {
	band := r.band
	if band == nil {
		band = q.bandOf(r, now.After(r.latestStart(false)))
	}
	q.Remove(r)
	work := milliseconds(r.Latency)
	r.customer.started.add(work, now)
	band.started.add(work, now)
	q.started.add(work, now)
	q.served[band.priority].add(1, now)
	q.inFlight++
	r.startedAt = now
}

// Done ends a request after Start. ran is set if an upstream answered it.
func (q *HostQueue) Done(r *HostRequest, ran bool, now time.Time) {
	q.inFlight--
	if ran {
		took := now.Sub(r.startedAt)
		q.kinds.Record(r.Kind, took)
		e := q.excesses[r.Kind]
		if e == nil {
			e = new(excess)
			q.excesses[r.Kind] = e
		}
		e.observe(took - r.Latency)
	}
}

// LeavesSlots reports whether a request must leave some slots of its upstream to short ones.
func (q *HostQueue) LeavesSlots(r *HostRequest, now time.Time) bool {
	return r.class == Long && now.Sub(q.lastShortArrival) <= shortActiveWindow
}

// Expire moves the requests that can no longer be in time behind those that can, and removes and
// returns those whose turn cannot come before their deadline.
func (q *HostQueue) Expire(now time.Time) map[*HostRequest]*HostRefusal {
	refused := map[*HostRequest]*HostRefusal{}
	for _, b := range q.bands {
		for _, r := range b.expired(now) {
			q.Remove(r)
			if refusal := q.place(r, now); refusal != nil {
				refused[r] = refusal
			}
		}
	}
	return refused
}

// NextExpiry returns when Expire has to be called next; zero if no request waits.
func (q *HostQueue) NextExpiry() time.Time {
	var first time.Time
	for _, b := range q.bands {
		for _, f := range b.flows {
			if at := f.requests[0].latestStart(b.late); first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// sweep removes the customers that have sent nothing for a while.
func (q *HostQueue) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < sweepInterval {
		return
	}
	q.lastSweep = now
	for name, c := range q.customers {
		if c.waiting == 0 && now.Sub(c.lastArrival) > customerIdleTimeout {
			delete(q.customers, name)
		}
	}
}
