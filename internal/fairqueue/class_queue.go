package fairqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Removal of the state of idle customers.
const (
	sweepInterval       = time.Second
	customerIdleTimeout = 10 * time.Second
)

// classQueue holds the queued requests of one class and serves customers in
// proportion to their weights.
type classQueue struct {
	byName      map[string]*customer
	customers   []*customer
	waiting     tagHeap[*customer]
	virtualTime float64
	count       int
	lastSweep   time.Time
}

func newClassQueue() *classQueue { return &classQueue{byName: map[string]*customer{}} }

// customerFor returns the customer of a request that arrives now and creates
// it if needed.
func (cq *classQueue) customerFor(it *Item, now time.Time) *customer {
	c := cq.byName[it.Customer]
	if c == nil {
		cq.sweep(now)
		c = &customer{name: it.Customer, nonEmptySince: now, waitBias: 1}
		c.index = -1
		cq.byName[it.Customer] = c
		cq.customers = append(cq.customers, c)
	}
	c.weight = it.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	c.lastArrival = now
	return c
}

// sweep removes customers that have sent no request for customerIdleTimeout.
func (cq *classQueue) sweep(now time.Time) {
	if now.Sub(cq.lastSweep) < sweepInterval {
		return
	}
	cq.lastSweep = now
	cq.customers = slices.DeleteFunc(cq.customers, func(c *customer) bool {
		idle := c.count == 0 && c.running == 0 && now.Sub(c.lastArrival) > customerIdleTimeout && now.After(c.nextRetryAt)
		if idle {
			delete(cq.byName, c.name)
		}
		return idle
	})
}

func (cq *classQueue) push(it *Item, c *customer, now time.Time) {
	if c.count == 0 {
		c.startTag = max(c.startTag, cq.virtualTime)
		c.nonEmptySince = now
		heap.Push(&cq.waiting, c)
	}
	it.flow = c.flowFor(it.Key)
	it.queued, it.queuedAt = true, now
	c.push(it.flow, it)
	cq.count++
}

// head returns the request to serve next, or nil if the queue is empty.
func (cq *classQueue) head() *Item {
	if len(cq.waiting) == 0 {
		return nil
	}
	return cq.waiting[0].waiting[0].head
}

// remove removes a queued request. A request removed to be served is charged
// to its customer at its estimated cost; correctCharge applies the measured
// time later.
func (cq *classQueue) remove(it *Item, served bool, now time.Time) {
	c := it.flow.owner
	c.remove(it, served, now)
	it.queued = false
	cq.count--
	c.updateWaitBias(it, now)
	if served {
		cq.virtualTime = max(cq.virtualTime, c.startTag)
		c.startTag += milliseconds(it.Cost) / c.weight
		c.running++
		c.usage.add(milliseconds(it.Cost), now)
	}
	if c.count > 0 {
		heap.Fix(&cq.waiting, c.index)
		return
	}
	heap.Remove(&cq.waiting, c.index)
}

// correctCharge replaces the estimated cost by the measured service time.
func (cq *classQueue) correctCharge(it *Item, took time.Duration, now time.Time) {
	c := it.flow.owner
	c.running--
	excess := milliseconds(took - it.Cost)
	c.usage.add(excess, now)
	c.usage.usedMs = max(c.usage.usedMs, 0)
	c.startTag += excess / c.weight
	if c.index >= 0 {
		heap.Fix(&cq.waiting, c.index)
	}
}

// workAhead estimates the service time, in milliseconds, that is served
// before a request that arrives now and waits for at most horizon. It is the
// sum of the backlog of the request's key, at most the same amount for each
// other key of the customer, and an amount limited in proportion to the
// weights for each other customer. No key or customer counts with more than
// its backlog and the work expected from it within horizon.
func (cq *classQueue) workAhead(c *customer, key uint64, horizon time.Duration, now time.Time) float64 {
	own := c.workAhead(key, horizon, now)
	if own == 0 {
		return 0
	}
	sum := own
	for _, other := range cq.customers {
		if other == c {
			continue
		}
		expected := other.backlogMs + other.usage.meanSlots(now)*milliseconds(horizon)
		sum += min(own*other.weight/c.weight, expected)
	}
	return sum
}

// Correction of the predicted queueing delay.
const (
	biasSampleWeight = 0.05
	maxWaitRatio     = 4
	// minBiasSample is the smallest predicted delay that is used to correct
	// predictions.
	minBiasSample = 20 * time.Millisecond
)

// updateWaitBias compares the queueing delay of a request with the predicted
// one. The prediction does not include all requests that arrive later, nor
// lost slots.
func (c *customer) updateWaitBias(it *Item, now time.Time) {
	if it.predictedWait < minBiasSample {
		return
	}
	ratio := float64(now.Sub(it.queuedAt)) / float64(it.predictedWait)
	c.waitBias += biasSampleWeight * (min(ratio, maxWaitRatio) - c.waitBias)
}

// workAhead is the part of classQueue.workAhead for the keys of one customer.
func (c *customer) workAhead(key uint64, horizon time.Duration, now time.Time) float64 {
	own := 0.0
	for _, f := range c.flows {
		if f.key == key {
			own = f.backlogMs
		}
	}
	if own == 0 {
		return 0
	}
	sum := own
	for _, f := range c.flows {
		if f.key != key {
			sum += min(own, f.backlogMs+f.usage.meanSlots(now)*milliseconds(horizon))
		}
	}
	return sum
}

// totalWeight returns the sum of the weights of all known customers.
func (cq *classQueue) totalWeight() float64 {
	sum := 0.0
	for _, c := range cq.customers {
		sum += c.weight
	}
	return sum
}
