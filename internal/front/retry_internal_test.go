package front

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
	"balsambarrow/internal/retry"
)

// Guards against retries that wait for room and arrive in a window that does not count them.
func TestRetryIsCountedWhenItIsSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	const window = 10 * time.Second
	h := &Handler{latencies: newLatencies(), Deps: Deps{
		RetryBudget: retry.NewWindowBudget(window, 0.2), Now: func() time.Time { return now }, ObserveRetry: func(RetryDecision) {}, Log: noLog{},
		Table: place.NewTable(place.Host{Instance: "h", Zone: "a1", Region: "a"}, map[string]string{"a1": "a"}),
	}}
	for range 12 {
		h.RetryBudget.RecordRequest(now, "s")
	}
	failed := func() *request {
		r := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		return &request{
			service: "s", http: r, body: &body{}, route: &catalog.Route{Name: "read", Kind: catalog.KindSafe, MaxAttempts: 2},
			deadline: now.Add(time.Minute), attempts: attempts{sends: 1},
		}
	}
	waiting := []*request{failed(), failed(), failed()}
	for _, q := range waiting {
		g.Expect(h.decideRetry(q, outcomeFailed, 0)).To(Equal(RetryAllowed))
	}
	now = now.Add(window / 2)
	g.Expect(h.allowSend(waiting[0])).To(BeTrue())
	g.Expect(h.allowSend(waiting[1])).To(BeTrue())
	g.Expect(h.allowSend(waiting[2])).To(BeFalse(), "the budget is exhausted when it is to be sent")
	g.Expect(h.decideRetry(failed(), outcomeFailed, 0)).To(Equal(RetryNoBudget))
	g.Expect(h.allowSend(&request{service: "s"})).To(BeTrue(), "no upstream has received it yet")
	now = now.Add(window)
	g.Expect(h.RetryBudget.State(now, "s").Retries).To(Equal(2.0), "they count from when they were sent")
}

// noLog discards all events.
type noLog struct{}

// Debug implements Log.
func (noLog) Debug(string, ...any) {}

// Info implements Log.
func (noLog) Info(string, ...any) {}

// Warn implements Log.
func (noLog) Warn(string, ...any) {}
