package fairqueue

import (
	"container/heap"
	"time"
)

// position is an entity's place among its siblings: the virtual time, in
// milliseconds of service per unit of weight, at which it is served next.
type position struct {
	tag   float64
	index int
}

func (p *position) at() *position { return p }

type entity interface{ at() *position }

// byTag is a heap of the siblings that have something waiting.
type byTag[E entity] []E

func (h byTag[E]) Len() int           { return len(h) }
func (h byTag[E]) Less(i, j int) bool { return h[i].at().tag < h[j].at().tag }
func (h byTag[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at().index, h[j].at().index = i, j
}

// Push implements heap.Interface.
func (h *byTag[E]) Push(x any) {
	e := x.(E)
	e.at().index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *byTag[E]) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	e.at().index = -1
	return e
}

// flow is what one key of a customer has waiting, oldest first.
type flow struct {
	position
	owner      *customer
	key        uint64
	head, tail *Item
	backlog    float64
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

// keptFlows bounds the keys remembered of a customer that has nothing waiting:
// more than one uses at a time, so that a quiet customer allocates nothing.
const keptFlows = 8

// customer is one customer's part of a class.
type customer struct {
	position
	name   string
	weight float64
	// flows are its keys that were in use lately.
	flows   []*flow
	waiting byTag[*flow]
	virtual float64
	// backlog is the estimated service time that waits, in milliseconds.
	backlog float64
	count   int
	running int
	usage   usage
	// standingSince is when the queue was last seen empty.
	standingSince time.Time
	// bias is how much longer its requests waited than predicted.
	bias float64
	// promised is the time up to which refused requests were told to return.
	promised time.Time
	seen     time.Time
}

func (c *customer) flowOf(key uint64) *flow {
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

// push queues an item behind its key's others. A key that had nothing waiting
// starts at the present virtual time: what it did not use is not saved up.
func (c *customer) push(f *flow, it *Item) {
	if f.head == nil {
		f.tag = max(f.tag, c.virtual)
		heap.Push(&c.waiting, f)
	}
	f.append(it)
	cost := milliseconds(it.Cost)
	f.backlog += cost
	c.backlog += cost
	c.count++
}

// take removes an item. Served ones are charged to their key.
func (c *customer) take(it *Item, served bool, now time.Time) {
	f := it.flow
	f.unlink(it)
	cost := milliseconds(it.Cost)
	c.count--
	c.backlog = emptied(c.count == 0, c.backlog-cost)
	f.backlog = emptied(f.head == nil, f.backlog-cost)
	if served {
		c.virtual = max(c.virtual, f.tag)
		f.tag += cost
		f.usage.add(cost, now)
	}
	if f.head != nil {
		heap.Fix(&c.waiting, f.index)
		return
	}
	heap.Remove(&c.waiting, f.index)
	if len(c.waiting) == 0 && len(c.flows) > keptFlows {
		clear(c.flows)
		c.flows = c.flows[:0]
	}
}

// emptied keeps rounding errors from piling up in a sum that should be zero.
func emptied(empty bool, sum float64) float64 {
	if empty {
		return 0
	}
	return max(sum, 0)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
