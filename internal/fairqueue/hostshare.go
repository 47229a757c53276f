package fairqueue

import (
	"math"
	"time"
)

// minHostWeight is the least weight of a customer, in milliseconds of work per second.
const minHostWeight = 1

// hostCustomer is a customer of one service at an entry host.
type hostCustomer struct {
	rate    float64
	waiting int
	// asked is the work of its requests in milliseconds, requests their number, and started the work
	// of those that were sent.
	asked, requests, started average
	lastArrival              time.Time
}

func newHostCustomer() *hostCustomer {
	window := average{window: shareWindow}
	return &hostCustomer{asked: window, requests: window, started: window}
}

// weight returns the customer's share relative to others, in milliseconds of work per second: its
// demand at this host, at most that of its rate.
func (c *hostCustomer) weight(now time.Time) float64 {
	demand := c.asked.perSecond(now)
	if perSecond := c.requests.perSecond(now); c.rate > 0 && perSecond > c.rate {
		demand *= c.rate / perSecond
	}
	return max(demand, minHostWeight)
}

// servedPart returns the part of the customer's demand that was served recently. The customer with the
// least goes first, so that the same part is served of all. Start-time fair queueing would serve less
// of customers with few requests: whenever none of these waits, their share is lost to them.
func (c *hostCustomer) servedPart(now time.Time) float64 {
	return c.started.perSecond(now) / c.weight(now)
}

// average is an exponentially decaying average of a rate.
type average struct {
	window    time.Duration
	sum       float64
	since     time.Time
	updatedAt time.Time
}

// minAverageTime is the shortest time over which a rate is averaged.
const minAverageTime = 200 * time.Millisecond

func (a *average) add(amount float64, now time.Time) {
	if a.since.IsZero() {
		a.since, a.updatedAt = now, now
	}
	a.decay(now)
	a.sum += amount
}

// perSecond returns the mean rate per second. The time before the first amount does not count.
func (a *average) perSecond(now time.Time) float64 {
	if a.since.IsZero() {
		return 0
	}
	a.decay(now)
	elapsed := max(now.Sub(a.since), minAverageTime)
	return a.sum / (a.window.Seconds() * -math.Expm1(-float64(elapsed)/float64(a.window)))
}

func (a *average) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.sum *= math.Exp(-float64(elapsed) / float64(a.window))
		a.updatedAt = now
	}
}

const (
	// excessQuantile is the quantile of the excess over the expected latency that requests leave
	// time for.
	excessQuantile = 0.9
	// excessStep is by how much one sample moves the estimate, as a fraction of it, and
	// minExcessStep the least.
	excessStep    = 0.1
	minExcessStep = time.Millisecond
)

// excess estimates by how much the latency of a kind of request exceeds the expected one: the
// pipeline of the upstream, and the spread of the service time.
type excess time.Duration

// observe applies one sample by stochastic approximation of the quantile.
func (e *excess) observe(d time.Duration) {
	step := max(float64(*e)*excessStep, float64(minExcessStep))
	if d > time.Duration(*e) {
		*e += excess(excessQuantile * step)
		return
	}
	*e = max(*e-excess((1-excessQuantile)*step), 0)
}
