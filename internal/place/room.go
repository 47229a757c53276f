package place

import "time"

// Room is what the owner of an upstream's room is asked for a choice. The owner is the host that
// ranks first among those that may send to an upstream which takes few requests.
type Room struct {
	// Upstream identifies the instance of the upstream; see RateLimitReport.Instance.
	Upstream uint64
	Slots    int
	// MaxAhead is the largest number of requests at the upstream with which the request may still be
	// sent.
	MaxAhead int
	// Limit is the longest queueing delay that the request may have there.
	Limit time.Duration
	// Reserved is set if the choice was announced to the owner, which must be told of its end.
	Reserved bool

	// perRequest is the time that each request in the upstream's queue is expected to take.
	perRequest time.Duration
}

// newRoom returns the room that the request needs at a candidate at which it may wait for limit.
func (t *Table) newRoom(q Query, c candidate, limit time.Duration) Room {
	perRequest := time.Duration(float64(t.queuedServiceTime(q.Service, getOrCreate(t.serviceTimes, q.Route))) * c.health.slowness * c.expectedSlowdown)
	ahead := maxAhead(limit, c.Slots, perRequest)
	if q.WaitsAtHost {
		ahead = roomFor(q, c.Slots) - 1
	}
	return Room{Upstream: c.instanceKey(), Slots: c.Slots, MaxAhead: ahead, Limit: limit, perRequest: perRequest}
}

// maxAhead is the inverse of queueTime: the largest load with which the queueing delay is within the
// limit.
func maxAhead(limit time.Duration, slots int, perRequest time.Duration) int {
	return slots - 1 + int(float64(limit)/float64(max(perRequest, time.Millisecond))*float64(slots))
}

// RoomOwner returns the host that owns the room of an instance of an upstream, and its slots. ok is
// false if the instance is not known, or no host is ready.
func (t *Table) RoomOwner(instance uint64) (owner Host, slots int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byInstanceKey(instance)
	if w == nil || len(t.hosts) == 0 {
		return Host{}, 0, false
	}
	if w.ownerGeneration != t.hostsGeneration {
		w.ownerGeneration, w.owner = t.hostsGeneration, t.firstSender(w)
	}
	return t.hosts[w.owner], w.Slots, true
}

// firstSender returns the index of the host whose senderRank is 0. It compares all hosts.
func (t *Table) firstSender(w *upstream) int {
	first := 0
	for i, h := range t.hosts {
		p, best := proximity(h, w), proximity(t.hosts[first], w)
		if p > best || p == best && weight(w.idHash, t.hostHashes[i]) > weight(w.idHash, t.hostHashes[first]) {
			first = i
		}
	}
	return first
}

// ObserveRoom records the number of requests that other hosts have at an instance of an upstream, as
// its owner counts them. It returns the service of the upstream; "" if the instance is not known.
func (t *Table) ObserveRoom(now time.Time, instance uint64, others int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byInstanceKey(instance)
	if w == nil {
		return ""
	}
	w.load.observeOthers(now, float64(others))
	return w.Service
}

// WithRoom returns the choice with the load and queueing delay that follow from the owner's count.
func (c Choice) WithRoom(others int) Choice {
	queueing := queueTime(float64(others+c.Known.Own), c.Room.Slots, c.Room.perRequest)
	c.ExpectedLatency += queueing - c.ExpectedQueueing
	c.ExpectedQueueing = queueing
	c.Known.Requests, c.Known.ReportAge = float64(others+c.Known.Own), 0
	return c
}

// ReportAge returns the time since the load report of r was received.
func (c Choice) ReportAge(now time.Time, r Report) time.Duration {
	return max(now.Sub(c.sentAt)-r.TimeToHeader, 0)
}
