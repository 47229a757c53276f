package fairqueue

import (
	"time"
)

// Item is one request. The exported fields are read only while it waits.
type Item struct {
	// Customer whose share it uses.
	Customer string
	// Key tells the customer's keys apart: any hash of the key.
	Key uint64
	// Weight is the customer's, relative to the others'; 0 counts as 1.
	Weight float64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Cost is the estimated service time.
	Cost time.Duration
	// Class of the work, by its estimated cost.
	Class Class
	// Value is the caller's own.
	Value any

	flow       *flow
	prev, next *Item
	waits      bool
	// joined and predicted: when it began to wait, and for how long it was
	// expected to.
	joined    time.Time
	predicted time.Duration
}

// Reason says why a request was refused.
type Reason int

// Reasons of refusal.
const (
	// ReasonDeadline: the budget is too short even without waiting.
	ReasonDeadline Reason = iota + 1
	// ReasonNoRoom: what is to be served before it does not fit its budget,
	// or its customer's queue has been standing.
	ReasonNoRoom
	// ReasonFull: the bound on the number of waiting requests is reached.
	ReasonFull
)

func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "the budget is shorter than the work takes"
	case ReasonNoRoom:
		return "too much work is to be served before it"
	default:
		return "too many requests wait"
	}
}

// Refusal is an error: the request was not queued.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the customer's queue will have room for it, if the
	// load does not grow; 0: coming back does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "fairqueue: " + r.Reason.String() }
