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

// fate of one write.
type fate int

const (
	fateDone fate = iota
	fateAnswerLost
	fateLost
	fateLate
	fateDown
	fates
)

// faultyStore is a store of one value whose writes meet a given fate.
type faultyStore struct {
	kv.Store
	entry  kv.Item
	fates  []fate
	late   []func()
	onSwap func(value []byte)
}

func (s *faultyStore) Get(context.Context, string) (kv.Item, error) {
	if s.entry.Revision == 0 {
		return kv.Item{}, kv.ErrNotFound
	}
	return s.entry, nil
}

func (s *faultyStore) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte, _ uint64) (uint64, error) {
	f := fateDone
	if len(s.fates) > 0 {
		f, s.fates = s.fates[0], s.fates[1:]
	}
	write := func() error {
		if s.entry.Revision != revision {
			return &kv.ConflictError{Current: s.entry.Revision}
		}
		s.entry = kv.Item{Revision: revision + 1, Value: value}
		s.onSwap(value)
		return nil
	}
	switch f {
	case fateAnswerLost:
		_ = write()
		return 0, kv.ErrOutcomeUnknown
	case fateLost:
		return 0, kv.ErrOutcomeUnknown
	case fateLate:
		s.late = append(s.late, func() { _ = write() })
		return 0, kv.ErrOutcomeUnknown
	case fateDown:
		return 0, kv.ErrUnavailable
	default:
		return s.entry.Revision, write()
	}
}

// operation is one operator's change as it was submitted last.
type operation struct {
	patch config.Patch
	// accepted is the version that was acknowledged, 0: none.
	accepted uint64
	// refused says that it was answered as certainly not applied, doubt that
	// an earlier submission was not.
	refused bool
	doubt   bool
}

// adoptionMachine drives operators, a store and three daemons by the rules of
// the repository and of adoption.
type adoptionMachine struct {
	g       *WithT
	store   *faultyStore
	repo    *config.Repository
	daemons []*control
	highest []uint64
	// history holds every value that the store ever had, by version.
	history map[uint64]*config.Record
	last    uint64
	ops     []*operation
}

const seed = `{"regions":{"r":{}},"zones":{"z":{"region":"r"}},"services":{},"upstreams":{},"customers":{}}`

func newAdoptionMachine(t *testing.T, rt *rapid.T) *adoptionMachine {
	m := &adoptionMachine{g: NewWithT(rt), store: &faultyStore{}, history: map[uint64]*config.Record{}}
	m.store.onSwap = m.stored
	m.repo = config.NewRepository(m.store, func() time.Time { return time.Unix(1, 0) })
	for range 3 {
		m.daemons = append(m.daemons, idleControl(t))
		m.highest = append(m.highest, 0)
	}
	_, err := m.repo.Apply(context.Background(), config.Patch{ChangeID: "seed", Merge: json.RawMessage(seed)})
	m.g.Expect(err).NotTo(HaveOccurred())
	return m
}

// idleControl is the control state of a daemon that was never started.
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

// stored checks that the store's versions follow each other.
func (m *adoptionMachine) stored(value []byte) {
	record, err := config.ParseRecord(value)
	m.g.Expect(err).NotTo(HaveOccurred())
	m.g.Expect(record.Version).To(Equal(m.last + 1))
	m.last = record.Version
	m.history[m.last] = record
}

func (m *adoptionMachine) submit(op *operation) {
	// A cancelled context takes away the pauses between tries.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	applied, err := m.repo.Apply(ctx, op.patch)
	var stale *config.StaleError
	switch {
	case err == nil:
		m.g.Expect(op.accepted).To(Or(BeZero(), Equal(applied.Version)))
		m.g.Expect(op.refused).To(BeFalse(), "a refused change took effect")
		op.accepted = applied.Version
	case errors.Is(err, config.ErrOutcomeUnknown):
		op.doubt = true
	case errors.As(err, &stale):
		op.refused = !stale.HistoryTruncated
	case errors.Is(err, config.ErrNotApplied):
		op.refused = op.refused || !op.doubt
	default:
		m.g.Expect(err).NotTo(HaveOccurred())
	}
}

func (m *adoptionMachine) Submit(t *rapid.T) {
	base := m.last
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(1, m.last).Draw(t, "base")
	}
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		m.store.fates = append(m.store.fates, fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")))
	}
	id := fmt.Sprintf("c-%d", len(m.ops))
	op := &operation{patch: config.Patch{
		ChangeID: id, Base: base, Merge: json.RawMessage(fmt.Sprintf(`{"customers":{%q:{"rate":1,"burst":1}}}`, id)),
	}}
	m.ops = append(m.ops, op)
	m.submit(op)
	m.store.fates = nil
}

// Again submits a change a second time, unless that would be a new try of one
// that was answered as not applied.
func (m *adoptionMachine) Again(t *rapid.T) {
	if len(m.ops) == 0 {
		t.Skip("no change yet")
	}
	if op := rapid.SampledFrom(m.ops).Draw(t, "change"); !op.refused {
		m.submit(op)
	}
}

// LateWrite lets a write that was on its way reach the store.
func (m *adoptionMachine) LateWrite(t *rapid.T) {
	if len(m.store.late) == 0 {
		t.Skip("no write on its way")
	}
	i := rapid.IntRange(0, len(m.store.late)-1).Draw(t, "write")
	m.store.late[i]()
	m.store.late = append(m.store.late[:i:i], m.store.late[i+1:]...)
}

// Hear gives a daemon any record that ever was, as a slow answer of the store
// or a peer would.
func (m *adoptionMachine) Hear(t *rapid.T) {
	daemon := rapid.SampledFrom(m.daemons).Draw(t, "daemon")
	version := rapid.Uint64Range(1, m.last).Draw(t, "version")
	daemon.applyRecord(activateRecord(m.history[version]))
}

func (m *adoptionMachine) Check(*rapid.T) {
	for i, d := range m.daemons {
		version := d.config.version()
		m.g.Expect(version).To(BeNumerically(">=", m.highest[i]), "a version in force reverted")
		m.highest[i] = version
	}
	for _, op := range m.ops {
		m.checkOperation(op)
	}
}

func (m *adoptionMachine) checkOperation(op *operation) {
	made := 0
	for version, record := range m.history {
		if record.Changes[len(record.Changes)-1].ID == op.patch.ChangeID {
			made++
			m.g.Expect(op.accepted).To(Or(BeZero(), Equal(version)))
		}
		if op.accepted > 0 && version >= op.accepted {
			kept := bytes.Contains(record.Document, []byte(fmt.Sprintf("%q:", op.patch.ChangeID)))
			m.g.Expect(kept).To(BeTrue(), "accepted change %s was lost", op.patch.ChangeID)
		}
	}
	switch {
	case op.accepted > 0:
		m.g.Expect(made).To(Equal(1), "an accepted change was applied %d times", made)
	case op.refused:
		m.g.Expect(made).To(BeZero(), "a change answered as not applied took effect")
	default:
		m.g.Expect(made).To(BeNumerically("<=", 1))
	}
}

// Operators race each other while answers and writes are lost or late, submit
// again, and daemons hear of versions in any order. What was acknowledged must
// stay, once; what was refused must never appear; no daemon may go back.
func TestAcceptedChangesAreKeptOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newAdoptionMachine(t, rt)
		rt.Repeat(rapid.StateMachineActions(m))
	})
}
