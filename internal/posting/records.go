package posting

import "time"

// key identifies a record within an epoch. Ids are scoped by customer because
// the prefix is public. Without the scope, the ids of two customers that number
// their postings from one would collide, and a customer could occupy the ids of
// another customer in advance or find out which ids exist.
type key struct {
	customer string
	suffix   string
}

// record is the stored state of one posting.
type record struct {
	digest   Digest
	state    State
	response *storedResponse
	// done is closed and set to nil when the posting ends.
	done chan struct{}
}

// epochRecords holds the records of one epoch and the total size of their
// responses. The total allows an epoch to be removed without iterating over its
// records while requests and the control thread wait for the lock of the table.
type epochRecords struct {
	records       map[key]*record
	responseBytes int
}

// instanceRecords holds the records of one instance, grouped by epoch so that
// all records of an epoch expire together.
type instanceRecords struct {
	currentEpoch uint64
	epochs       map[uint64]*epochRecords
}

func newInstanceRecords(epoch uint64) instanceRecords {
	return instanceRecords{currentEpoch: epoch, epochs: map[uint64]*epochRecords{}}
}

// advance sets the current epoch, which never decreases. The records of an
// expired epoch are deleted; if the epoch became valid again, a retried id of it
// would run a second time.
func (i *instanceRecords) advance(epoch uint64) {
	i.currentEpoch = max(i.currentEpoch, epoch)
}

// isExpired reports whether an epoch is older than the retained epochs.
func (i *instanceRecords) isExpired(epoch uint64) bool { return epoch+RetainedEpochs < i.currentEpoch }

// removeExpired removes the expired epochs, whose ids are rejected as stale, and
// returns their records.
func (i *instanceRecords) removeExpired() []*epochRecords {
	var expired []*epochRecords
	for epoch, e := range i.epochs {
		if i.isExpired(epoch) {
			expired = append(expired, e)
			delete(i.epochs, epoch)
		}
	}
	return expired
}

func (i *instanceRecords) add(epoch uint64, k key, r *record) {
	e := i.epochs[epoch]
	if e == nil {
		e = &epochRecords{records: map[key]*record{}}
		i.epochs[epoch] = e
	}
	e.records[k] = r
}

func (i *instanceRecords) find(epoch uint64, k key) *record {
	e := i.epochs[epoch]
	if e == nil {
		return nil
	}
	return e.records[k]
}

// oldestEpoch returns the oldest epoch that has a record, or the current epoch
// if there are no records.
func (i *instanceRecords) oldestEpoch() uint64 {
	oldest := i.currentEpoch
	for epoch, e := range i.epochs {
		if len(e.records) > 0 {
			oldest = min(oldest, epoch)
		}
	}
	return oldest
}

// resultOf returns the result for a request whose id has the record r, and false
// if r is nil.
func resultOf(r *record, req Request) (BeginResult, bool) {
	switch {
	case r == nil:
		return BeginResult{}, false
	case r.digest != req.Digest:
		return BeginResult{Decision: DecisionIDReused}, true
	case r.state == StateRunning:
		return BeginResult{Decision: DecisionWait, Done: r.done}, true
	}
	return BeginResult{Decision: DecisionDone, State: r.state, Response: r.response.response()}, true
}

// importedRecords holds the records that a stopped instance transferred to this
// one. This instance never runs a posting of the stopped instance.
type importedRecords struct {
	instanceRecords
	importedAt time.Time
	// importedEpoch is the epoch of the stopped instance at importedAt.
	importedEpoch uint64
}

// advanceAt counts the epochs of the stopped instance on from the time of import.
func (i *importedRecords) advanceAt(now time.Time) {
	i.advance(i.importedEpoch + epochAt(i.importedAt, now))
}
