package front

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fairqueue"
	"balsambarrow/internal/place"
)

const (
	// maxTries is the number of waiting requests that are tried after each event. The upstreams
	// that have room for a request depend on its object, so where the first finds none, another may.
	maxTries = 8
	// defaultRoomWait is when a request looks for room again if the table does not say when there may
	// be some.
	defaultRoomWait = 100 * time.Millisecond
	// defaultServiceTime is the service time of routes of which no response was measured.
	defaultServiceTime = 50 * time.Millisecond
)

// QueueEvent is a change in the queue of a service, for metrics.
type QueueEvent struct {
	Service  string
	Priority int
	// Kind is what happened. Reason is the name of the queue's reason if it refused the request.
	Kind   QueueEventKind
	Reason string
	// Waited is how long the request has waited.
	Waited time.Duration
}

// QueueEventKind is what happened to a request that finds no room.
type QueueEventKind string

// Events of requests that find no room.
const (
	QueuePushed  QueueEventKind = "pushed"
	QueueSent    QueueEventKind = "sent"
	QueueLeft    QueueEventKind = "left"
	QueueExpired QueueEventKind = "expired"
	// QueueStopped: the request cannot be served before a planned stop.
	QueueStopped QueueEventKind = "stopped"
	// QueueFailed: no upstream can serve the request any more.
	QueueFailed QueueEventKind = "failed"
	// QueueRefused: the request was refused on arrival and did not wait.
	QueueRefused QueueEventKind = "refused"
)

// waitError ends the wait of a request with a refusal.
type waitError struct{ refusal *refusal }

func (e *waitError) Error() string { return "front: not sent: " + string(e.refusal.cause) }

// RoomFreed tells the queue of a service that an upstream may have room.
func (h *Handler) RoomFreed(service string) {
	if q := h.queues.known(service); q != nil {
		q.roomFreed()
	}
}

// StopBegun refuses the waiting requests that cannot be served before a planned stop.
func (h *Handler) StopBegun() {
	for _, q := range h.queues.all() {
		q.wakeAll()
	}
}

// choose selects the upstream for the next attempt. While there is no room, the request waits in the
// queue of its service, if that is switched on. The errors are those of place.Table.Choose, and
// *waitError.
func (h *Handler) choose(ctx context.Context, q *request) (place.Choice, error) {
	if h.Queues == nil || !h.Queues(q.service) {
		return h.chooseWithRoom(q, h.placementQuery(q), func() {})
	}
	queue := h.queues.of(q.service)
	entry := h.hostRequest(q)
	w := &waiter{turn: make(chan struct{}, 1)}
	if queue.arrive(entry, w) {
		choice, err := h.tryWaiting(q, queue, entry, w)
		if err == nil {
			h.started(q, queue, entry, choice)
		}
		var full *place.QueueLimitError
		if !errors.As(err, &full) {
			return choice, err
		}
		if full.Latency > 0 {
			entry.Latency = full.Latency
		}
		w.setRoomAt(h.Now(), full)
	}
	if refusal := queue.push(entry, w); refusal != nil {
		err := h.queueRefusal(refusal)
		h.observeQueue(q, QueueRefused, 0, err)
		return place.Choice{}, err
	}
	h.observeQueue(q, QueuePushed, 0, nil)
	choice, kind, err := h.wait(ctx, q, queue, entry, w)
	waited := entry.Waited(h.Now())
	q.waited += waited
	h.observeQueue(q, kind, waited, err)
	return choice, err
}

// wait waits until a queued request is sent or refused.
func (h *Handler) wait(ctx context.Context, q *request, queue *hostQueue, entry *fairqueue.HostRequest, w *waiter) (place.Choice, QueueEventKind, error) {
	var none place.Choice
	for {
		select {
		case <-w.turn:
		case <-ctx.Done():
			queue.leave(entry, w)
			if q.http.Context().Err() == nil {
				return none, QueueExpired, &waitError{h.timeoutRefusal(q)}
			}
			return none, QueueLeft, &waitError{h.timeoutRefusal(q)}
		}
		if kind, refused := h.checkWaiting(q, queue, entry, w); refused != nil {
			queue.leave(entry, w)
			return none, kind, &waitError{refused}
		}
		if !queue.isTurn(w) {
			continue
		}
		choice, err := h.tryWaiting(q, queue, entry, w)
		var full *place.QueueLimitError
		switch {
		case err == nil:
			h.started(q, queue, entry, choice)
			return choice, QueueSent, nil
		case !errors.As(err, &full):
			queue.leave(entry, w)
			return none, QueueFailed, err
		}
		queue.noRoom(entry, w, full)
	}
}

