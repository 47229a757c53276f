package place

import (
	"errors"
	"time"
)

// Query describes a request for which an upstream is to be selected.
type Query struct {
	Service string
	// Route selects the service time and response size estimates.
	Route string
	// Object is the affinity key; "" if the route has none.
	Object string
	// AllowedRegions are the regions that may run the request if RegionRestricted is set.
	AllowedRegions   []string
	RegionRestricted bool
	// Excluded are the IDs of upstreams that have already been tried.
	Excluded []string
	// Avoided are instances of upstreams that are selected only if there are no others; see
	// RateLimitReport.Instance.
	Avoided []uint64
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// OverRate is set if the customer exceeds its request rate.
	OverRate bool
	// Target is the latency objective. Remaining is the time until the request times out.
	Target    time.Duration
	Remaining time.Duration
	// WaitsAtHost is set if the request waits at this host for room: it is sent only where it finds
	// room in the slots and a short pipeline. Waited is how long it has waited.
	WaitsAtHost bool
	Waited      time.Duration
	// LeavesSlots is set if the request must leave some slots of the upstream to short requests.
	LeavesSlots bool
}

// Choice is the selected upstream. Each choice must be ended by Table.Done.
type Choice struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// ExpectedLatency is the estimated time until the response. ExpectedQueueing is the
	// part of it that the request spends in the upstream's queue.
	ExpectedLatency  time.Duration
	ExpectedQueueing time.Duration

	// Warm is set if the upstream is known to have served the object recently, or if the
	// request has no affinity key.
	Warm bool
	// Known is what this host knew of the upstream's load.
	Known KnownLoad
	// Room is what the owner of the upstream's room is asked for.
	Room Room

	upstream *upstream
	// startedMs is the start time of the chosen instance.
	startedMs int64
	object    Object
	route     string
	// sentAt is when the upstream was chosen.
	sentAt time.Time
	// cold is set if the upstream itself is cold, for any object.
	cold bool
	// bodyBytes is the size of the request body.
	bodyBytes int
	// probe is set if the request probes whether the upstream accepts requests after a pause.
	probe bool
}

// Reason is the reason why no upstream can be selected.
type Reason string

// Reasons for rejecting a request.
const (
	// NotRegistered: no upstream of the service is registered in an allowed region.
	NotRegistered Reason = "no-upstream"
	// AllClosed: the registered upstreams are evacuated, draining or leaving.
	AllClosed Reason = "all-closed"
	// AllEjected: the open upstreams are ejected because of recent failures.
	AllEjected Reason = "all-ejected"
	// AllCold: the remaining upstreams are cold, and this host is not the one that sends
	// to them, or they have reached their request rate.
	AllCold Reason = "all-cold"
	// AllPaused: the remaining upstreams have rejected requests and want none from this host
	// for a while.
	AllPaused Reason = "all-paused"
	// AllRateLimited: the remaining upstreams limit their rate, and this host is no sender of
	// theirs, or has used its part.
	AllRateLimited Reason = "all-rate-limited"
	// AllHoldBytes: the remaining upstreams hold as many bytes of request bodies from this host as
	// they may.
	AllHoldBytes Reason = "all-hold-bytes"
)

// NoUpstreamError reports that no upstream can take the request at present.
type NoUpstreamError struct {
	Service string
	Reason  Reason
	// RetryAfter is when the first pause ends, if Reason is AllPaused; 0 if an upstream is
	// being probed.
	RetryAfter time.Duration
}

func (e *NoUpstreamError) Error() string { return "place: " + e.Service + ": " + string(e.Reason) }

type candidate struct {
	*upstream
	path   *zonePath
	weight uint64
	// cold is set if the upstream itself is cold, warm if the object is warm there.
	cold     bool
	warm     bool
	latency  time.Duration
	cost     time.Duration
	queueing time.Duration
	// assumed is the load from other hosts that is assumed until the upstream reports any.
	assumed float64
	// expectedSlowdown is the slowdown that is expected when the upstream starts the request.
	expectedSlowdown float64
}

