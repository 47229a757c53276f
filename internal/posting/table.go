package posting

import (
	"crypto/sha256"
	"strings"
	"sync"
	"time"
)

// Limits of the table.
const (
	// EpochLength is how long an instance issues the same prefix. Callers keep
	// a prefix only for the TTL of the lookup response, which is some seconds,
	// so most requests have a recent prefix.
	EpochLength = 5 * time.Minute
	// RetainedEpochs is the number of past epochs whose records are retained.
	// An id can be retried for ten to fifteen minutes, which is longer than
	// callers keep retrying.
	RetainedEpochs = 2
	// MaxStoredResponseBytes is the maximum size, headers and body, of a
	// response that is stored for retries. Responses to postings and top-ups
	// are short receipts.
	MaxStoredResponseBytes = 16 << 10
	// MaxRecords limits the stored records. It allows for 100 postings per
	// second over fifteen minutes, which is twice the current sum of all
	// customers' rates divided by ten hosts. The memory per record is listed
	// in docs/measurements/posting.md.
	MaxRecords = 90_000
	// MaxTotalResponseBytes limits the total size of the stored responses.
	// Beyond it, a posting still runs and has a record, but its response is
	// not stored.
	MaxTotalResponseBytes = 32 << 20
	// MaxImportedInstances limits the stopped instances whose records are
	// imported.
	MaxImportedInstances = 32
)

// Limits are the size limits of a table. Tests use small limits.
type Limits struct {
	Records       int
	ResponseBytes int
}

// DefaultLimits returns the limits that a daemon uses.
func DefaultLimits() Limits { return Limits{Records: MaxRecords, ResponseBytes: MaxTotalResponseBytes} }

// State is the state of a posting.
type State uint8

// States of a posting. A posting leaves StateRunning once and then keeps its
// state.
const (
	// StateRunning means that the posting is being dispatched.
	StateRunning State = iota
	// StateRan means that an upstream responded and the response is stored.
	StateRan
	// StateUnknown means that an upstream may have run the posting and its
	// response was lost.
	StateUnknown
)

// Digest identifies the content of the request that was sent with a posting id.
type Digest [sha256.Size]byte

// Request is a request to run a posting, first or retried.
type Request struct {
	ID       ID
	Customer string
	Digest   Digest
}

func (r Request) key() key { return key{customer: r.Customer, suffix: r.ID.Suffix} }

// Decision is what Begin decided about a request.
type Decision int

// Decisions of Begin.
const (
	// DecisionRun means that this request is the first. The caller of Begin
	// must run the posting and then end BeginResult.Run.
	DecisionRun Decision = iota
	// DecisionWait means that another request is running the posting. The
	// caller of Begin waits for BeginResult.Done and calls Begin again.
	DecisionWait
	// DecisionDone means that the posting has ended. BeginResult.State and
	// BeginResult.Response hold its outcome.
	DecisionDone
	// DecisionStaleEpoch means that the epoch of the id has expired. The
	// posting may have run.
	DecisionStaleEpoch
	// DecisionFutureEpoch means that the prefix was never issued. The posting
	// has not run.
	DecisionFutureEpoch
	// DecisionIDReused means that the id was used before with another request.
	DecisionIDReused
	// DecisionTableFull means that the table has no room for another record.
	// The posting has not run.
	DecisionTableFull
	// DecisionClosed means that the instance no longer runs postings. The
	// posting has not run.
	DecisionClosed
	// DecisionOtherInstance means that the id names another instance whose
	// records are not imported here.
	DecisionOtherInstance
)

// BeginResult is the result of Begin.
type BeginResult struct {
	Decision Decision
	// Run is set with DecisionRun.
	Run *Run
	// Done is set with DecisionWait and closed when the posting has ended.
	Done <-chan struct{}
	// State and Response are set with DecisionDone. Response.Body must not be
	// modified.
	State    State
	Response *Response
	// RetryAfter is set with DecisionTableFull. It is the time until the next
	// epoch expires.
	RetryAfter time.Duration
}

// Table stores the records of the postings that this instance ran, and the
// records that stopped instances transferred to it. It is safe for concurrent
// use.
type Table struct {
	mu         sync.Mutex
	instance   string
	start      time.Time
	limits     Limits
	ownRecords instanceRecords
	imported   map[string]*importedRecords
	// records and responseBytes are the totals of own and imported.
	records       int
	responseBytes int
	sealed        bool
}

// NewTable returns an empty table for an instance that started at start.
func NewTable(instance string, start time.Time, limits Limits) *Table {
	return &Table{
		instance: instance, start: start, limits: limits,
		ownRecords: newInstanceRecords(0), imported: map[string]*importedRecords{},
	}
}

// epochAt returns the number of epochs since start. Both times must have a
// monotonic clock reading. With the wall clock, a backward step would make the
// ids of an expired epoch valid again, and retried postings would run twice.
func epochAt(start, now time.Time) uint64 { return uint64(max(now.Sub(start), 0) / EpochLength) }

