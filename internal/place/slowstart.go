package place

import "time"

const (
	// slowStartPart of what a cold upstream bears is sent. The rest is for a second
	// host that believes, for a moment after a change of members, that it is
	// the one to send.
	slowStartPart = 0.85
	// slowStartBurst lets requests that arrive close together through.
	slowStartBurst = 2
)

// slowStart bounds what is sent to a cold upstream: it crashes at well above what it
// bears. One host alone sends to it, so no count has to be shared.
type slowStart struct {
	tokens float64
	at     time.Time
}

// take uses one request of rate per second; rate 0 is no bound.
func (p *slowStart) allow(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if p.at.IsZero() {
		p.tokens = 1
	} else {
		p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*rate*slowStartPart, slowStartBurst)
	}
	p.at = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// isSlowStartSender tells whether this host is the one that sends to a cold upstream. One
// alone does, by rendezvous among the ready hosts of the upstream's zone, else
// of its region, else all: each host then knows the whole rate.
func (t *Table) isSlowStartSender(w *upstream) bool {
	if w.senderGeneration != t.hostsGeneration {
		w.senderGeneration, w.isSender = t.hostsGeneration, t.slowStartSender(w) == t.self.Instance
	}
	return w.isSender
}

// slowStartSender is the instance that sends to a cold upstream; "" if no host is ready.
func (t *Table) slowStartSender(w *upstream) string {
	// The nearest hosts come last, so that one of them has the last word.
	var byDistance [3]struct {
		instance string
		weight   uint64
	}
	for i, h := range t.hosts {
		near := 0
		switch {
		case h.Zone == w.Zone:
			near = 2
		case h.Region == w.region:
			near = 1
		}
		best := &byDistance[near]
		if x := weight(w.id, t.hostHashes[i]); best.instance == "" || x > best.weight {
			best.instance, best.weight = h.Instance, x
		}
	}
	for near := len(byDistance) - 1; near >= 0; near-- {
		if instance := byDistance[near].instance; instance != "" {
			return instance
		}
	}
	return ""
}
