package place

import "time"

const (
	// gossipInterval is how often a host reports again that an object is still warm. It
	// is well below WarmTTL.
	gossipInterval = 8 * time.Second
	// maxWarmReports bounds the size of a heartbeat.
	maxWarmReports = 120
)

// WarmReport reports that an upstream has handled an object recently. The upper half
// holds the object, the lower half the low bits of the hash of the upstream's ID.
type WarmReport uint64

func newWarmReport(object Object, w *upstream) WarmReport {
	return WarmReport(uint64(object)<<32 | uint64(uint32(w.idHash)))
}

// WarmReports returns the warm objects that need to be reported to the other hosts. An
// object that was reported or received within gossipInterval is left out, so in a fleet
// of any size about one host reports each fact.
func (t *Table) WarmReports(now time.Time) []WarmReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []WarmReport
	for _, w := range t.byID {
		for object, known := range w.warm {
			if now.Sub(known.lastUsed) > gossipInterval || now.Sub(known.gossipedAt) < gossipInterval {
				continue
			}
			if len(out) == maxWarmReports {
				return out
			}
			known.gossipedAt = now
			w.warm[object] = known
			out = append(out, newWarmReport(object, w))
		}
	}
	return out
}

// ApplyWarmReports applies the reports of another host.
func (t *Table) ApplyWarmReports(now time.Time, reports []uint64) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range reports {
		if w := t.byHash[uint32(n)]; w != nil {
			t.applyWarm(now, now, w, Object(n>>32))
		}
	}
}

// applyWarm records that an upstream answered a request about an object at time at.
func (t *Table) applyWarm(now, at time.Time, w *upstream, object Object) {
	t.addHolder(w, object)
	w.markReported(now, at, object)
}
