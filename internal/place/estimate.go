package place

import (
	"math"
	"time"
)

// rankPenaltyPart is the cost per rank, as a part of the time that affinity saves. It
// makes all hosts prefer the same upstream as the next one for an object.
const (
	rankPenaltyPart = 1.0 / 16
	maxRanks        = 8
)

// estimate computes the expected latency and the cost of each candidate.
func (t *Table) estimate(now time.Time, q Query, object Object, s *survey) {
	list := s.candidates
	t.markWarm(now, q, object, list)
	e := t.estimator(q, object)
	for i := range list {
		c := &list[i]
		c.assumed = t.assumedLoad(c.path)
		load := c.load.estimate(now, c.assumed)
		e.estimateLatency(now, c, load)
		e.estimateCost(c, load)
	}
	if object == 0 {
		return
	}
	top := rank(list)
	for position, i := range top.index[:top.n] {
		// Candidates outside the top ranks keep the penalty of the last rank.
		list[i].cost -= time.Duration(maxRanks-position) * e.rankPenalty
	}
	if first := &list[top.index[0]]; t.needsFirstObject(now, *first) {
		first.cost = first.queueing
	}
}

// assumedLoad returns the load from other hosts that is assumed at each upstream of a zone that has not
// reported its load: the other hosts of this region are taken to have as many requests in the zone as
// this one. Otherwise, when all hosts start together, each of them would fill the same upstreams until
// their first responses arrive.
func (t *Table) assumedLoad(path *zonePath) float64 {
	if path.silent == 0 {
		return 0
	}
	return float64((t.regionHosts-1)*path.silentInflight) / float64(path.silent)
}

// estimator holds the estimates that all candidates of one request share.
type estimator struct {
	table *Table
	query Query
	// hasAffinity is set if the request has an affinity key.
	hasAffinity bool
	route       *serviceTime
	// queuedServiceTime is the mean service time of requests that wait in a queue.
	queuedServiceTime time.Duration
	slowdown          *serviceSlowdown
	// rankPenalty is added per rank. awayPenalty is added outside the object's home region.
	rankPenalty, awayPenalty time.Duration
	// homeIsLocal is set if this host's region counts as the home region of the object.
	// On a route whose responses are too large to leave their zone, it always does.
	homeIsLocal bool
}

func (t *Table) estimator(q Query, object Object) *estimator {
	route := getOrCreate(t.serviceTimes, q.Route)
	route.setInitial(q.Target)
	return &estimator{
		table: t, query: q, hasAffinity: object != 0, route: route, queuedServiceTime: t.queuedServiceTime(q.Service, route), slowdown: t.slowdowns[q.Service],
		rankPenalty: time.Duration(rankPenaltyPart * float64(route.affinityGain())), awayPenalty: t.awayPenalty(route),
		homeIsLocal: t.links.isZoneLocal(q.Route) || t.isHomeRegion(object),
	}
}

// estimateLatency computes the queueing delay and the latency of the request at a
// candidate that has load requests.
func (e *estimator) estimateLatency(now time.Time, c *candidate, load float64) {
	slowdown := e.slowdown.expected(now, &c.slowdown)
	c.queueing = queueTime(load, c.Slots, time.Duration(float64(e.queuedServiceTime)*c.health.slowness*slowdown))
	if c.queueing > 0 {
		slowdown = e.slowdown.expected(now.Add(c.queueing), &c.slowdown)
	}
	c.expectedSlowdown = slowdown
	work := time.Duration(float64(e.route.estimate(c.warm)) * c.health.slowness * slowdown)
	c.latency = work + c.queueing + c.path.roundTrip
}

// estimateCost computes the cost of a candidate as if it had the last rank: its latency,
// and the cost of the choice to other requests.
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

// queuedServiceTime returns the mean service time of requests that wait at upstreams
// of the service.
func (t *Table) queuedServiceTime(service string, route *serviceTime) time.Duration {
	if known := getOrCreate(t.queuedTimes, service); known.samples > 0 {
		return known.value
	}
	return route.estimate(true)
}

// markWarm sets warm for the candidates to which any host has recently sent a request
// about the object. Without an affinity key, all candidates count as warm.
//
// If the route's responses are so large that they should not leave their zone, the
// first-ranked upstream of the zone also counts as warm: one cold request there avoids
// all later transfers between zones.
func (t *Table) markWarm(now time.Time, q Query, object Object, list []candidate) {
	if object == 0 {
		for i := range list {
			list[i].warm = true
		}
		return
	}
	t.markHolders(now, object)
	firstInZone := -1
	for i := range list {
		c := &list[i]
		c.warm = c.warmForQuery == t.querySequence
		if c.Zone == t.self.Zone && (firstInZone < 0 || c.weight > list[firstInZone].weight) {
			firstInZone = i
		}
	}
	if firstInZone >= 0 && t.links.isZoneLocal(q.Route) {
		list[firstInZone].warm = true
	}
}

// maxDisplaced bounds the load that counts for the displacement cost, as a multiple of
// the slots of the upstream.
const maxDisplaced = 2.0

// displacementCost is the delay that cold work at an upstream causes to the warm
// requests it displaces, in proportion to the upstream's load. Without this cost,
// requests that expect a long queue at a warm upstream move to a cold one as soon as
// they would finish slightly earlier there. Each of them takes the capacity of several
// warm requests, all queues grow, and more requests move to cold upstreams, even long
// after the burst that made the first ones move.
func displacementCost(load float64, slots int, route *serviceTime) time.Duration {
	busy := min(load/float64(slots), maxDisplaced)
	return time.Duration(busy * float64(route.affinityGain()))
}

// queueTime returns the expected queueing delay of a new request if each request ahead
// of it takes the given time.
func queueTime(load float64, slots int, perRequest time.Duration) time.Duration {
	ahead := load + 1 - float64(slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(ahead) / float64(slots) * float64(perRequest))
}
