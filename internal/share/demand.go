package share

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the moving average of demand. It is long
// enough to average the requests of a customer with a few requests per second, and short
// enough to follow callers that move to another zone.
const demandTimeConstant = 1200 * time.Millisecond

// demand is the exponentially weighted moving average of a request rate.
type demand struct {
	perSecond float64
	updatedAt time.Time
}

func (d *demand) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.perSecond *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	}
	d.updatedAt = now
}

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.perSecond += 1 / demandTimeConstant.Seconds()
}

func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.perSecond
}
