package share

import (
	"math"
	"time"
)

// demandMemory is the time over which demand is averaged: long enough for a
// customer with a few requests a second, and as short as a move of callers to
// another zone allows.
const demandMemory = 1200 * time.Millisecond

// demand is an exponentially fading rate of events.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) fade(now time.Time) {
	if !d.at.IsZero() {
		d.perSecond *= math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	}
	d.at = now
}

func (d *demand) add(now time.Time) {
	d.fade(now)
	d.perSecond += 1 / demandMemory.Seconds()
}

func (d *demand) rate(now time.Time) float64 {
	d.fade(now)
	return d.perSecond
}
