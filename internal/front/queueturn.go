package front

import (
	"sync"
	"time"

	"balsambarrow/internal/fairqueue"
	"balsambarrow/internal/place"
)

// hostQueues holds the queue of each service.
type hostQueues struct {
	mu       sync.Mutex
	services map[string]*hostQueue
	now      func() time.Time
}

func (s *hostQueues) of(service string) *hostQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.services[service]
	if q == nil {
		q = &hostQueue{now: s.now, queue: fairqueue.NewHostQueue(defaultServiceTime), latencies: map[uint64]time.Duration{}}
		s.services[service] = q
	}
	return q
}

// known returns the queue of a service; nil if the service never had one.
func (s *hostQueues) known(service string) *hostQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[service]
}

func (s *hostQueues) all() []*hostQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*hostQueue, 0, len(s.services))
	for _, q := range s.services {
		list = append(list, q)
	}
	return list
}

// waiter is a request in a hostQueue.
type waiter struct {
	// turn receives a value when the request shall look for room, or has been refused.
	turn    chan struct{}
	refused *fairqueue.HostRefusal
	// triedIn is the event after which the request last looked for room. looking is set while it does.
	triedIn uint64
	looking bool
	// roomAt is when an upstream is expected to have room for the request.
	roomAt time.Time
}

// setRoomAt records that the request found no room.
func (w *waiter) setRoomAt(now time.Time, full *place.QueueLimitError) {
	after := full.RoomAfter
	if after <= 0 {
		after = defaultRoomWait
	}
	w.roomAt = now.Add(after)
}

// hostQueue lets the requests of one service take turns. It is safe for concurrent use.
type hostQueue struct {
	now func() time.Time

	mu    sync.Mutex
	queue *fairqueue.HostQueue
	// event counts the events after which there may be room; tries is the number of requests that
	// have found none since.
	event uint64
	tries int
	// turn is the request whose turn it is to look for room; nil if there is none.
	turn  *waiter
	timer *time.Timer
	// latencies are the last expected latencies by kind of request.
	latencies map[uint64]time.Duration
}

// arrive records a request. It reports whether it may look for room at once, since nobody waits.
func (q *hostQueue) arrive(r *fairqueue.HostRequest, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known, ok := q.latencies[r.Kind]; ok {
		r.Latency = known
	}
	q.queue.Arrive(r, q.now())
	first := q.queue.Len() == 0
	// An event between this look and push lets the request look again.
	w.triedIn = q.event
	if !first {
		w.triedIn--
	}
	return first
}

// push queues a request. The first one in the queue looks for room again before it does.
func (q *hostQueue) push(r *fairqueue.HostRequest, w *waiter) *fairqueue.HostRefusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Value = w
	if refusal := q.queue.Push(r, q.now()); refusal != nil {
		return refusal
	}
	q.retryFirst()
	q.proceed()
	return nil
}

// retryFirst lets the first request look for room again, and one more.
func (q *hostQueue) retryFirst() {
	q.tries = min(q.tries, maxTries-2)
	if first := q.queue.Next(q.now(), func(*fairqueue.HostRequest) bool { return false }); first != nil {
		first.Value.(*waiter).triedIn = q.event - 1
	}
}

// start records that a request has found room and is sent.
func (q *hostQueue) start(r *fairqueue.HostRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.latencies[r.Kind] = r.Latency
	q.queue.Start(r, q.now())
	if w, ok := r.Value.(*waiter); ok {
		q.endTurn(w)
	}
	q.proceed()
}

// done records the end of a request after start.
func (q *hostQueue) done(r *fairqueue.HostRequest, ran bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Done(r, ran, q.now())
}

// noRoom records that the request whose turn it was found no room. It keeps its place.
func (q *hostQueue) noRoom(r *fairqueue.HostRequest, w *waiter, full *place.QueueLimitError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if q.turn == w {
		q.tries++
	}
	q.endTurn(w)
	w.looking = false
	w.setRoomAt(now, full)
	if full.Latency > 0 && full.Latency != r.Latency {
		q.refuse(w, q.queue.Update(r, full.Latency, r.Deadline, now))
	}
	q.proceed()
}

