package place

import "time"

const (
	// departedTTL is how long the announcements of a removed upstream are kept. A registration
	// that has expired, for example while the store was down, may return.
	departedTTL = time.Minute
	// maxAnnouncementReports is the maximum number of announcements of a kind in a heartbeat.
	maxAnnouncementReports = 120
)

// announced is what an instance of an upstream has announced about itself in its responses.
// It ends with the instance, not with its registration.
type announced struct {
	rateLimit rateLimit
	pause     pause
	leaving   leaving
}

// instanceKey identifies an instance of an upstream in messages between hosts: it holds the low
// bits of the hash of the upstream's ID, and below these the low bits of its start time.
func (w *upstream) instanceKey() uint64 { return instanceKey(w.idHash, w.StartedMs) }

func instanceKey(idHash uint64, startedMs int64) uint64 {
	return idHash<<32 | uint64(uint32(startedMs))
}

// byInstanceKey returns the registered instance with the key; nil if there is none.
func (t *Table) byInstanceKey(key uint64) *upstream {
	if w := t.byHash[uint32(key>>32)]; w != nil && uint32(w.StartedMs) == uint32(key) {
		return w
	}
	return nil
}

// instance returns the state of the instance that was chosen; nil if the upstream has
// restarted since.
func (t *Table) instance(c Choice) *upstream {
	for _, w := range []*upstream{t.byID[c.ID], c.upstream} {
		if w != nil && w.StartedMs == c.startedMs {
			return w
		}
	}
	return nil
}

// departed is an upstream whose registration was removed.
type departed struct {
	upstream  *upstream
	removedAt time.Time
}

// keepAnnounced keeps the announcements of an upstream that is removed.
func (t *Table) keepAnnounced(now time.Time, w *upstream) {
	for id, d := range t.departed {
		if now.Sub(d.removedAt) > departedTTL {
			delete(t.departed, id)
		}
	}
	t.departed[w.ID] = departed{w, now}
}

// restoreAnnounced restores the announcements of an upstream that was removed and is
// registered again, unless it has restarted.
func (t *Table) restoreAnnounced(w *upstream) {
	if d, ok := t.departed[w.ID]; ok && d.upstream.StartedMs == w.StartedMs {
		w.announced = d.upstream.announced
	}
	delete(t.departed, w.ID)
}
