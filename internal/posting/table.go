package posting

import (
	"crypto/sha256"
	"strings"
	"sync"
	"time"
)

// Bounds of the table.
const (
	// EpochLength is how long one prefix is given out. Callers keep a prefix
	// for the lookup's time to live, seconds, so most ids are young.
	EpochLength = 5 * time.Minute
	// RetainedEpochs is how many epochs back an id is still known: it can be asked
	// for again for ten to fifteen minutes, longer than a caller's patience.
	RetainedEpochs = 2
	// MaxStoredResponseBytes is the largest answer, headers and body, kept for a
	// repeated asking. Answers to postings and top-ups are receipts.
	MaxStoredResponseBytes = 16 << 10
	// MaxRecords bounds the postings remembered: 100 a second over fifteen
	// minutes, twice the sum of all customers' rates over ten hosts of today.
	// See docs/measurements/posting.md for the bytes of each.
	MaxRecords = 90_000
	// MaxTotalResponseBytes bounds the answers kept, all together. Beyond it a
	// posting runs and is remembered, but its answer is not kept.
	MaxTotalResponseBytes = 32 << 20
	// MaxImportedInstances bounds the instances whose records are imported.
	MaxImportedInstances = 32
)

// Limits bounds a table; tests make them small.
type Limits struct {
	Records       int
	ResponseBytes int
}

// DefaultLimits are the bounds of a daemon.
func DefaultLimits() Limits { return Limits{Records: MaxRecords, ResponseBytes: MaxTotalResponseBytes} }

// State of a posting.
type State uint8

// States of a posting. It only moves forward.
const (
	// StateRunning: a dispatch is under way.
	StateRunning State = iota
	// StateRan: an upstream answered; the answer is kept.
	StateRan
	// StateUnknown: an upstream may have run it, its answer was lost.
	StateUnknown
)

// Digest identifies the request that a posting id came with.
type Digest [sha256.Size]byte

// Request is one asking for a posting.
type Request struct {
	ID       ID
	Customer string
	Digest   Digest
}

func (r Request) key() key { return key{customer: r.Customer, own: r.ID.Suffix} }

// Decision is what Begin decided about a request.
type Decision int

// Decisions of Begin.
const (
	// DecisionRun: the asker is the first and must run it, then end BeginResult.Run.
	DecisionRun Decision = iota
	// DecisionWait: another asker runs it; wait for BeginResult.Done, begin again.
	DecisionWait
	// DecisionDone: it has ended; BeginResult.State and Found.Answer tell how.
	DecisionDone
	// DecisionStaleEpoch: its epoch is forgotten; it may have run.
	DecisionStaleEpoch
	// DecisionFutureEpoch: its prefix was never given out; it has not run.
	DecisionFutureEpoch
	// DecisionIDReused: the id came before with another request.
	DecisionIDReused
	// DecisionTableFull: no more postings can be remembered; it has not run.
	DecisionTableFull
	// DecisionClosed: the instance runs no more postings; it has not run.
	DecisionClosed
	// DecisionOtherInstance: the id names an instance not answered for here.
	DecisionOtherInstance
)

// BeginResult is the result of Begin.
type BeginResult struct {
	Decision Decision
	// Run of DecisionRun.
	Run *Run
	// Done of DecisionWait is closed when the posting has ended.
	Done <-chan struct{}
	// State and Answer of DecisionDone; Answer.Body must not be modified.
	State    State
	Response *Response
	// RetryAfter of DecisionTableFull is when an epoch will be forgotten.
	RetryAfter time.Duration
}

// Table remembers the postings that this instance ran, and those of stopped
// instances that were handed over to it. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	instance string
	start    time.Time
	limits   Limits
	own      memory
	archives map[string]*archive
	// records and answerBytes count own and archives together.
	records     int
	answerBytes int
	sealed      bool
}

// NewTable returns an empty table of an instance that started at start.
func NewTable(instance string, start time.Time, limits Limits) *Table {
	return &Table{
		instance: instance, start: start, limits: limits,
		own: newMemory(0), archives: map[string]*archive{},
	}
}

// epochAt counts the epochs since start. Both times must bear the monotonic
// clock: with the wall clock a step back would bring a forgotten epoch's ids
// back to life, and they would run again.
func epochAt(start, now time.Time) uint64 { return uint64(max(now.Sub(start), 0) / EpochLength) }