// Choose selects the upstream for a request. The error is a *NoUpstreamError or a
// *QueueLimitError.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	object := objectOf(q.Route, q.Object)
	s := t.survey(now, q, object)
	if len(s.candidates) == 0 {
		return Choice{}, &NoUpstreamError{q.Service, s.reason, s.pauseLeft(now)}
	}
	t.estimate(now, q, object, s)
	t.limitShift(now, s)
	list, err := withRoom(now, q, s.candidates)
	var choice Choice
	if err == nil {
		choice, err = t.chooseCheapest(now, q, object, list)
	}
	var full *QueueLimitError
	if errors.As(err, &full) {
		full.ShiftLimited = s.shiftLimited
	}
	return choice, err
}

// chooseCheapest selects the candidate with the lowest cost that may receive the
// request. The search ends at the first candidate whose queueing delay exceeds the
// limit: the others cost more because the object is cold there, and the request would
// take the capacity of several warm requests.
func (t *Table) chooseCheapest(now time.Time, q Query, object Object, list []candidate) (Choice, error) {
	reason := AllCold
	for len(list) > 0 {
		i := cheapest(list)
		c := list[i]
		c.standingQueue.observe(now, c.queueing)
		limit := t.queueLimit(now, q, c)
		if c.queueing > limit && !q.WaitsAtHost {
			return Choice{}, &QueueLimitError{Service: q.Service, ExpectedQueueing: c.queueing, Limit: limit}
		}
		if c.announced.rateLimit.Limited && !t.takeRateLimit(now, c.upstream) || c.cold && !t.allowSlowStart(now, c.upstream) {
			if c.announced.rateLimit.Limited {
				reason = AllRateLimited
			}
			last := len(list) - 1
			list[i] = list[last]
			list = list[:last]
			continue
		}
		warm := object == 0 || c.hasAnswered(now, object)
		if object != 0 {
			t.recordSent(now, c.upstream, object)
		}
		known := c.load.known(now, c.assumed)
		known.Slowdown, known.ExpectedSlowdown = c.slowdown.value, c.expectedSlowdown
		c.load.inflight++
		t.addBytes(c.upstream, q.BodyBytes)
		probe := c.announced.pause.unconfirmed
		c.announced.pause.probing = probe
		t.recordRegion(now, now, c.region, 1)
		return Choice{
			ID: c.ID, Address: c.Address, Zone: c.Zone, Region: c.region, ExpectedLatency: c.latency, ExpectedQueueing: c.queueing,
			Known: known, Room: t.newRoom(q, c, limit),
			upstream: c.upstream, startedMs: c.StartedMs, object: object, route: q.Route, sentAt: now, Warm: warm, cold: c.cold, bodyBytes: q.BodyBytes, probe: probe,
		}, nil
	}
	return Choice{}, &NoUpstreamError{Service: q.Service, Reason: reason}
}

// cheapest returns the index of the candidate with the lowest cost. Ties go to the
// highest rendezvous weight, so that all hosts select the same one.
func cheapest(list []candidate) int {
	best := 0
	for i := 1; i < len(list); i++ {
		if list[i].cost < list[best].cost || list[i].cost == list[best].cost && list[i].weight > list[best].weight {
			best = i
		}
	}
	return best
}

// queueLimit returns the longest queueing delay that the request may have at a
// candidate.
func (t *Table) queueLimit(now time.Time, q Query, c candidate) time.Duration {
	baseLatency := c.latency - c.queueing
	r := t.queueLimits[q.Service]
	if r == nil {
		r = queueLimits{}
		t.queueLimits[q.Service] = r
	}
	target := q.Target
	if target == 0 {
		target = q.Remaining
	}
	limit := min(r.limit(now, q.Priority, target, baseLatency), max(q.Remaining-baseLatency, 0))
	if onTimeLimit := onTimeQueueLimit(target, baseLatency); baseLatency < target && c.standingQueue.shortest(now) > onTimeLimit {
		limit = min(limit, onTimeLimit)
	}
	if q.OverRate {
		return min(limit, time.Duration(overRateQueuePart*float64(onTimeQueueLimit(target, baseLatency))))
	}
	return limit
}

func (t *Table) coldRate(service string) float64 {
	if s := t.service(service); s != nil {
		return s.ColdRate
	}
	return 0
}
