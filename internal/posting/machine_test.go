package posting_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"balsambarrow/internal/posting"
)

// machine drives a chain of tables (each stopped one handed over to the next)
// and keeps the truth beside them: which ids were dispatched.
type machine struct {
	now     time.Time
	names   []string
	tables  []*posting.Table
	running map[posting.Request]*posting.Run
	// may is what may have run at an upstream; dispatches counts them.
	may        map[posting.Request]bool
	dispatches map[posting.Request]int
}

const machineLimit = 12

func newMachine() *machine {
	m := &machine{
		now: start, running: map[posting.Request]*posting.Run{},
		may: map[posting.Request]bool{}, dispatches: map[posting.Request]int{},
	}
	m.startNext()
	return m
}

func (m *machine) startNext() {
	name := "host-" + string(rune('a'+len(m.names)))
	m.names = append(m.names, name)
	m.tables = append(m.tables, posting.NewTable(name, m.now, posting.Limits{Records: machineLimit, ResponseBytes: 20}))
}

func (m *machine) last() *posting.Table { return m.tables[len(m.tables)-1] }

// ask asks any table, most often the live one, for an id of any instance.
func (m *machine) ask(t *rapid.T) {
	req := posting.Request{
		ID: posting.ID{
			Instance: rapid.SampledFrom(m.names).Draw(t, "instance"),
			Epoch:    rapid.Uint64Range(0, m.last().Epoch(m.now)+1).Draw(t, "epoch"),
			Suffix:   rapid.SampledFrom([]string{"1", "2"}).Draw(t, "own"),
		},
		Customer: rapid.SampledFrom([]string{"farm", "barn"}).Draw(t, "customer"),
	}
	table := m.last()
	if rapid.IntRange(0, 4).Draw(t, "stopped") == 0 {
		table = rapid.SampledFrom(m.tables).Draw(t, "table")
	}
	found := table.Begin(req, m.now)
	switch found.Decision {
	case posting.DecisionRun:
		if m.may[req] || m.running[req] != nil {
			t.Fatalf("%v is run a second time", req)
		}
		m.running[req] = found.Run
		m.dispatches[req]++
	case posting.DecisionDone:
		if !m.may[req] {
			t.Fatalf("%v is called ended and never ran", req)
		}
	case posting.DecisionFutureEpoch, posting.DecisionTableFull, posting.DecisionClosed:
		if m.may[req] || m.running[req] != nil {
			t.Fatalf("%v is called not-run (%d) and may have run", req, found.Decision)
		}
	}
}

// end ends one running posting in any way.
func (m *machine) end(t *rapid.T) {
	for req, run := range m.running {
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			run.FinishNotRun()
		case 1:
			m.may[req] = true
			run.Finish(posting.StateRan, answer("ok"))
		case 2:
			m.may[req] = true
			run.Finish(posting.StateUnknown, nil)
		}
		delete(m.running, req)
		return
	}
}

// stop hands the live table over to a new one. What still runs is cut at the
// bound of the stop, and may have run.
func (m *machine) stop(t *rapid.T) {
	if len(m.names) > 4 {
		return
	}
	for req := range m.running {
		m.may[req] = true
	}
	m.running = map[posting.Request]*posting.Run{}
	old := m.last()
	all := old.Seal(m.now)
	m.startNext()
	for _, h := range all {
		if !m.last().Import(h, m.now) {
			t.Fatalf("%s is not taken", h.Instance)
		}
	}
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
}

func (m *machine) check(t *rapid.T) {
	if records, bytes := m.last().Size(); records > machineLimit || bytes > 20 {
		t.Fatalf("out of bounds: %d records, %d bytes", records, bytes)
	}
}

// Callers ask again at any time, runs end in any way, hosts are stopped and
// hand over, time passes: an id must never be run after it may have run, and
// not-run must be true.
func TestTableAgainstTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask, "end": m.end, "stop": m.stop, "pass": m.pass, "": m.check,
		})
	})
}
