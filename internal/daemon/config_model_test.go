package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"balsambarrow/internal/config"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/telemetry"
)

// writeFault says how the store handles one write.
type writeFault int

const (
	faultNone writeFault = iota
	faultResponseLost
	faultRequestLost
	faultDelayed
	faultUnavailable
	faultKinds
)

// faultyStore holds a single entry and applies a queued fault to each write.
type faultyStore struct {
	kv.Store
	entry         kv.Item
	faults        []writeFault
	delayedWrites []func()
	onWrite       func(value []byte)
}

func (s *faultyStore) Get(context.Context, string) (kv.Item, error) {
	if s.entry.Revision == 0 {
		return kv.Item{}, kv.ErrNotFound
	}
	return s.entry, nil
}

func (s *faultyStore) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte, _ uint64) (uint64, error) {
	f := faultNone
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	write := func() error {
		if s.entry.Revision != revision {
			return &kv.ConflictError{Current: s.entry.Revision}
		}
		s.entry = kv.Item{Revision: revision + 1, Value: value}
		s.onWrite(value)
		return nil
	}
	switch f {
	case faultResponseLost:
		_ = write()
		return 0, kv.ErrOutcomeUnknown
	case faultRequestLost:
		return 0, kv.ErrOutcomeUnknown
	case faultDelayed:
		s.delayedWrites = append(s.delayedWrites, func() { _ = write() })
		return 0, kv.ErrOutcomeUnknown
	case faultUnavailable:
		return 0, kv.ErrUnavailable
	default:
		return s.entry.Revision, write()
	}
}

// operation is an operator's change and the outcome of its submissions so far.
type operation struct {
	patch config.Patch
	// acceptedVersion is the acknowledged version, or 0 if there is none.
	acceptedVersion uint64
	// rejected means that the change was reported as not applied. uncertain means
	// that the outcome of an earlier submission is unknown.
	rejected  bool
	uncertain bool
}

// configMachine is a rapid state machine of operators, a store and three
// daemons. It runs config.Repository and the daemon's version checks.
type configMachine struct {
	g               *WithT
	store           *faultyStore
	repo            *config.Repository
	daemons         []*control
	highestVersions []uint64
	// history holds every record that the store ever contained, by version.
	history     map[uint64]*config.Record
	lastVersion uint64
	operations  []*operation
}

const seedDocument = `{"regions":{"r":{}},"zones":{"z":{"region":"r"}},"services":{},"upstreams":{},"customers":{}}`

func newConfigMachine(t *testing.T, rt *rapid.T) *configMachine {
	m := &configMachine{g: NewWithT(rt), store: &faultyStore{}, history: map[uint64]*config.Record{}}
	m.store.onWrite = m.checkWrite
	m.repo = config.NewRepository(m.store, func() time.Time { return time.Unix(1, 0) })
	for range 3 {
		m.daemons = append(m.daemons, idleControl(t))
		m.highestVersions = append(m.highestVersions, 0)
	}
	_, err := m.repo.Apply(context.Background(), config.Patch{ChangeID: "seed", Merge: json.RawMessage(seedDocument)})
	m.g.Expect(err).NotTo(HaveOccurred())
	return m
}

// idleControl returns the control state of a daemon that is not started.
func idleControl(t *testing.T) *control {
	s, err := settings.Parse("test", []byte(`{"host":"h","zone":"z","platform":{"url":"http://127.0.0.1:1"},"tls":{"plain":true}}`))
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(s, telemetry.NewLogger(t.Output(), "fatal"), Options{})
	if err != nil {
		t.Fatal(err)
	}
	d.control.detectSlotPause(time.Now())
	return d.control
}

// checkWrite checks that each write to the store increments the version by one.
func (m *configMachine) checkWrite(value []byte) {
	record, err := config.ParseRecord(value)
	m.g.Expect(err).NotTo(HaveOccurred())
	m.g.Expect(record.Version).To(Equal(m.lastVersion + 1))
	m.lastVersion = record.Version
	m.history[m.lastVersion] = record
}

