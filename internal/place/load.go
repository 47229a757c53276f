package place

import (
	"math"
	"time"

	"balsambarrow/internal/traffic"
)

const (
	// loadDecay is the time in which what an upstream said of others' requests
	// loses most of its meaning.
	loadDecay = 400 * time.Millisecond
	// meanGain is the weight of one account in the mean of others' requests.
	backgroundGain = 0.1
)

// load estimates how many requests are at an upstream, from its own accounts
// and from what this host has sent since.
type load struct {
	// inflight are this host's requests.
	inflight int
	// others is what the upstream had from elsewhere at the time at.
	others float64
	at     time.Time
	// mean of others over the last accounts.
	background float64
	reported   bool
}

// observe takes an account in. The account and inflight both still count the request
// that is answered with it.
func (l *load) observe(now time.Time, told traffic.Load) {
	others := max(float64(told.Running+told.Waiting-l.inflight), 0)
	if !l.reported {
		l.background = others
	}
	l.reported = true
	l.background += backgroundGain * (others - l.background)
	l.others, l.at = others, now
}

// estimate is the number of requests that are at the upstream now.
func (l *load) estimate(now time.Time) float64 {
	if !l.reported {
		return float64(l.inflight)
	}
	fade := math.Exp(-float64(now.Sub(l.at)) / float64(loadDecay))
	return float64(l.inflight) + l.background + (l.others-l.background)*fade
}
