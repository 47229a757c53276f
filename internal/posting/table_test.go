package posting_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/posting"
)

var start = time.Now()

func newTable() *posting.Table {
	return posting.NewTable("vt-1-ab", start, posting.Limits{Records: 8, ResponseBytes: 64})
}

func asking(own, customer string, epoch uint64, digest byte) posting.Request {
	return posting.Request{
		ID:       posting.ID{Instance: "vt-1-ab", Epoch: epoch, Suffix: own},
		Customer: customer, Digest: posting.Digest{digest},
	}
}

func answer(body string) *posting.Response {
	return &posting.Response{Status: 201, Header: http.Header{}, Body: []byte(body)}
}

// A farmer's phone sends a weight, hears nothing, and sends it again: while the
// first runs it must wait, afterwards it must get the first one's answer.
func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	first := table.Begin(asking("w1", "farm", 0, 1), start)
	g.Expect(first.Decision).To(Equal(posting.DecisionRun))
	second := table.Begin(asking("w1", "farm", 0, 1), start)
	g.Expect(second.Decision).To(Equal(posting.DecisionWait))
	first.Run.Finish(posting.StateRan, answer("ok"))
	g.Expect(second.Done).To(BeClosed())
	third := table.Begin(asking("w1", "farm", 0, 1), start)
	g.Expect(third.Decision).To(Equal(posting.DecisionDone))
	g.Expect(string(third.Response.Body)).To(Equal("ok"))
}

// What each kind of asking finds. None but the first may run.
func TestVerdicts(t *testing.T) {
	later := start.Add(4 * posting.EpochLength)
	for name, c := range map[string]struct {
		req  posting.Request
		now  time.Time
		want posting.Decision
	}{
		"another request, same id":   {asking("w1", "farm", 0, 2), start, posting.DecisionIDReused},
		"another customer's own id":  {asking("w1", "barn", 0, 2), start, posting.DecisionRun},
		"forgotten epoch":            {asking("w1", "farm", 0, 1), later, posting.DecisionStaleEpoch},
		"clock that went back":       {asking("w1", "farm", 1, 1), start.Add(-time.Hour), posting.DecisionFutureEpoch},
		"prefix not given out":       {asking("w1", "farm", 7, 1), start, posting.DecisionFutureEpoch},
		"another instance's":         {posting.Request{ID: posting.ID{Instance: "me-1"}}, start, posting.DecisionOtherInstance},
		"oldest epoch still in mind": {asking("w1", "farm", 0, 1), start.Add(posting.RetainedEpochs * posting.EpochLength), posting.DecisionDone},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable()
			table.Begin(asking("w1", "farm", 0, 1), start).Run.Finish(posting.StateRan, answer("ok"))
			found := table.Begin(c.req, c.now)
			g.Expect(found.Decision).To(Equal(c.want))
			if c.want != posting.DecisionDone {
				g.Expect(found.Response).To(BeNil())
			}
		})
	}
}

// The time given to the table goes back after an epoch was forgotten (a paused
// thread used an old reading). The forgotten id must not run again.
func TestForgottenEpochStaysForgotten(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Begin(asking("w1", "farm", 0, 1), start).Run.Finish(posting.StateRan, nil)
	g.Expect(table.Epoch(start.Add(9 * posting.EpochLength))).To(Equal(uint64(9)))
	g.Expect(table.Begin(asking("w1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionStaleEpoch))
}

// A customer posts more than can be remembered. New ids are refused with the
// time at which there is room; nothing that is remembered is given up for them.
func TestFullTableRefusesNewIDs(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for _, own := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		table.Begin(asking(own, "farm", 0, 1), start).Run.Finish(posting.StateRan, answer("0123456789"))
	}
	records, bytes := table.Size()
	g.Expect(records).To(Equal(8))
	g.Expect(bytes).To(BeNumerically("<=", 64))
	g.Expect(table.Begin(asking("8", "farm", 0, 1), start).Response.Dropped).To(BeTrue())

	full := table.Begin(asking("9", "farm", 0, 1), start)
	g.Expect(full.Decision).To(Equal(posting.DecisionTableFull))
	g.Expect(table.Begin(asking("1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionDone))
	then := start.Add(full.RetryAfter)
	g.Expect(table.Begin(asking("9", "farm", 3, 1), then).Decision).To(Equal(posting.DecisionRun))
	records, bytes = table.Size()
	g.Expect(records).To(Equal(1))
	g.Expect(bytes).To(BeZero())
}

// A host is stopped as planned while one posting still runs. The peer that
// takes its memory over must know how the ended ones ended, must not call the
// running one not-run, and must run nothing itself.
func TestHandoverKeepsOutcomesAndRunsNothing(t *testing.T) {
	g := NewWithT(t)
	old := newTable()
	old.Begin(asking("ended", "farm", 0, 1), start).Run.Finish(posting.StateRan, answer("ok"))
	running := old.Begin(asking("running", "farm", 0, 1), start)
	all := old.Seal(start)
	g.Expect(old.Begin(asking("new", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionClosed))
	running.Run.FinishNotRun()

	next := posting.NewTable("vt-2-cd", start, posting.DefaultLimits())
	g.Expect(next.Import(all[0], start)).To(BeTrue())
	g.Expect(next.ImportedInstances(start)).To(Equal([]string{"vt-1-ab"}))
	ended := next.Begin(asking("ended", "farm", 0, 1), start)
	g.Expect(ended.Decision).To(Equal(posting.DecisionDone))
	g.Expect(string(ended.Response.Body)).To(Equal("ok"))
	g.Expect(next.Begin(asking("running", "farm", 0, 1), start).State).To(Equal(posting.StateUnknown))
	g.Expect(next.Begin(asking("new", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionClosed))

	third := posting.NewTable("vt-3-ef", start, posting.DefaultLimits())
	for _, h := range next.Seal(start) {
		g.Expect(third.Import(h, start)).To(BeTrue())
	}
	g.Expect(third.ImportedInstances(start)).To(Equal([]string{"vt-1-ab", "vt-2-cd"}))
	g.Expect(third.Begin(asking("ended", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionDone))
	g.Expect(third.ImportedInstances(start.Add(4 * posting.EpochLength))).To(BeEmpty())
}

// A successor without room for the whole table must take none of it: a part
// would call the rest not-run.
func TestHandoverIsWholeOrNot(t *testing.T) {
	g := NewWithT(t)
	old := newTable()
	for _, own := range []string{"1", "2", "3"} {
		old.Begin(asking(own, "farm", 0, 1), start).Run.Finish(posting.StateRan, nil)
	}
	small := posting.NewTable("vt-2-cd", start, posting.Limits{Records: 2})
	g.Expect(small.Import(old.Seal(start)[0], start)).To(BeFalse())
	g.Expect(small.Begin(asking("1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionOtherInstance))
}