func (m *configMachine) submit(op *operation) {
	// A canceled context skips the delays between retries.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	applied, err := m.repo.Apply(ctx, op.patch)
	var stale *config.StaleError
	switch {
	case err == nil:
		m.g.Expect(op.acceptedVersion).To(Or(BeZero(), Equal(applied.Version)))
		m.g.Expect(op.rejected).To(BeFalse(), "a rejected change was applied")
		op.acceptedVersion = applied.Version
	case errors.Is(err, config.ErrOutcomeUnknown):
		op.uncertain = true
	case errors.As(err, &stale):
		op.rejected = !stale.HistoryTruncated
	case errors.Is(err, config.ErrNotApplied):
		op.rejected = op.rejected || !op.uncertain
	default:
		m.g.Expect(err).NotTo(HaveOccurred())
	}
}

func (m *configMachine) Submit(t *rapid.T) {
	base := m.lastVersion
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(1, m.lastVersion).Draw(t, "base")
	}
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		m.store.faults = append(m.store.faults, writeFault(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "fate")))
	}
	id := fmt.Sprintf("c-%d", len(m.operations))
	op := &operation{patch: config.Patch{
		ChangeID: id, Base: base, Merge: json.RawMessage(fmt.Sprintf(`{"customers":{%q:{"rate":1,"burst":1}}}`, id)),
	}}
	m.operations = append(m.operations, op)
	m.submit(op)
	m.store.faults = nil
}

// DuplicateSubmit submits a change again. It skips changes that were reported
// as not applied, because resubmitting one of them is a legitimate new attempt.
//
// The method names keep their alphabetical order: rapid sorts actions by name,
// so another order would invalidate the seed and the failures in testdata.
func (m *configMachine) DuplicateSubmit(t *rapid.T) {
	if len(m.operations) == 0 {
		t.Skip("no change submitted")
	}
	if op := rapid.SampledFrom(m.operations).Draw(t, "change"); !op.rejected {
		m.submit(op)
	}
}

// LateWrite completes a delayed write.
func (m *configMachine) LateWrite(t *rapid.T) {
	if len(m.store.delayedWrites) == 0 {
		t.Skip("no delayed write")
	}
	i := rapid.IntRange(0, len(m.store.delayedWrites)-1).Draw(t, "write")
	m.store.delayedWrites[i]()
	m.store.delayedWrites = append(m.store.delayedWrites[:i:i], m.store.delayedWrites[i+1:]...)
}

// HandleRecord delivers any past record to a daemon, as a delayed response from
// the store or a peer would.
func (m *configMachine) HandleRecord(t *rapid.T) {
	daemon := rapid.SampledFrom(m.daemons).Draw(t, "daemon")
	version := rapid.Uint64Range(1, m.lastVersion).Draw(t, "version")
	daemon.applyRecord(activateRecord(m.history[version]))
}

func (m *configMachine) Check(*rapid.T) {
	for i, d := range m.daemons {
		version := d.config.version()
		m.g.Expect(version).To(BeNumerically(">=", m.highestVersions[i]), "the active version went back")
		m.highestVersions[i] = version
	}
	for _, op := range m.operations {
		m.checkOperation(op)
	}
}

func (m *configMachine) checkOperation(op *operation) {
	occurrences := 0
	for version, record := range m.history {
		if record.Changes[len(record.Changes)-1].ID == op.patch.ChangeID {
			occurrences++
			m.g.Expect(op.acceptedVersion).To(Or(BeZero(), Equal(version)))
		}
		if op.acceptedVersion > 0 && version >= op.acceptedVersion {
			contained := bytes.Contains(record.Document, []byte(fmt.Sprintf("%q:", op.patch.ChangeID)))
			m.g.Expect(contained).To(BeTrue(), "accepted change %s was lost", op.patch.ChangeID)
		}
	}
	switch {
	case op.acceptedVersion > 0:
		m.g.Expect(occurrences).To(Equal(1), "an accepted change was applied %d times", occurrences)
	case op.rejected:
		m.g.Expect(occurrences).To(BeZero(), "a change reported as not applied was applied")
	default:
		m.g.Expect(occurrences).To(BeNumerically("<=", 1))
	}
}

// Guards against lost, duplicated and resurrected changes. Operators submit
// concurrently and resubmit while writes and responses are lost or delayed, and
// daemons receive versions in any order. An acknowledged change must be applied
// exactly once and kept, a rejected change must never appear, and no daemon may
// return to an older version.
func TestAcceptedChangesAreKeptOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newConfigMachine(t, rt)
		rt.Repeat(rapid.StateMachineActions(m))
	})
}
