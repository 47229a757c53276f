package fairqueue

import (
	"container/heap"
	"time"
)

// heapEntry is the position of a customer or flow in its heap. startTag is
// the start tag of start-time fair queueing: the virtual time, in
// milliseconds of service per unit of weight, at which the customer or flow
// is served next.
type heapEntry struct {
	startTag float64
	index    int
}

func (e *heapEntry) entry() *heapEntry { return e }

// schedulable is a customer or a flow.
type schedulable interface{ entry() *heapEntry }

// tagHeap orders the customers or flows that have queued requests by start
// tag.
type tagHeap[E schedulable] []E

func (h tagHeap[E]) Len() int           { return len(h) }
func (h tagHeap[E]) Less(i, j int) bool { return h[i].entry().startTag < h[j].entry().startTag }
func (h tagHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].entry().index, h[j].entry().index = i, j
}

// Push implements heap.Interface.
func (h *tagHeap[E]) Push(x any) {
	e := x.(E)
	e.entry().index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *tagHeap[E]) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	e.entry().index = -1
	return e
}

// flow is the queue of one API key of a customer, oldest request first.
type flow struct {
	heapEntry
	owner      *customer
	key        uint64
	head, tail *Item
	backlogMs  float64
	usage      usage
}

func (f *flow) append(it *Item) {
	it.prev, it.next = f.tail, nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
}

func (f *flow) unlink(it *Item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
}

// maxIdleFlows is the largest number of flows kept for a customer that has no
// queued requests. It exceeds the number of keys that a customer usually has
// in use, so that low traffic allocates no flows.
const maxIdleFlows = 8

// customer is the queue of one customer within a class.
type customer struct {
	heapEntry
	name   string
	weight float64
	// flows are the flows of the keys used recently.
	flows       []*flow
	waiting     tagHeap[*flow]
	virtualTime float64
	// backlogMs is the estimated service time of the queued requests.
	backlogMs float64
	count     int
	running   int
	usage     usage
	// nonEmptySince is when a request last arrived at an empty queue.
	nonEmptySince time.Time
	// waitBias is a moving average of the ratio of actual to predicted
	// queueing delay.
	waitBias float64
	// nextRetryAt is the earliest time announced to the next refused caller.
	nextRetryAt time.Time
	lastArrival time.Time
}

func (c *customer) flowFor(key uint64) *flow {
	for _, f := range c.flows {
		if f.key == key {
			return f
		}
	}
	f := &flow{owner: c, key: key}
	f.index = -1
	c.flows = append(c.flows, f)
	return f
}

// push appends a request to its flow. A flow that was empty starts at the
// current virtual time, so that a key cannot save up service it did not use.
func (c *customer) push(f *flow, it *Item) {
	if f.head == nil {
		f.startTag = max(f.startTag, c.virtualTime)
		heap.Push(&c.waiting, f)
	}
	f.append(it)
	cost := milliseconds(it.Cost)
	f.backlogMs += cost
	c.backlogMs += cost
	c.count++
}

// remove removes a queued request. If the request is removed to be served, its
// cost is charged to its flow.
func (c *customer) remove(it *Item, served bool, now time.Time) {
	f := it.flow
	f.unlink(it)
	cost := milliseconds(it.Cost)
	c.count--
	c.backlogMs = remainingSum(c.count == 0, c.backlogMs-cost)
	f.backlogMs = remainingSum(f.head == nil, f.backlogMs-cost)
	if served {
		c.virtualTime = max(c.virtualTime, f.startTag)
		f.startTag += cost
		f.usage.add(cost, now)
	}
	if f.head != nil {
		heap.Fix(&c.waiting, f.index)
		return
	}
	heap.Remove(&c.waiting, f.index)
	if len(c.waiting) == 0 && len(c.flows) > maxIdleFlows {
		clear(c.flows)
		c.flows = c.flows[:0]
	}
}

// remainingSum returns 0 for an empty queue and never a negative value, so
// that rounding errors do not accumulate in a sum of costs.
func remainingSum(empty bool, sum float64) float64 {
	if empty {
		return 0
	}
	return max(sum, 0)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
