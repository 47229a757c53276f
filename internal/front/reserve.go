package front

import (
	"slices"
	"time"

	"balsambarrow/internal/place"
)

// maxReservations is the number of reservations that one choice may attempt.
const maxReservations = 3

// Room shares the room of upstreams with the other hosts.
type Room interface {
	// Reserve reserves room for a request that ends by until. If the upstream has none, it corrects
	// the load that the table knows of the upstream, and returns false. The choice that it returns
	// replaces the given one.
	Reserve(c place.Choice, service string, until time.Time) (place.Choice, bool)
	// Release is called at the end of each choice that Reserve has returned with true.
	Release(c place.Choice, r place.Report)
}

// chooseWithRoom selects an upstream that has room. If the table still prefers an upstream that has
// just refused, waiting there costs the caller less than any other upstream; the request is then
// refused as if the queue there exceeded its limit. asking is called before an owner is asked, which
// may take a round trip.
func (h *Handler) chooseWithRoom(q *request, query place.Query, asking func()) (place.Choice, error) {
	var refused []string
	full := &place.QueueLimitError{Service: q.service, NoRoom: true}
	for range maxReservations {
		c, err := h.Table.Choose(h.Now(), query)
		if err != nil || h.Room == nil {
			return c, err
		}
		again := slices.Contains(refused, c.ID)
		if !again {
			asking()
			reserved, ok := h.Room.Reserve(c, q.service, q.deadline)
			if ok {
				return reserved, nil
			}
			refused = append(refused, c.ID)
			full.ExpectedQueueing, full.Limit = reserved.ExpectedQueueing, c.Room.Limit
			full.Latency, full.RoomAfter = reserved.ExpectedLatency-reserved.ExpectedQueueing, reserved.ExpectedQueueing
		}
		// Nothing was sent, as if the upstream had rejected the request.
		h.Table.Done(h.Now(), c, place.Report{Result: place.Shed})
		if again {
			break
		}
	}
	return place.Choice{}, full
}

// releaseRoom tells the owner of the upstream's room that a request has ended.
func (h *Handler) releaseRoom(c place.Choice, r place.Report) {
	if h.Room != nil {
		h.Room.Release(c, r)
	}
}
