package fairqueue

import (
	"container/heap"
	"slices"
	"time"
)

// Forgetting of customers that do not call.
const (
	sweepEvery  = time.Second
	forgetAfter = 10 * time.Second
)

// part is one class of work: customers served in proportion to their weights.
type part struct {
	byName    map[string]*customer
	customers []*customer
	waiting   byTag[*customer]
	virtual   float64
	count     int
	swept     time.Time
}

func newPart() *part { return &part{byName: map[string]*customer{}} }

// customerOf finds or makes the customer of an item that arrives now.
func (p *part) customerOf(it *Item, now time.Time) *customer {
	c := p.byName[it.Customer]
	if c == nil {
		p.sweep(now)
		c = &customer{name: it.Customer, standingSince: now, bias: 1}
		c.index = -1
		p.byName[it.Customer] = c
		p.customers = append(p.customers, c)
	}
	c.weight = it.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	c.seen = now
	return c
}

// sweep forgets customers that have not called for long.
func (p *part) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	p.customers = slices.DeleteFunc(p.customers, func(c *customer) bool {
		idle := c.count == 0 && c.running == 0 && now.Sub(c.seen) > forgetAfter && now.After(c.promised)
		if idle {
			delete(p.byName, c.name)
		}
		return idle
	})
}

func (p *part) push(it *Item, c *customer, now time.Time) {
	if c.count == 0 {
		c.tag = max(c.tag, p.virtual)
		c.standingSince = now
		heap.Push(&p.waiting, c)
	}
	it.flow = c.flowOf(it.Key)
	it.waits, it.joined = true, now
	c.push(it.flow, it)
	p.count++
}

// first returns the request to be served next; nil if none waits.
func (p *part) first() *Item {
	if len(p.waiting) == 0 {
		return nil
	}
	return p.waiting[0].waiting[0].head
}

// take removes a request. A served one is charged to its customer; what it
// really took is settled when it is done.
func (p *part) take(it *Item, served bool, now time.Time) {
	c := it.flow.owner
	c.take(it, served, now)
	it.waits = false
	p.count--
	c.learn(it, now)
	if served {
		p.virtual = max(p.virtual, c.tag)
		c.tag += milliseconds(it.Cost) / c.weight
		c.running++
		c.usage.add(milliseconds(it.Cost), now)
	}
	if c.count > 0 {
		heap.Fix(&p.waiting, c.index)
		return
	}
	heap.Remove(&p.waiting, c.index)
}

// settle corrects the charge by what the work really took.
func (p *part) settle(it *Item, took time.Duration, now time.Time) {
	c := it.flow.owner
	c.running--
	more := milliseconds(took - it.Cost)
	c.usage.add(more, now)
	c.usage.sum = max(c.usage.sum, 0)
	c.tag += more / c.weight
	if c.index >= 0 {
		heap.Fix(&p.waiting, c.index)
	}
}

// ahead is the service time, in milliseconds, that will have been served
// before a request that joins now and waits for the time horizon: its key's
// backlog; of each other key of its customer at most as much again; of each
// other customer at most in proportion to the weights; and of none more than
// it has waiting and is expected to bring in the meantime.
func (p *part) ahead(c *customer, key uint64, horizon time.Duration, now time.Time) float64 {
	own := c.ahead(key, horizon, now)
	if own == 0 {
		return 0
	}
	sum := own
	for _, o := range p.customers {
		if o == c {
			continue
		}
		brings := o.backlog + o.usage.slots(now)*milliseconds(horizon)
		sum += min(own*o.weight/c.weight, brings)
	}
	return sum
}

// Learning of the prediction's error.
const (
	biasRate = 0.05
	maxBias  = 4
	// biasFrom is the least predicted wait that says something about it.
	biasFrom = 20 * time.Millisecond
)

// learn compares how long a request waited with what was predicted: others
// may come that had not been counted, and slots get lost.
func (c *customer) learn(it *Item, now time.Time) {
	if it.predicted < biasFrom {
		return
	}
	ratio := float64(now.Sub(it.joined)) / float64(it.predicted)
	c.bias += biasRate * (min(ratio, maxBias) - c.bias)
}

func (c *customer) ahead(key uint64, horizon time.Duration, now time.Time) float64 {
	own := 0.0
	for _, f := range c.flows {
		if f.key == key {
			own = f.backlog
		}
	}
	if own == 0 {
		return 0
	}
	sum := own
	for _, f := range c.flows {
		if f.key != key {
			sum += min(own, f.backlog+f.usage.slots(now)*milliseconds(horizon))
		}
	}
	return sum
}

// weights is the sum over the customers known.
func (p *part) weights() float64 {
	sum := 0.0
	for _, c := range p.customers {
		sum += c.weight
	}
	return sum
}
