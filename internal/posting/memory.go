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
	answer *keptAnswer
	// done is closed when the posting ends; nil afterwards.
	done chan struct{}
}

// epochRecords are the records of one epoch, with what they count together, so
// that forgetting an epoch takes no walk through it: traffic and the control
// thread wait for the table meanwhile.
type epochRecords struct {
	records     map[key]*record
	answerBytes int
}

// memory holds the records of one instance, by epoch, so that an epoch is
// forgotten as a whole.
type memory struct {
	epoch  uint64
	epochs map[uint64]*epochRecords
}

func newMemory(epoch uint64) memory {
	return memory{epoch: epoch, epochs: map[uint64]*epochRecords{}}
}

// advance sets the current epoch. It never goes back: a record of a forgotten
// epoch is gone, so an id of it that came in again would run again.
func (m *memory) advance(epoch uint64) {
	m.epoch = max(m.epoch, epoch)
}

// forgotten tells whether an epoch is older than is remembered.
func (m *memory) forgotten(epoch uint64) bool { return epoch+RetainedEpochs < m.epoch }

// takeForgotten removes the epochs that are refused anyway.
func (m *memory) takeForgotten() []*epochRecords {
	var gone []*epochRecords
	for epoch, e := range m.epochs {
		if m.forgotten(epoch) {
			gone = append(gone, e)
			delete(m.epochs, epoch)
		}
	}
	return gone
}

func (m *memory) put(epoch uint64, k key, r *record) {
	e := m.epochs[epoch]
	if e == nil {
		e = &epochRecords{records: map[key]*record{}}
		m.epochs[epoch] = e
	}
	e.records[k] = r
}

func (m *memory) find(epoch uint64, k key) *record {
	e := m.epochs[epoch]
	if e == nil {
		return nil
	}
	return e.records[k]
}

// oldest is the oldest epoch with a record.
func (m *memory) oldest() uint64 {
	oldest := m.epoch
	for epoch, e := range m.epochs {
		if len(e.records) > 0 {
			oldest = min(oldest, epoch)
		}
	}
	return oldest
}

// judge finds what became of a posting whose epoch is remembered. ok is false
// where nothing is known of it.
func judge(r *record, req Request) (BeginResult, bool) {
	switch {
	case r == nil:
		return BeginResult{}, false
	case r.digest != req.Digest:
		return BeginResult{Decision: DecisionIDReused}, true
	case r.state == StateRunning:
		return BeginResult{Decision: DecisionWait, Done: r.done}, true
	}
	return BeginResult{Decision: DecisionDone, State: r.state, Response: r.answer.unpack()}, true
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
