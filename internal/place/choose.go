package place

import (
	"math"
	"slices"
	"sort"
	"time"
)

// rankPart of what warm work saves is added to the expected finish for each rank,
// so that all hosts prefer the same upstream as an object's next one.
const (
	rankPart = 1.0 / 16
	rankMost = 8
)

// Query is a request to be placed.
type Query struct {
	Service string
	// Route whose work and size of answer are looked up.
	Route string
	// Object is the affinity key; "" if the route has none.
	Object string
	// Homes are the regions that may run it, if Bound.
	Homes []string
	Bound bool
	// Tried are the upstreams that are not to be asked again.
	Tried []string
	// BodyBytes of the request.
	BodyBytes int
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// Over says that the customer asks for more than its rate.
	Over bool
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
	Expected time.Duration
	Wait     time.Duration

	// Warm says that the upstream has answered about the object lately, as far as is known.
	Warm bool

	worker *worker
	object Object
	route  string
	// cold: the upstream itself has just started.
	cold bool
}

// Reason says why there is no choice.
type Reason string

// Reasons.
const (
	// NoneKnown: no upstream of the service is registered where it may run.
	NoneKnown Reason = "no-upstream"
	// NoneOpen: those that are registered are evacuated or draining.
	NoneOpen Reason = "all-closed"
	// NoneReachable: those that are open have failed lately.
	NoneReachable Reason = "all-ejected"
	// NoneWarm: those that are left are cold and have had their share.
	NoneWarm Reason = "all-cold"
)

// NoneError says that a request cannot be placed now.
type NoneError struct {
	Service string
	Reason  Reason
}

func (e *NoneError) Error() string { return "place: " + e.Service + ": " + string(e.Reason) }

type candidate struct {
	*worker
	weight uint64
	cold   bool
	warm   bool
	finish time.Duration
	cost   time.Duration
	wait   time.Duration
}

// Choose places a request. The error is a *NoneError or a *FullError.
func (t *Table) Choose(now time.Time, q Query) (Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open, reason := t.open(now, q)
	if len(open) == 0 {
		return Choice{}, &NoneError{q.Service, reason}
	}
	object := objectOf(q.Route, q.Object)
	t.estimate(now, q, object, open)
	t.holdBack(now, q.Service, open)
	sort.Slice(open, func(i, j int) bool { return open[i].cost < open[j].cost })
	return t.first(now, q, object, open)
}

// first takes the first candidate, by cost, that may be asked. One at which the
// request would wait too long ends the search: the others cost more, because
// the work there is cold and would take the room of several warm requests.
func (t *Table) first(now time.Time, q Query, object Object, list []candidate) (Choice, error) {
	for _, c := range list {
		if allowed := t.allowed(now, q, c); c.wait > allowed {
			return Choice{}, &FullError{q.Service, c.wait, allowed}
		}
		if c.cold && !c.pace.take(now, t.coldRate(c.Service)) {
			continue
		}
		warm := object == 0 || c.hasAnswered(now, object)
		if object != 0 {
			c.ask(now, object)
		}
		c.load.inflight++
		t.mix.note(now, c.region)
		return Choice{
			ID: c.ID, Address: c.Address, Zone: c.Zone, Region: c.region, Expected: c.finish, Wait: c.wait,
			worker: c.worker, object: object, route: q.Route, Warm: warm, cold: c.cold,
		}, nil
	}
	return Choice{}, &NoneError{q.Service, NoneWarm}
}

// allowed is how long the request may wait at a candidate.
func (t *Table) allowed(now time.Time, q Query, c candidate) time.Duration {
	rest := c.finish - c.wait
	r := t.ranks[q.Service]
	if r == nil {
		r = ranks{}
		t.ranks[q.Service] = r
	}
	target := q.Target
	if target == 0 {
		target = q.Remaining
	}
	wait := min(r.allow(now, q.Priority, target, rest), max(q.Remaining-rest, 0))
	if q.Over {
		return min(wait, time.Duration(overWait*float64(inTime(target, rest))))
	}
	return wait
}

func (t *Table) coldRate(service string) float64 {
	if s := t.service(service); s != nil {
		return s.ColdRate
	}
	return 0
}

