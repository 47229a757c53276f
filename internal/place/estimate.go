package place

import (
	"math"
	"time"
)

// rankPenaltyPart of what warm work saves is added to the expected finish for each rank,
// so that all hosts prefer the same upstream as an object's next one.
const (
	rankPenaltyPart = 1.0 / 16
	maxRanks        = 8
)

// estimate fills in the expected finish and the cost of each candidate.
func (t *Table) estimate(now time.Time, q Query, object Object, s *survey) {
	list := s.candidates
	t.markWarm(now, q, object, list)
	e := t.estimator(q, object)
	for i := range list {
		c := &list[i]
		load := c.load.estimate(now)
		e.estimateLatency(c, load)
		e.estimateCost(c, load)
	}
	if object == 0 {
		return
	}
	top := rank(list)
	for place, i := range top.index[:top.n] {
		// The others have the last rank.
		list[i].cost -= time.Duration(maxRanks-place) * e.rankPenalty
	}
	if first := &list[top.index[0]]; t.needsFirstObject(now, *first) {
		first.cost = first.queueing
	}
}

// estimator is what the estimates of one request have in common.
type estimator struct {
	table *Table
	query Query
	// affine says that the request is about an object.
	hasAffinity bool
	route       *serviceTime
	// queued is how long a request that waits takes.
	queuedServiceTime time.Duration
	// rank and away are added for each rank and where the object has not its home.
	rankPenalty, awayPenalty time.Duration
	// homeHere says that its home is in this region.
	homeIsLocal bool
}

func (t *Table) estimator(q Query, object Object) *estimator {
	route := getOrCreate(t.serviceTimes, q.Route)
	route.setInitial(q.Target)
	return &estimator{
		table: t, query: q, hasAffinity: object != 0, route: route, queuedServiceTime: t.queuedServiceTime(q.Service, route),
		rankPenalty: time.Duration(rankPenaltyPart * float64(route.affinityGain())), awayPenalty: t.awayPenalty(route),
		homeIsLocal: t.links.isZoneLocal(q.Route) || t.isHomeRegion(object),
	}
}

// finish fills in how long the request would wait and take where load requests are.
func (e *estimator) estimateLatency(c *candidate, load float64) {
	c.queueing = queueTime(load, c.Slots, time.Duration(float64(e.queuedServiceTime)*c.health.slowness))
	work := time.Duration(float64(e.route.estimate(c.warm)) * c.health.slowness)
	c.latency = work + c.queueing + c.path.roundTrip
}

// cost adds what a choice costs others to the finish of a candidate of the last rank.
func (e *estimator) estimateCost(c *candidate, load float64) {
	c.cost = c.latency + c.path.transferCost + time.Duration(c.health.failures*float64(failureCost))
	if !e.hasAffinity {
		return
	}
	c.cost += maxRanks * e.rankPenalty
	if c.warm {
		return
	}
	c.cost += displacementCost(load, c.Slots, e.route)
	if c.path.local != e.homeIsLocal {
		c.cost += e.awayPenalty
	}
}

// queuedWork is how long a request that waits at an upstream of a service takes.
func (t *Table) queuedServiceTime(service string, route *serviceTime) time.Duration {
	if usual := getOrCreate(t.queuedTimes, service); usual.samples > 0 {
		return usual.value
	}
	return route.estimate(true)
}

// markWarm ranks the candidates of an object and tells which of them are warm:
// those that any host has asked lately.
//
// Where an answer is so large that it should not leave its zone, the first in rank of
// the zone counts as warm: it costs one cold request, and then no transfer any more.
func (t *Table) markWarm(now time.Time, q Query, object Object, list []candidate) {
	if object == 0 {
		for i := range list {
			list[i].warm = true
		}
		return
	}
	t.markHolders(now, object)
	nearest := -1
	for i := range list {
		c := &list[i]
		c.warm = c.warmForQuery == t.querySequence
		if c.Zone == t.self.Zone && (nearest < 0 || c.weight > list[nearest].weight) {
			nearest = i
		}
	}
	if nearest >= 0 && t.links.isZoneLocal(q.Route) {
		list[nearest].warm = true
	}
}

// maxDisplaced bounds what cold work is reckoned to take from others, in full
// upstreams.
const maxDisplaced = 2.0

// displacedWork is what cold work at an upstream takes from the requests that it
// would do warm in the same time, as far as it has any. Without it, requests that
// would wait long where they are warm go where they are cold as soon as that is
// a little sooner for themselves; each then takes the room of several, all queues
// grow, and more go cold, long after the burst that began it.
func displacementCost(load float64, slots int, w *serviceTime) time.Duration {
	busy := min(load/float64(slots), maxDisplaced)
	return time.Duration(busy * float64(w.affinityGain()))
}

// queueTime is how long a new request waits for one of the slots, if each of those
// before it takes as long as given.
func queueTime(load float64, slots int, each time.Duration) time.Duration {
	ahead := load + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(ahead) / float64(slots) * float64(each))
}
