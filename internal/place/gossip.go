package place

import "time"

const (
	// gossipEvery is how often the hosts tell each other again that an object is
	// still warm; well below the time for which that is believed.
	gossipInterval = 8 * time.Second
	// maxWarmReports bounds the size of a heartbeat.
	maxWarmReports = 120
)

// WarmReport says that an upstream has handled an object lately: the object in the
// upper half, the upstream's hash in the lower.
type WarmReport uint64

func newWarmReport(object Object, w *upstream) WarmReport {
	return WarmReport(uint64(object)<<32 | uint64(uint32(w.id)))
}

// WarmReports returns what this host has seen and the others have not been told. What
// was told or heard is not told again for a while, so in a fleet of any size
// each fact is told by about one host.
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

// ApplyWarmReports takes in what another host has seen.
func (t *Table) ApplyWarmReports(now time.Time, news []uint64) {
	if len(news) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		if w := t.byHash[uint32(n)]; w != nil {
			t.applyWarm(now, now, w, Object(n>>32))
		}
	}
}

// applyWarm takes in that an upstream answered about an object at a time.
func (t *Table) applyWarm(now, at time.Time, w *upstream, object Object) {
	t.addHolder(w, object)
	w.markReported(now, at, object)
}
