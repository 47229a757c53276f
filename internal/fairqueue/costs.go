package fairqueue

import (
	"math"
	"time"
)

// Learning of service times.
const (
	// cells bounds the kinds of work told apart; kinds that share a cell share
	// an estimate.
	cells = 256
	// learnRate is the weight of a new sample.
	learnRate = 0.1
	// knownAfter is how many requests of a kind must have been answered before
	// one that takes long is held against its upstream: the first 2-second
	// report of a service of 5 ms would otherwise count as 400 times slower.
	knownAfter = 8
	// longFactor is how much longer than usual work must take to be long, and
	// longAtLeast the least: shorter work does not hold a slot long enough to
	// be worth setting apart.
	longFactor  = 8
	longAtLeast = 100 * time.Millisecond
)

// Costs learns how long each kind of work takes at one service.
//
// Load pattern: reports of 2 s among lookups of 5 ms at the same upstreams.
// Without it a report counts as one request like a lookup, its customer gets
// 400 times the others' share, and the reports hold all slots.
type Costs struct {
	expected float64
	mean     [cells]float64
	samples  [cells]uint8
	usualLog float64
}

// NewCosts returns an estimator that assumes expected until it knows better.
func NewCosts(expected time.Duration) *Costs {
	ms := max(milliseconds(expected), 1)
	return &Costs{expected: ms, usualLog: math.Log(ms)}
}

// Estimate returns the service time to expect of a kind of work, and its class.
// kind is any hash, such as of method and path prefix.
func (c *Costs) Estimate(kind uint64) (time.Duration, Class) {
	ms := c.mean[kind%cells]
	if ms == 0 {
		return duration(c.expected), Short
	}
	if ms >= longFactor*math.Exp(c.usualLog) && ms >= milliseconds(longAtLeast) {
		return duration(ms), Long
	}
	return duration(ms), Short
}

// Known tells whether enough of a kind was seen to judge an upstream by it.
func (c *Costs) Known(kind uint64) bool { return c.samples[kind%cells] >= knownAfter }

// Learn takes a measured service time. The usual time is the geometric mean
// over requests: a tenth of long ones hardly moves it.
func (c *Costs) Learn(kind uint64, took time.Duration) {
	ms := max(milliseconds(took), 0.01)
	if c.samples[kind%cells] < knownAfter {
		c.samples[kind%cells]++
	}
	cell := &c.mean[kind%cells]
	if *cell == 0 {
		*cell = ms
	}
	*cell += learnRate * (ms - *cell)
	c.usualLog += learnRate / 10 * (math.Log(ms) - c.usualLog)
}