// Epoch returns the epoch at now.
func (t *Table) Epoch(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return t.ownRecords.currentEpoch
}

// Begin adds a record for a new posting, or returns the state of a posting that
// has a record.
func (t *Table) Begin(req Request, now time.Time) BeginResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if req.ID.Instance != t.instance {
		return t.lookupImported(req)
	}
	if result, found := lookup(&t.ownRecords, req); found {
		return result
	}
	if t.sealed {
		return BeginResult{Decision: DecisionClosed}
	}
	if t.records >= t.limits.Records {
		return BeginResult{Decision: DecisionTableFull, RetryAfter: t.timeToExpiry(now)}
	}
	// Suffix is a substring of the caller's header. Cloning it allows the
	// header to be garbage-collected.
	req.ID.Suffix = strings.Clone(req.ID.Suffix)
	r := &record{digest: req.Digest, state: StateRunning, done: make(chan struct{})}
	t.ownRecords.add(req.ID.Epoch, req.key(), r)
	t.records++
	return BeginResult{Decision: DecisionRun, Run: &Run{table: t, epoch: req.ID.Epoch, key: req.key(), record: r}}
}

// lookupImported returns the result for a posting of a stopped instance.
func (t *Table) lookupImported(req Request) BeginResult {
	imported := t.imported[req.ID.Instance]
	if imported == nil {
		return BeginResult{Decision: DecisionOtherInstance}
	}
	if result, found := lookup(&imported.instanceRecords, req); found {
		return result
	}
	return BeginResult{Decision: DecisionClosed}
}

// lookup returns the result for a request by the epoch and the record of its id,
// and false if the id is new.
func lookup(records *instanceRecords, req Request) (BeginResult, bool) {
	switch {
	case records.isExpired(req.ID.Epoch):
		return BeginResult{Decision: DecisionStaleEpoch}, true
	case req.ID.Epoch > records.currentEpoch:
		return BeginResult{Decision: DecisionFutureEpoch}, true
	}
	return resultOf(records.find(req.ID.Epoch, req.key()), req)
}

// removeExpired removes the records of the epochs that have expired at now.
func (t *Table) removeExpired(now time.Time) {
	t.ownRecords.advance(epochAt(t.start, now))
	t.subtract(t.ownRecords.removeExpired())
	for instance, imported := range t.imported {
		imported.advanceAt(now)
		t.subtract(imported.removeExpired())
		if imported.isExpired(imported.importedEpoch) {
			delete(t.imported, instance)
		}
	}
}

// subtract subtracts the records of removed epochs from the totals.
func (t *Table) subtract(epochs []*epochRecords) {
	for _, e := range epochs {
		t.records -= len(e.records)
		t.responseBytes -= e.responseBytes
	}
}

// timeToExpiry returns the time until the oldest epoch expires.
func (t *Table) timeToExpiry(now time.Time) time.Duration {
	end := t.start.Add(time.Duration(t.ownRecords.oldestEpoch()+RetainedEpochs+1) * EpochLength)
	return max(end.Sub(now), 0)
}

// Run is the permission to run one posting. The table grants it once, and its
// holder must end it by a call of FinishNotRun or Finish.
type Run struct {
	table  *Table
	epoch  uint64
	key    key
	record *record
}

// FinishNotRun removes the record. The posting certainly did not run and will
// not run by this attempt, so a retry runs it.
func (r *Run) FinishNotRun() {
	r.complete(func(t *Table) {
		delete(t.ownRecords.epochs[r.epoch].records, r.key)
		t.records--
	})
}

// Finish stores the outcome of the posting. response is nil if the response is
// not known. The caller must not modify response afterwards.
func (r *Run) Finish(state State, response *Response) {
	stored := newStoredResponse(response)
	r.complete(func(t *Table) { t.storeOutcome(t.ownRecords.epochs[r.epoch], r.record, state, stored) })
}

// complete calls update and wakes the requests that wait for the posting. It does
// not call update if the record was removed because its epoch expired.
func (r *Run) complete(update func(*Table)) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.record.done == nil {
		return
	}
	if t.ownRecords.find(r.epoch, r.key) == r.record {
		update(t)
	}
	close(r.record.done)
	r.record.done = nil
}

// storeOutcome stores the state and the response of a posting. Of a response
// that exceeds a size limit, it stores only the status.
func (t *Table) storeOutcome(e *epochRecords, r *record, state State, response *storedResponse) {
	if size := response.size(); size > MaxStoredResponseBytes || t.responseBytes+size > t.limits.ResponseBytes {
		response = response.withoutBody()
	}
	r.state, r.response = state, response
	e.responseBytes += response.size()
	t.responseBytes += response.size()
}

// Size returns the number of records and the total size of their responses.
func (t *Table) Size() (records, responseBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records, t.responseBytes
}