// refuse ends the wait of a request if there is a refusal.
func (q *hostQueue) refuse(w *waiter, refusal *fairqueue.HostRefusal) {
	if refusal != nil {
		w.refused = refusal
		w.wake()
	}
}

// leave removes a request that is not sent.
func (q *hostQueue) leave(r *fairqueue.HostRequest, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(r)
	q.endTurn(w)
	q.proceed()
}

// roomFreed lets the next requests look for room.
func (q *hostQueue) roomFreed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.event++
	if q.queue.Len() == 0 {
		return
	}
	q.tries = 0
	q.proceed()
}

// next returns the next request that has not looked for room since the last event.
func (q *hostQueue) next() *fairqueue.HostRequest {
	if q.turn != nil || q.tries >= maxTries {
		return nil
	}
	return q.queue.Next(q.now(), func(r *fairqueue.HostRequest) bool {
		w := r.Value.(*waiter)
		return w.looking || w.triedIn == q.event
	})
}

// proceed refuses the requests whose turn cannot come in time, gives the turn to the next one, and
// sets the timer.
func (q *hostQueue) proceed() {
	now := q.now()
	for r, refusal := range q.queue.Expire(now) {
		q.refuse(r.Value.(*waiter), refusal)
	}
	if r := q.next(); r != nil {
		q.turn = r.Value.(*waiter)
		q.turn.triedIn, q.turn.looking = q.event, true
		q.turn.wake()
	}
	q.setTimer(now)
}

// passTurn gives the turn to the next request while this one reserves the room that it found, which may
// need a message.
func (q *hostQueue) passTurn(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turn == w {
		q.turn = nil
		q.proceed()
	}
}

// endTurn ends the turn of a request, if it has it.
func (q *hostQueue) endTurn(w *waiter) {
	if q.turn == w {
		q.turn = nil
	}
}

func (w *waiter) wake() {
	select {
	case w.turn <- struct{}{}:
	default: // it has not taken the last value yet
	}
}

// setTimer sets the timer for the next request that can no longer be in time, and for the first
// moment at which a request that found no room is expected to find it: no event may announce that.
func (q *hostQueue) setTimer(now time.Time) {
	at := q.queue.NextExpiry()
	if at.IsZero() {
		if q.timer != nil {
			q.timer.Stop()
		}
		return
	}
	if head := q.queue.Next(now, func(r *fairqueue.HostRequest) bool { return r.Value.(*waiter).looking }); head != nil {
		if room := later(head.Value.(*waiter).roomAt, now.Add(place.MinRoomWait)); room.Before(at) {
			at = room
		}
	}
	wait := max(at.Sub(now), time.Millisecond)
	if q.timer == nil {
		q.timer = time.AfterFunc(wait, q.roomFreed)
		return
	}
	q.timer.Reset(wait)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refused returns the refusal of a waiting request whose turn cannot come in time; nil if it waits.
func (q *hostQueue) refused(w *waiter) *fairqueue.HostRefusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.refused
}

// checkDeadline shortens the deadline of a waiting request.
func (q *hostQueue) checkDeadline(r *fairqueue.HostRequest, w *waiter, deadline time.Time) *fairqueue.HostRefusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.refused == nil && deadline.Before(r.Deadline) {
		w.refused = q.queue.Update(r, r.Latency, deadline, q.now())
	}
	return w.refused
}

// wakeAll makes all waiting requests check whether they may still wait.
func (q *hostQueue) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Next(q.now(), func(r *fairqueue.HostRequest) bool {
		r.Value.(*waiter).wake()
		return true
	})
}

func (q *hostQueue) leavesSlots(r *fairqueue.HostRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.LeavesSlots(r, q.now())
}

func (q *hostQueue) isTurn(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.turn == w
}