// Epoch is the epoch at now.
func (t *Table) Epoch(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.own.epoch
}

// Begin enters a posting, or finds what became of it.
func (t *Table) Begin(req Request, now time.Time) BeginResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if req.ID.Instance != t.instance {
		return t.recall(req)
	}
	if found, known := known(&t.own, req); known {
		return found
	}
	if t.sealed {
		return BeginResult{Decision: DecisionClosed}
	}
	if t.records >= t.limits.Records {
		return BeginResult{Decision: DecisionTableFull, RetryAfter: t.untilForgotten(now)}
	}
	// The own part is a piece of the caller's header; a copy lets that go.
	req.ID.Suffix = strings.Clone(req.ID.Suffix)
	r := &record{digest: req.Digest, state: StateRunning, done: make(chan struct{})}
	t.own.put(req.ID.Epoch, req.key(), r)
	t.records++
	return BeginResult{Decision: DecisionRun, Run: &Run{table: t, epoch: req.ID.Epoch, key: req.key(), record: r}}
}

// recall finds what became of a stopped instance's posting.
func (t *Table) recall(req Request) BeginResult {
	a := t.archives[req.ID.Instance]
	if a == nil {
		return BeginResult{Decision: DecisionOtherInstance}
	}
	if found, known := known(&a.memory, req); known {
		return found
	}
	return BeginResult{Decision: DecisionClosed}
}

// known judges an id by its epoch and its record; false if it is new.
func known(m *memory, req Request) (BeginResult, bool) {
	switch {
	case m.forgotten(req.ID.Epoch):
		return BeginResult{Decision: DecisionStaleEpoch}, true
	case req.ID.Epoch > m.epoch:
		return BeginResult{Decision: DecisionFutureEpoch}, true
	}
	return judge(m.find(req.ID.Epoch, req.key()), req)
}

// advance forgets what is too old at now.
func (t *Table) advance(now time.Time) {
	t.own.advance(epochAt(t.start, now))
	t.drop(t.own.takeForgotten())
	for instance, a := range t.archives {
		a.advanceTo(now)
		t.drop(a.takeForgotten())
		if a.forgotten(a.atEpoch) {
			delete(t.archives, instance)
		}
	}
}

func (t *Table) drop(epochs []*epochRecords) {
	for _, e := range epochs {
		t.records -= len(e.records)
		t.answerBytes -= e.answerBytes
	}
}

// untilForgotten is the time until the oldest epoch leaves the table.
func (t *Table) untilForgotten(now time.Time) time.Duration {
	end := t.start.Add(time.Duration(t.own.oldest()+RetainedEpochs+1) * EpochLength)
	return max(end.Sub(now), 0)
}

// Run is the right to run one posting, given out once. It must be ended by
// one call of FinishNotRun or Finish.
type Run struct {
	table  *Table
	epoch  uint64
	key    key
	record *record
}

// FinishNotRun takes the posting out: it certainly did not run, nor will by this
// attempt, so asking again runs it.
func (r *Run) FinishNotRun() {
	r.end(func(t *Table) {
		delete(t.own.epochs[r.epoch].records, r.key)
		t.records--
	})
}

// Finish keeps how the posting ended. answer is nil where it is not known;
// the table owns it from now on.
func (r *Run) Finish(state State, answer *Response) {
	kept := pack(answer)
	r.end(func(t *Table) { t.keep(t.own.epochs[r.epoch], r.record, state, kept) })
}

// end lets the waiting askers go. An epoch that was forgotten meanwhile took
// the record with it; then there is nothing to change.
func (r *Run) end(change func(*Table)) {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.record.done == nil {
		return
	}
	if t.own.find(r.epoch, r.key) == r.record {
		change(t)
	}
	close(r.record.done)
	r.record.done = nil
}

func (t *Table) keep(e *epochRecords, r *record, state State, answer *keptAnswer) {
	if size := answer.size(); size > MaxStoredResponseBytes || t.answerBytes+size > t.limits.ResponseBytes {
		answer = answer.drop()
	}
	r.state, r.answer = state, answer
	e.answerBytes += answer.size()
	t.answerBytes += answer.size()
}

// Size returns the postings remembered and the bytes of their answers.
func (t *Table) Size() (records, answerBytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records, t.answerBytes
}
