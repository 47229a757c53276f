package posting_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"balsambarrow/internal/posting"
)

// tableModel drives a sequence of tables, each of which imports the records of its
// stopped predecessor, and records which ids were really dispatched.
type tableModel struct {
	now       time.Time
	instances []string
	tables    []*posting.Table
	running   map[posting.Request]*posting.Run
	// mayHaveRun holds the requests that may have run at an upstream.
	// dispatches counts the runs of each request.
	mayHaveRun map[posting.Request]bool
	dispatches map[posting.Request]int
}

const modelRecordLimit = 12

func newTableModel() *tableModel {
	m := &tableModel{
		now: start, running: map[posting.Request]*posting.Run{},
		mayHaveRun: map[posting.Request]bool{}, dispatches: map[posting.Request]int{},
	}
	m.startInstance()
	return m
}

func (m *tableModel) startInstance() {
	name := "host-" + string(rune('a'+len(m.instances)))
	m.instances = append(m.instances, name)
	m.tables = append(m.tables, posting.NewTable(name, m.now, posting.Limits{Records: modelRecordLimit, ResponseBytes: 20}))
}

func (m *tableModel) current() *posting.Table { return m.tables[len(m.tables)-1] }

// begin sends a request with an id of any instance to a table, usually to the
// table of the running instance.
func (m *tableModel) begin(t *rapid.T) {
	req := posting.Request{
		ID: posting.ID{
			Instance: rapid.SampledFrom(m.instances).Draw(t, "instance"),
			Epoch:    rapid.Uint64Range(0, m.current().Epoch(m.now)+1).Draw(t, "epoch"),
			Suffix:   rapid.SampledFrom([]string{"1", "2"}).Draw(t, "suffix"),
		},
		Customer: rapid.SampledFrom([]string{"farm", "barn"}).Draw(t, "customer"),
	}
	table := m.current()
	if rapid.IntRange(0, 4).Draw(t, "stopped") == 0 {
		table = rapid.SampledFrom(m.tables).Draw(t, "table")
	}
	result := table.Begin(req, m.now)
	switch result.Decision {
	case posting.DecisionRun:
		if m.mayHaveRun[req] || m.running[req] != nil {
			t.Fatalf("%v runs a second time", req)
		}
		m.running[req] = result.Run
		m.dispatches[req]++
	case posting.DecisionDone:
		if !m.mayHaveRun[req] {
			t.Fatalf("%v is reported as ended but never ran", req)
		}
	case posting.DecisionFutureEpoch, posting.DecisionTableFull, posting.DecisionClosed:
		if m.mayHaveRun[req] || m.running[req] != nil {
			t.Fatalf("%v is reported as not-run (%d) but may have run", req, result.Decision)
		}
	}
}

// end ends one running posting with a random outcome.
func (m *tableModel) end(t *rapid.T) {
	for req, run := range m.running {
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			run.FinishNotRun()
		case 1:
			m.mayHaveRun[req] = true
			run.Finish(posting.StateRan, newResponse("ok"))
		case 2:
			m.mayHaveRun[req] = true
			run.Finish(posting.StateUnknown, nil)
		}
		delete(m.running, req)
		return
	}
}

// stopInstance transfers the records of the running instance to a new instance.
// Postings that are still running are aborted at the shutdown timeout and may have
// run.
func (m *tableModel) stopInstance(t *rapid.T) {
	if len(m.instances) > 4 {
		return
	}
	for req := range m.running {
		m.mayHaveRun[req] = true
	}
	m.running = map[posting.Request]*posting.Run{}
	stopped := m.current()
	transfers := stopped.Seal(m.now)
	m.startInstance()
	for _, transfer := range transfers {
		if !m.current().Import(transfer, m.now) {
			t.Fatalf("the records of %s were not imported", transfer.Instance)
		}
	}
}

func (m *tableModel) passTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
}

func (m *tableModel) check(t *rapid.T) {
	if records, bytes := m.current().Size(); records > modelRecordLimit || bytes > 20 {
		t.Fatalf("limits exceeded: %d records, %d bytes", records, bytes)
	}
}

// Callers retry at any time, postings end with any outcome, instances are stopped
// and transfer their records, and time passes. A posting must never run again
// after it may have run, and a posting that is reported as not-run must not have
// run.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel()
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "end": m.end, "stop": m.stopInstance, "pass": m.passTime, "": m.check,
		})
	})
}
