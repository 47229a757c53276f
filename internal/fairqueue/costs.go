package fairqueue

import (
	"math"
	"time"
)

// Parameters of the service time estimates.
const (
	// estimateCells is the number of separate estimates. Kinds of requests
	// whose hashes fall into the same cell share an estimate.
	estimateCells = 256
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.1
	// minSamples is the number of responses of a kind that are required
	// before a slow response of that kind counts against its upstream.
	// Otherwise the first 2-second report of a service with 5 ms requests
	// would count as 400 times slower.
	minSamples = 8
	// Requests are long if they take at least longCostFactor times the
	// typical service time and at least minLongCost. Shorter requests do not
	// hold a slot long enough to need separate treatment.
	longCostFactor = 8
	minLongCost    = 100 * time.Millisecond
)

// CostEstimator estimates the service time of each kind of request of one
// service from moving averages.
//
// Without estimates, 2-second reports among 5 ms lookups on the same
// upstreams would count as one request each: a customer that sends reports
// would get 400 times the share of the others, and reports would hold all
// slots.
type CostEstimator struct {
	defaultMs    float64
	meanMs       [estimateCells]float64
	samples      [estimateCells]uint8
	typicalLogMs float64
}

// NewCostEstimator returns an estimator that returns expected for kinds
// without samples.
func NewCostEstimator(expected time.Duration) *CostEstimator {
	ms := max(milliseconds(expected), 1)
	return &CostEstimator{defaultMs: ms, typicalLogMs: math.Log(ms)}
}

// Estimate returns the expected service time and the class of a kind of
// request. kind is a hash, for example of the method and path prefix.
func (c *CostEstimator) Estimate(kind uint64) (time.Duration, Class) {
	ms := c.meanMs[kind%estimateCells]
	if ms == 0 {
		return duration(c.defaultMs), Short
	}
	if ms >= longCostFactor*math.Exp(c.typicalLogMs) && ms >= milliseconds(minLongCost) {
		return duration(ms), Long
	}
	return duration(ms), Short
}

// HasEnoughSamples reports whether the estimate of a kind is reliable enough
// to judge upstreams by it.
func (c *CostEstimator) HasEnoughSamples(kind uint64) bool {
	return c.samples[kind%estimateCells] >= minSamples
}

// Record adds a measured service time. The typical service time is a
// geometric mean over all requests, so that 10% of long requests hardly
// change it.
func (c *CostEstimator) Record(kind uint64, took time.Duration) {
	ms := max(milliseconds(took), 0.01)
	if c.samples[kind%estimateCells] < minSamples {
		c.samples[kind%estimateCells]++
	}
	cell := &c.meanMs[kind%estimateCells]
	if *cell == 0 {
		*cell = ms
	}
	*cell += sampleWeight * (ms - *cell)
	c.typicalLogMs += sampleWeight / 10 * (math.Log(ms) - c.typicalLogMs)
}
