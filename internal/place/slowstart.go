package place

import "time"

const (
	// slowStartPart is the part of a cold upstream's request rate that its sender uses.
	// The rest is for a second host that briefly considers itself the sender, too, after
	// a change of membership.
	slowStartPart = 0.85
	// slowStartBurst is the token bucket size; it admits requests that arrive close together.
	slowStartBurst = 2
)

// slowStart is the token bucket that limits requests to a cold upstream, which crashes at
// well above its cold rate. Only one host sends to it, so no count is shared.
type slowStart struct {
	tokens     float64
	refilledAt time.Time
}

// allow takes a token, refilled at rate per second; rate 0 means no limit.
func (s *slowStart) allow(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if s.refilledAt.IsZero() {
		s.tokens = 1
	} else {
		s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*rate*slowStartPart, slowStartBurst)
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// isSlowStartSender reports whether this host is the one that sends to the upstream while
// it is cold. With a single sender, the cold rate need not be divided among hosts. The
// sender is selected by rendezvous hash among the ready hosts of the upstream's zone,
// else of its region, else of all regions.
func (t *Table) isSlowStartSender(w *upstream) bool {
	if w.senderGeneration != t.hostsGeneration {
		w.senderGeneration, w.isSender = t.hostsGeneration, t.slowStartSender(w) == t.self.Instance
	}
	return w.isSender
}

// slowStartSender returns the instance that sends to a cold upstream; "" if no host is ready.
func (t *Table) slowStartSender(w *upstream) string {
	// Index 2 is for hosts of the same zone, 1 for the same region, 0 for all others.
	var byProximity [3]struct {
		instance string
		weight   uint64
	}
	for i, h := range t.hosts {
		proximity := 0
		switch {
		case h.Zone == w.Zone:
			proximity = 2
		case h.Region == w.region:
			proximity = 1
		}
		best := &byProximity[proximity]
		if x := weight(w.idHash, t.hostHashes[i]); best.instance == "" || x > best.weight {
			best.instance, best.weight = h.Instance, x
		}
	}
	for proximity := len(byProximity) - 1; proximity >= 0; proximity-- {
		if instance := byProximity[proximity].instance; instance != "" {
			return instance
		}
	}
	return ""
}
