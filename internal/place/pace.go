package place

import "time"

const (
	// coldPart of what a cold upstream bears is sent. The rest is for a second
	// host that believes, for a moment after a change of members, that it is
	// the one to send.
	coldPart = 0.85
	// coldDepth lets requests that arrive close together through.
	coldDepth = 2
)

// pace bounds what is sent to a cold upstream: it crashes at well above what it
// bears. One host alone sends to it, so no count has to be shared.
type pace struct {
	tokens float64
	at     time.Time
}

// take uses one request of rate per second; rate 0 is no bound.
func (p *pace) take(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if p.at.IsZero() {
		p.tokens = 1
	} else {
		p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*rate*coldPart, coldDepth)
	}
	p.at = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
