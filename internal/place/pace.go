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

// warms tells whether this host is the one that sends to a cold upstream. One
// alone does, by rendezvous among the ready hosts of the upstream's zone, else
// of its region, else all: each host then knows the whole rate.
func (t *Table) warms(w *worker) bool {
	near := func(test func(Host) bool) (Host, bool) {
		var best Host
		var most uint64
		for _, h := range t.hosts {
			if x := weight(w.id, hash(h.Instance)); test(h) && (best.Instance == "" || x > most) {
				best, most = h, x
			}
		}
		return best, best.Instance != ""
	}
	for _, test := range []func(Host) bool{
		func(h Host) bool { return h.Zone == w.Zone },
		func(h Host) bool { return h.Region == w.region },
		func(Host) bool { return true },
	} {
		if h, ok := near(test); ok {
			return h.Instance == t.self.Instance
		}
	}
	return false
}
