package place

import (
	"slices"
	"time"
)

const (
	// slowStartPart is the part of a cold upstream's request rate that its sender uses.
	// The rest is for a second host that briefly considers itself the sender, too, after
	// a change of membership.
	slowStartPart = 0.85
	// slowStartBurst is the token bucket size; it admits requests that arrive close together.
	slowStartBurst = 2
)

// allowSlowStart takes one request of a cold upstream's rate. The upstream crashes at well above
// that rate. Only one host sends to it, so no count is shared.
func (t *Table) allowSlowStart(now time.Time, w *upstream) bool {
	rate := t.coldRate(w.Service)
	return rate <= 0 || w.slowStart.take(now, rate*slowStartPart, slowStartBurst)
}

// isSlowStartSender reports whether this host is the one that sends to the upstream while
// it is cold. With a single sender, the cold rate need not be divided among hosts.
func (t *Table) isSlowStartSender(w *upstream) bool { return t.senderRank(w) == 0 }

// noSender is the rank of a host that is not ready.
const noSender = -1

// senderRank returns the rank of this host among the ready hosts that may send to an upstream
// which takes few requests: those of the upstream's zone first, then those of its region,
// then all others, each in the order of their rendezvous weights. All hosts compute the same
// ranks without messages.
func (t *Table) senderRank(w *upstream) int {
	if w.senderGeneration != t.hostsGeneration {
		w.senderGeneration, w.senderRank = t.hostsGeneration, t.computeSenderRank(w)
	}
	return w.senderRank
}

func (t *Table) computeSenderRank(w *upstream) int {
	self := slices.IndexFunc(t.hosts, func(h Host) bool { return h.Instance == t.self.Instance })
	if self < 0 {
		return noSender
	}
	rank := 0
	own, ownWeight := proximity(t.hosts[self], w), weight(w.idHash, t.hostHashes[self])
	for i, h := range t.hosts {
		if p := proximity(h, w); p > own || p == own && weight(w.idHash, t.hostHashes[i]) > ownWeight {
			rank++
		}
	}
	return rank
}

// proximity returns 2 for a host of the upstream's zone, 1 for one of its region and 0 for all
// others.
func proximity(h Host, w *upstream) int {
	switch {
	case h.Zone == w.Zone:
		return 2
	case h.Region == w.region:
		return 1
	}
	return 0
}
