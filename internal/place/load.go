package place

import (
	"math"
	"time"

	"balsambarrow/internal/traffic"
)

const (
	// loadMemory is the time in which what an upstream said of others' requests
	// loses most of its meaning.
	loadMemory = 400 * time.Millisecond
	// meanGain is the weight of one account in the mean of others' requests.
	meanGain = 0.1
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
	mean float64
	told bool
}

// note takes an account in. The account and inflight both still count the request
// that is answered with it.
func (l *load) note(now time.Time, told traffic.Load) {
	others := max(float64(told.Running+told.Waiting-l.inflight), 0)
	if !l.told {
		l.mean = others
	}
	l.told = true
	l.mean += meanGain * (others - l.mean)
	l.others, l.at = others, now
}

// expect is the number of requests that are at the upstream now.
func (l *load) expect(now time.Time) float64 {
	if !l.told {
		return float64(l.inflight)
	}
	fade := math.Exp(-float64(now.Sub(l.at)) / float64(loadMemory))
	return float64(l.inflight) + l.mean + (l.others-l.mean)*fade
}
