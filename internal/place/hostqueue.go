package place

import (
	"math"
	"slices"
	"time"
)

// Limits of upstreams for services whose requests wait at the hosts.
//
// What waits at an upstream can no longer be reordered, moved or withdrawn. An upstream therefore
// receives only what fits its slots, and a short pipeline that keeps the slots busy while a response
// and the next request travel.
const (
	// slotsPerPipelined is the number of slots for each request of the pipeline, which holds at
	// least one.
	slotsPerPipelined = 3
	// slotsPerLeft is the number of slots for each one that long requests leave free. An upstream with
	// fewer slots has none to spare.
	slotsPerLeft = 3
	// loadReportLifetime is the time constant with which a load report loses its weight. An upstream
	// that is believed full receives nothing and so reports nothing; without a lifetime it would be
	// believed full forever.
	loadReportLifetime = 2 * time.Second
)

// pipeline returns the number of requests that may wait at an upstream.
func pipeline(slots int) int { return max(1, slots/slotsPerPipelined) }

// freshLoad returns the estimated load of a candidate, in which the load from other hosts counts less
// with the age of the report.
func (c *candidate) freshLoad(now time.Time) float64 {
	own := float64(c.load.inflight)
	others := c.load.estimate(now, c.assumed) - own
	if c.load.reported {
		others *= math.Exp(-float64(now.Sub(c.load.reportedAt)) / float64(loadReportLifetime))
	}
	return own + others
}

// roomFor returns the number of requests at an upstream up to which it has room for a request, which
// is included. Requests of a customer that exceeds its rate do not use the pipeline, in which they
// would delay the others.
func roomFor(q Query, slots int) int {
	switch {
	case q.LeavesSlots:
		return slots - slots/slotsPerLeft
	case q.OverRate:
		return slots
	}
	return slots + pipeline(slots)
}

// hasRoom reports whether a candidate has room for one more request.
func (c *candidate) hasRoom(now time.Time, q Query) bool {
	return int(math.Round(c.freshLoad(now)))+1 <= roomFor(q, c.Slots)
}

// withRoom removes the candidates that have no room for a request that waits at the host. A candidate at which the request
// costs more than at the cheapest one, such as one where its object is cold, remains only once the
// request has waited for as long as the difference. If none remains, the error says when one may.
func withRoom(now time.Time, q Query, list []candidate) ([]candidate, error) {
	if !q.WaitsAtHost {
		return list, nil
	}
	preferred := list[cheapest(list)]
	full := &QueueLimitError{
		Service: q.Service, ExpectedQueueing: preferred.queueing, Latency: preferred.latency - preferred.queueing,
		RoomAfter: max(preferred.queueing, MinRoomWait),
	}
	list = slices.DeleteFunc(list, func(c candidate) bool {
		if !c.hasRoom(now, q) || c.queueing > 0 && c.latency > q.Remaining {
			return true
		}
		extra := c.cost - preferred.cost - q.Waited
		if extra > 0 {
			full.RoomAfter = min(full.RoomAfter, max(extra, MinRoomWait))
		}
		return extra > 0
	})
	if len(list) == 0 {
		return nil, full
	}
	return list, nil
}

// MinRoomWait bounds how often the table is asked again for room without an event.
const MinRoomWait = 10 * time.Millisecond
