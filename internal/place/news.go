package place

import "time"

const (
	// shareEvery is how often the hosts tell each other again that an object is
	// still warm; well below the time for which that is believed.
	shareEvery = 8 * time.Second
	// mostNews bounds what one heartbeat tells, to about a kilobyte.
	mostNews = 120
)

// News says that an upstream has handled an object lately: the object in the
// upper half, the upstream's hash in the lower.
type News uint64

func newNews(object Object, w *worker) News { return News(uint64(object)<<32 | uint64(uint32(w.id))) }

// News returns what this host has seen and the others have not been told. What
// was told or heard is not told again for a while, so in a fleet of any size
// each fact is told by about one host.
func (t *Table) News(now time.Time) []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []News
	for _, w := range t.byID {
		for object, known := range w.warm {
			if now.Sub(known.at) > shareEvery || now.Sub(known.shared) < shareEvery {
				continue
			}
			if len(out) == mostNews {
				return out
			}
			known.shared = now
			w.warm[object] = known
			out = append(out, newNews(object, w))
		}
	}
	return out
}

// Hear takes in what another host has seen.
func (t *Table) Hear(now time.Time, news []uint64) {
	if len(news) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range news {
		if w := t.byHash[uint32(n)]; w != nil {
			t.hear(now, now, w, Object(n>>32))
		}
	}
}

// hear takes in that an upstream answered about an object at a time.
func (t *Table) hear(now, at time.Time, w *worker, object Object) {
	t.hold(w, object)
	w.hear(now, at, object)
}
