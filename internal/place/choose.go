package place

import "time"

// Query is a request to be placed.
type Query struct {
	Service string
	// Route whose work and size of answer are looked up.
	Route string
	// Object is the affinity key; "" if the route has none.
	Object string
	// Homes are the regions that may run it, if Bound.
	AllowedRegions   []string
	RegionRestricted bool
	// Tried are the upstreams that are not to be asked again.
	Excluded []string
	// BodyBytes of the request.
	BodyBytes int
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Over says that the customer asks for more than its rate.
	OverRate bool
	// Target is the time within which an answer has its full use, and Remaining
	// the time within which it has any.
	Target    time.Duration
	Remaining time.Duration
}

// Choice is where a request goes. Table.Done ends it.
type Choice struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Expected is the time until the answer, and Wait the part of it that is
	// spent in the upstream's queue.
	ExpectedLatency  time.Duration
	ExpectedQueueing time.Duration

	// Warm says that the upstream has answered about the object lately, as far as is known.
	Warm bool

	upstream *upstream
	object   Object
	route    string
	// cold: the upstream itself has just started.
	cold bool
}

// Reason says why there is no choice.
type Reason string

// Reasons.
const (
	// NoneKnown: no upstream of the service is registered where it may run.
	NotRegistered Reason = "no-upstream"
	// NoneOpen: those that are registered are evacuated or draining.
	AllClosed Reason = "all-closed"
	// NoneReachable: those that are open have failed lately.
	AllEjected Reason = "all-ejected"
	// NoneWarm: those that are left are cold and have had their share.
	AllCold Reason = "all-cold"
)

// NoneError says that a request cannot be placed now.
type NoUpstreamError struct {
	Service string
	Reason  Reason
}

func (e *NoUpstreamError) Error() string { return "place: " + e.Service + ": " + string(e.Reason) }

type candidate struct {
	*upstream
	path     *zonePath
	weight   uint64
	cold     bool
	warm     bool
	latency  time.Duration
	cost     time.Duration
	queueing time.Duration
}

// Choose places a request. The error is a *NoneError or a *FullError.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	object := objectOf(q.Route, q.Object)
	s := t.survey(now, q, object)
	if len(s.candidates) == 0 {
		return Choice{}, &NoUpstreamError{q.Service, s.reason}
	}
	t.estimate(now, q, object, s)
	t.limitShift(now, s)
	return t.chooseCheapest(now, q, object, s.candidates)
}

// chooseCheapest takes the first candidate, by cost, that may be asked. One at which the
// request would wait too long ends the search: the others cost more, because
// the work there is cold and would take the room of several warm requests.
func (t *Table) chooseCheapest(now time.Time, q Query, object Object, list []candidate) (Choice, error) {
	for len(list) > 0 {
		i := cheapest(list)
		c := list[i]
		c.standingQueue.observe(now, c.queueing)
		if allowed := t.queueLimit(now, q, c); c.queueing > allowed {
			return Choice{}, &QueueLimitError{q.Service, c.queueing, allowed}
		}
		if c.cold && !c.slowStart.allow(now, t.coldRate(c.Service)) {
			last := len(list) - 1
			list[i] = list[last]
			list = list[:last]
			continue
		}
		warm := object == 0 || c.hasAnswered(now, object)
		if object != 0 {
			t.recordSent(now, c.upstream, object)
		}
		c.load.inflight++
		t.shares.observe(now, c.region)
		return Choice{
			ID: c.ID, Address: c.Address, Zone: c.Zone, Region: c.region, ExpectedLatency: c.latency, ExpectedQueueing: c.queueing,
			upstream: c.upstream, object: object, route: q.Route, Warm: warm, cold: c.cold,
		}, nil
	}
	return Choice{}, &NoUpstreamError{q.Service, AllCold}
}

// cheapest is the index of the candidate of least cost; among equals that of the
// highest weight, so that all hosts agree.
func cheapest(list []candidate) int {
	best := 0
	for i := 1; i < len(list); i++ {
		if list[i].cost < list[best].cost || list[i].cost == list[best].cost && list[i].weight > list[best].weight {
			best = i
		}
	}
	return best
}

// queueLimit is how long the request may wait at a candidate.
func (t *Table) queueLimit(now time.Time, q Query, c candidate) time.Duration {
	rest := c.latency - c.queueing
	r := t.queueLimits[q.Service]
	if r == nil {
		r = queueLimits{}
		t.queueLimits[q.Service] = r
	}
	target := q.Target
	if target == 0 {
		target = q.Remaining
	}
	wait := min(r.limit(now, q.Priority, target, rest), max(q.Remaining-rest, 0))
	if inTime := onTimeQueueLimit(target, rest); rest < target && c.standingQueue.shortest(now) > inTime {
		wait = min(wait, inTime)
	}
	if q.OverRate {
		return min(wait, time.Duration(overRateQueuePart*float64(onTimeQueueLimit(target, rest))))
	}
	return wait
}

func (t *Table) coldRate(service string) float64 {
	if s := t.service(service); s != nil {
		return s.ColdRate
	}
	return 0
}
