package fairqueue

import "time"

// Item is one request. Its exported fields must not change while it is
// queued.
type Item struct {
	// Customer is the customer that the request is charged to.
	Customer string
	// Key is a hash of the API key; requests of a customer are queued by key.
	Key uint64
	// Weight is the customer's weight relative to other customers; 0 means 1.
	Weight float64
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Cost is the estimated service time.
	Cost time.Duration
	// Class is the class of the request, derived from its estimated cost.
	Class Class
	// Value is not used by this package; the owner of the queue may set it.
	Value any

	flow       *flow
	prev, next *Item
	queued     bool
	// queuedAt is when the request was queued; predictedWait is the queueing
	// delay predicted at that time.
	queuedAt      time.Time
	predictedWait time.Duration
}

// Reason is why a request was refused.
type Reason int

// Reasons for a refusal.
const (
	// ReasonDeadline: the budget is too short even without a queueing delay.
	ReasonDeadline Reason = iota + 1
	// ReasonWaitTooLong: the predicted queueing delay exceeds the budget, or
	// the limit of a standing queue.
	ReasonWaitTooLong
	// ReasonQueueFull: the maximum number of queued requests is reached.
	ReasonQueueFull
)

func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "the budget is shorter than the work takes"
	case ReasonWaitTooLong:
		return "too much work is to be served before it"
	default:
		return "too many requests wait"
	}
}

// Refusal is the error for a request that was not queued.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which the customer's queue will accept
	// the request if the load does not grow; 0 means that a retry does not
	// help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "fairqueue: " + r.Reason.String() }