// checkWaiting returns why a request must not wait any longer; nil if it may.
func (h *Handler) checkWaiting(q *request, queue *hostQueue, entry *fairqueue.HostRequest, w *waiter) (QueueEventKind, *refusal) {
	if refusal := queue.refused(w); refusal != nil {
		return QueueExpired, h.queueRefusal(refusal).refusal
	}
	if callerDisconnected(q.http) {
		return QueueLeft, &refusal{cause: CauseCallerLeft}
	}
	if refused := h.revalidateKey(q); refused != nil {
		return QueueFailed, refused
	}
	if refused := h.checkStop(q); refused != nil {
		return QueueStopped, refused
	}
	if refusal := queue.checkDeadline(entry, w, q.deadline); refusal != nil {
		return QueueStopped, unavailable(CauseStopping, retryElsewhere).withReason(refusal)
	}
	return "", nil
}

// tryWaiting looks for an upstream that has room for a request now.
func (h *Handler) tryWaiting(q *request, queue *hostQueue, entry *fairqueue.HostRequest, w *waiter) (place.Choice, error) {
	query := h.placementQuery(q)
	query.WaitsAtHost, query.Waited, query.LeavesSlots = true, entry.Waited(h.Now()), queue.leavesSlots(entry)
	return h.chooseWithRoom(q, query, func() { queue.passTurn(w) })
}

// started records that a request is sent.
func (h *Handler) started(q *request, queue *hostQueue, entry *fairqueue.HostRequest, choice place.Choice) {
	if entry.Value == nil {
		entry.Latency = choice.ExpectedLatency - choice.ExpectedQueueing
	}
	queue.start(entry)
	q.queued = entry
}

// hostRequest returns the entry of a request in the queue.
func (h *Handler) hostRequest(q *request) *fairqueue.HostRequest {
	r := &fairqueue.HostRequest{
		OverRate: q.overRate, Priority: catalog.Priority(q.route, q.customer), Kind: xxhash.Sum64String(q.route.Name),
		Latency: defaultServiceTime, Target: q.deadline, Deadline: q.deadline,
	}
	if q.customer != nil {
		r.Customer, r.Rate = q.customer.Name, q.customer.Rate
	}
	if target := q.arrived.Add(q.route.TargetLatency); q.route.TargetLatency > 0 && target.Before(q.deadline) {
		r.Target = target
	}
	return r
}

// queueRefusal returns the refusal of a request whose turn cannot come in time.
func (h *Handler) queueRefusal(r *fairqueue.HostRefusal) *waitError {
	return &waitError{unavailable(CauseOverloaded, h.retryAfterQueue(2*r.RetryAfter)).withReason(r)}
}

// done ends an attempt.
func (h *Handler) done(q *request, c place.Choice, report place.Report) {
	h.Table.Done(h.Now(), c, report)
	h.releaseRoom(c, report)
	queue := h.queues.known(q.service)
	if queue == nil {
		return
	}
	if q.queued != nil {
		queue.done(q.queued, report.Result == place.Succeeded)
		q.queued = nil
	}
	queue.roomFreed()
}

func (h *Handler) observeQueue(q *request, kind QueueEventKind, waited time.Duration, err error) {
	if h.ObserveQueue == nil {
		return
	}
	e := QueueEvent{Service: q.service, Priority: catalog.Priority(q.route, q.customer), Kind: kind, Waited: waited}
	var refused *waitError
	var reason *fairqueue.HostRefusal
	if errors.As(err, &refused) && errors.As(refused.refusal.reason, &reason) {
		e.Reason = reason.Reason.Name()
	}
	h.ObserveQueue(e)
}
