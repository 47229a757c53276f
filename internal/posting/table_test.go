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

func newRequest(suffix, customer string, epoch uint64, digest byte) posting.Request {
	return posting.Request{
		ID:       posting.ID{Instance: "vt-1-ab", Epoch: epoch, Suffix: suffix},
		Customer: customer, Digest: posting.Digest{digest},
	}
}

func newResponse(body string) *posting.Response {
	return &posting.Response{Status: 201, Header: http.Header{}, Body: []byte(body)}
}

// A caller receives no response to a posting and retries it. While the first
// request runs, the retry must wait; afterwards it must receive the response to
// the first request.
func TestRepeatedRequestGetsFirstResponse(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	first := table.Begin(newRequest("w1", "farm", 0, 1), start)
	g.Expect(first.Decision).To(Equal(posting.DecisionRun))
	second := table.Begin(newRequest("w1", "farm", 0, 1), start)
	g.Expect(second.Decision).To(Equal(posting.DecisionWait))
	first.Run.Finish(posting.StateRan, newResponse("ok"))
	g.Expect(second.Done).To(BeClosed())
	third := table.Begin(newRequest("w1", "farm", 0, 1), start)
	g.Expect(third.Decision).To(Equal(posting.DecisionDone))
	g.Expect(string(third.Response.Body)).To(Equal("ok"))
}

// A request whose id was used before, or whose epoch is not current, must get the
// decision that its id requires. Only new ids may run.
func TestDecisions(t *testing.T) {
	later := start.Add(4 * posting.EpochLength)
	for name, c := range map[string]struct {
		request posting.Request
		now     time.Time
		want    posting.Decision
	}{
		"another request, same id":  {newRequest("w1", "farm", 0, 2), start, posting.DecisionIDReused},
		"same id, another customer": {newRequest("w1", "barn", 0, 2), start, posting.DecisionRun},
		"expired epoch":             {newRequest("w1", "farm", 0, 1), later, posting.DecisionStaleEpoch},
		"clock that moved backward": {newRequest("w1", "farm", 1, 1), start.Add(-time.Hour), posting.DecisionFutureEpoch},
		"prefix not issued":         {newRequest("w1", "farm", 7, 1), start, posting.DecisionFutureEpoch},
		"another instance":          {posting.Request{ID: posting.ID{Instance: "me-1"}}, start, posting.DecisionOtherInstance},
		"oldest retained epoch":     {newRequest("w1", "farm", 0, 1), start.Add(posting.RetainedEpochs * posting.EpochLength), posting.DecisionDone},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable()
			table.Begin(newRequest("w1", "farm", 0, 1), start).Run.Finish(posting.StateRan, newResponse("ok"))
			result := table.Begin(c.request, c.now)
			g.Expect(result.Decision).To(Equal(c.want))
			if c.want != posting.DecisionDone {
				g.Expect(result.Response).To(BeNil())
			}
		})
	}
}

// The time passed to the table moves backward after an epoch has expired, because
// a paused thread uses an old clock reading. The ids of the expired epoch must not
// run again.
func TestExpiredEpochStaysExpired(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Begin(newRequest("w1", "farm", 0, 1), start).Run.Finish(posting.StateRan, nil)
	g.Expect(table.Epoch(start.Add(9 * posting.EpochLength))).To(Equal(uint64(9)))
	g.Expect(table.Begin(newRequest("w1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionStaleEpoch))
}

// A customer sends more postings than the table can hold. The table must reject
// new ids with the time until it has room, and must not remove records for them.
func TestFullTableRejectsNewIDs(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for _, suffix := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		table.Begin(newRequest(suffix, "farm", 0, 1), start).Run.Finish(posting.StateRan, newResponse("0123456789"))
	}
	records, bytes := table.Size()
	g.Expect(records).To(Equal(8))
	g.Expect(bytes).To(BeNumerically("<=", 64))
	g.Expect(table.Begin(newRequest("8", "farm", 0, 1), start).Response.Dropped).To(BeTrue())

	full := table.Begin(newRequest("9", "farm", 0, 1), start)
	g.Expect(full.Decision).To(Equal(posting.DecisionTableFull))
	g.Expect(table.Begin(newRequest("1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionDone))
	afterExpiry := start.Add(full.RetryAfter)
	g.Expect(table.Begin(newRequest("9", "farm", 3, 1), afterExpiry).Decision).To(Equal(posting.DecisionRun))
	records, bytes = table.Size()
	g.Expect(records).To(Equal(1))
	g.Expect(bytes).To(BeZero())
}

// A host is stopped as planned while one posting is still running. The peer that
// imports its records must know the outcomes of the postings that have ended, must
// not report the running posting as not-run, and must not run any of them.
func TestImportKeepsOutcomesAndRunsNothing(t *testing.T) {
	g := NewWithT(t)
	stopped := newTable()
	stopped.Begin(newRequest("ended", "farm", 0, 1), start).Run.Finish(posting.StateRan, newResponse("ok"))
	running := stopped.Begin(newRequest("running", "farm", 0, 1), start)
	transfers := stopped.Seal(start)
	g.Expect(stopped.Begin(newRequest("new", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionClosed))
	running.Run.FinishNotRun()

	next := posting.NewTable("vt-2-cd", start, posting.DefaultLimits())
	g.Expect(next.Import(transfers[0], start)).To(BeTrue())
	g.Expect(next.ImportedInstances(start)).To(Equal([]string{"vt-1-ab"}))
	ended := next.Begin(newRequest("ended", "farm", 0, 1), start)
	g.Expect(ended.Decision).To(Equal(posting.DecisionDone))
	g.Expect(string(ended.Response.Body)).To(Equal("ok"))
	g.Expect(next.Begin(newRequest("running", "farm", 0, 1), start).State).To(Equal(posting.StateUnknown))
	g.Expect(next.Begin(newRequest("new", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionClosed))

	third := posting.NewTable("vt-3-ef", start, posting.DefaultLimits())
	for _, transfer := range next.Seal(start) {
		g.Expect(third.Import(transfer, start)).To(BeTrue())
	}
	g.Expect(third.ImportedInstances(start)).To(Equal([]string{"vt-1-ab", "vt-2-cd"}))
	g.Expect(third.Begin(newRequest("ended", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionDone))
	g.Expect(third.ImportedInstances(start.Add(4 * posting.EpochLength))).To(BeEmpty())
}

// A successor without room for all records must import none of them. With a part
// of the records, it would report the missing postings as not-run.
func TestImportIsAllOrNothing(t *testing.T) {
	g := NewWithT(t)
	stopped := newTable()
	for _, suffix := range []string{"1", "2", "3"} {
		stopped.Begin(newRequest(suffix, "farm", 0, 1), start).Run.Finish(posting.StateRan, nil)
	}
	small := posting.NewTable("vt-2-cd", start, posting.Limits{Records: 2})
	g.Expect(small.Import(stopped.Seal(start)[0], start)).To(BeFalse())
	g.Expect(small.Begin(newRequest("1", "farm", 0, 1), start).Decision).To(Equal(posting.DecisionOtherInstance))
}
