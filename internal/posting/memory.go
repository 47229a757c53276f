package posting

import "time"

// key is what one posting is remembered under. Ids are scoped by customer:
// the prefix is public, so two customers who count their postings from one
// would otherwise meet, and one could take another's ids beforehand or learn
// that they exist.
type key struct {
	customer string
	own      string
}

// record is what is remembered of one posting.
type record struct {
	digest Digest
	state  State
	answer *Answer
	// done is closed when the posting ends; nil afterwards.
	done chan struct{}
}

// memory holds the records of one instance, by epoch, so that an epoch is
// forgotten as a whole.
type memory struct {
	epoch  uint64
	epochs map[uint64]map[key]*record
}

func newMemory(epoch uint64) memory {
	return memory{epoch: epoch, epochs: map[uint64]map[key]*record{}}
}

// advance sets the current epoch. It never goes back: a record of a forgotten
// epoch is gone, so an id of it that came in again would run again.
func (m *memory) advance(epoch uint64) {
	m.epoch = max(m.epoch, epoch)
}

// forgotten tells whether an epoch is older than is remembered.
func (m *memory) forgotten(epoch uint64) bool { return epoch+EpochsKept < m.epoch }

// takeForgotten removes the epochs that are refused anyway.
func (m *memory) takeForgotten() []map[key]*record {
	var gone []map[key]*record
	for epoch, records := range m.epochs {
		if m.forgotten(epoch) {
			gone = append(gone, records)
			delete(m.epochs, epoch)
		}
	}
	return gone
}

func (m *memory) put(epoch uint64, k key, r *record) {
	records := m.epochs[epoch]
	if records == nil {
		records = map[key]*record{}
		m.epochs[epoch] = records
	}
	records[k] = r
}

func (m *memory) find(req Request) *record { return m.epochs[req.ID.Epoch][req.key()] }

// oldest is the oldest epoch with a record.
func (m *memory) oldest() uint64 {
	oldest := m.epoch
	for epoch, records := range m.epochs {
		if len(records) > 0 {
			oldest = min(oldest, epoch)
		}
	}
	return oldest
}

// judge finds what became of a posting whose epoch is remembered. ok is false
// where nothing is known of it.
func judge(r *record, req Request) (Found, bool) {
	switch {
	case r == nil:
		return Found{}, false
	case r.digest != req.Digest:
		return Found{Verdict: VerdictReused}, true
	case r.state == StateRunning:
		return Found{Verdict: VerdictWait, Done: r.done}, true
	}
	return Found{Verdict: VerdictDone, State: r.state, Answer: r.answer}, true
}

// archive is the memory taken over from an instance that stopped. Nothing is
// ever run on its behalf.
type archive struct {
	memory
	takenAt time.Time
	atEpoch uint64
}

func (a *archive) advanceTo(now time.Time) {
	a.advance(a.atEpoch + epochAt(a.takenAt, now))
}