// open lists the upstreams that may be asked, and says why there is none.
func (t *Table) open(now time.Time, q Query) ([]candidate, Reason) {
	reason := NoneKnown
	var out, ejected []candidate
	for _, w := range t.services[q.Service] {
		if q.Bound && !slices.Contains(q.Homes, w.region) || slices.Contains(q.Tried, w.ID) {
			continue
		}
		if t.evacuate[w.Zone] || w.State != "ready" {
			reason = NoneOpen
			continue
		}
		c := candidate{worker: w, cold: w.isCold(now)}
		if c.cold && !t.warms(w) {
			if reason != NoneReachable {
				reason = NoneWarm
			}
			continue
		}
		if !w.health.usable(now) {
			ejected = append(ejected, c)
			reason = NoneReachable
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		// Where all have failed, the one that failed longest ago may be back.
		return soonest(ejected), reason
	}
	return out, ""
}

// soonest returns the candidate whose ejection ends first, if it is a doubt
// about lost answers only: an upstream that could not be reached stays out.
func soonest(ejected []candidate) []candidate {
	var best []candidate
	for _, c := range ejected {
		if c.cold {
			continue
		}
		if len(best) == 0 || c.health.ejected.Before(best[0].health.ejected) {
			best = []candidate{c}
		}
	}
	return best
}

// estimate fills in the expected finish and the cost of each candidate.
func (t *Table) estimate(now time.Time, q Query, object Object, list []candidate) {
	t.markWarm(now, q, object, list)
	e := t.estimator(now, q, object, list)
	for i := range list {
		e.finish(&list[i])
		e.cost(&list[i], i)
	}
	// Candidates of an object are in the order of their ranks.
	if object != 0 && t.joins(now, list[0]) {
		list[0].cost = list[0].wait
	}
}

// estimator is what the estimates of one request have in common.
type estimator struct {
	table *Table
	now   time.Time
	query Query
	// affine says that the request is about an object.
	affine bool
	route  *work
	// queued is how long a request that waits takes.
	queued time.Duration
	// rank and away are added for each rank and where the object has not its home.
	rank, away time.Duration
	// here says that its home is in this region.
	here bool
}

func (t *Table) estimator(now time.Time, q Query, object Object, list []candidate) *estimator {
	route := t.workOf(q.Route)
	route.expect(q.Target)
	return &estimator{
		table: t, now: now, query: q, affine: object != 0, route: route, queued: t.queued(q.Service, route),
		rank: time.Duration(rankPart * float64(route.gain())), away: t.awayStep(route),
		here: t.way.heavy(q.Route) || t.livesHere(object, list),
	}
}

// finish fills in how long the request would wait and take.
func (e *estimator) finish(c *candidate) {
	c.wait = waiting(c.load.expect(e.now), c.Slots, time.Duration(float64(e.queued)*c.health.slowness))
	work := time.Duration(float64(e.route.estimate(c.warm)) * c.health.slowness)
	c.finish = work + c.wait + e.table.way.to(c.region, c.Zone)
}

// cost adds what a choice costs others to the finish of the candidate of a rank.
func (e *estimator) cost(c *candidate, rank int) {
	c.cost = c.finish + e.table.way.cost(e.query.Route, c.region, c.Zone, e.query.BodyBytes) +
		time.Duration(c.health.failures*float64(failureCost))
	if !e.affine {
		return
	}
	c.cost += time.Duration(min(rank, rankMost)) * e.rank
	if c.warm {
		return
	}
	c.cost += displaced(c.load.expect(e.now), c.Slots, e.route)
	if (c.region == e.table.self.Region) != e.here {
		c.cost += e.away
	}
}

// queued is how long a request that waits at an upstream of a service takes.
func (t *Table) queued(service string, route *work) time.Duration {
	if usual := t.usualOf(service); usual.samples > 0 {
		return usual.value
	}
	return route.estimate(true)
}

// markWarm ranks the candidates of an object and tells which of them are warm:
// those that any host has asked lately.
//
// Where an answer is so large that it should not
// leave its zone, the first in rank of the zone counts as warm: it costs one
// cold request, and then no transfer any more.
func (t *Table) markWarm(now time.Time, q Query, object Object, list []candidate) {
	for i := range list {
		list[i].weight = weight(uint64(object), list[i].id)
		list[i].warm = object == 0 || list[i].isWarm(now, object)
	}
	if object == 0 {
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].weight > list[j].weight })
	if !t.way.heavy(q.Route) {
		return
	}
	for i := range list {
		if list[i].Zone == t.self.Zone {
			list[i].warm = true
			return
		}
	}
}

// mostDisplaced bounds what cold work is reckoned to take from others, in full
// upstreams.
const mostDisplaced = 2.0

// displaced is what cold work at an upstream takes from the requests that it
// would do warm in the same time, as far as it has any. Without it, requests that
// would wait long where they are warm go where they are cold as soon as that is
// a little sooner for themselves; each then takes the room of several, all queues
// grow, and more go cold, long after the burst that began it.
func displaced(load float64, slots int, w *work) time.Duration {
	busy := min(load/float64(slots), mostDisplaced)
	return time.Duration(busy * float64(w.gain()))
}

// warms tells whether this host is the one that sends to a cold upstream. One
// alone does, by rendezvous among the ready hosts of the upstream's zone, else
// of its region, else all: each host then knows the whole rate.
func (t *Table) warms(w *worker) bool {
	near := func(test func(Host) bool) (Host, bool) {
		var best Host
		var most uint64
		for _, h := range t.hosts {
			if x := weight(w.id, hash(h.Instance)); test(h) && (best.Instance == "" || x > most) {
				best, most = h, x
			}
		}
		return best, best.Instance != ""
	}
	for _, test := range []func(Host) bool{
		func(h Host) bool { return h.Zone == w.Zone },
		func(h Host) bool { return h.Region == w.region },
		func(Host) bool { return true },
	} {
		if h, ok := near(test); ok {
			return h.Instance == t.self.Instance
		}
	}
	return false
}

// waiting is how long a new request waits for one of the slots, if each of those
// before it takes as long as given.
func waiting(load float64, slots int, each time.Duration) time.Duration {
	ahead := load + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(ahead) / float64(slots) * float64(each))
}
