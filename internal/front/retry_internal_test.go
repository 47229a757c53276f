package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/retry"
)

// retryHandler is a handler with a retry budget for twelve requests.
func retryHandler(now func() time.Time) *Handler {
	h := &Handler{latencies: newLatencies(), Deps: Deps{
		State: func() *State { return &State{} }, RetryBudget: retry.NewWindowBudget(retryWindow, 0.2), Now: now, ObserveRetry: func(RetryDecision) {}, Log: noLog{},
	}}
	for range 12 {
		h.RetryBudget.RecordRequest(now(), "s")
	}
	return h
}

const retryWindow = 10 * time.Second

// failedRequest returns a request that one upstream has received.
func failedRequest(deadline time.Time) *request {
	return &request{
		service: "s", state: &State{}, body: &body{}, route: &catalog.Route{Name: "read", Kind: catalog.KindSafe, MaxAttempts: 2},
		deadline: deadline, attempts: attempts{sends: 1},
	}
}

// Guards against a retry that cannot be answered in time, as far as recent answers show.
func TestRetryNeedsTheTimeOfTheFastestAnswer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	h := retryHandler(func() time.Time { return now })
	within := func(left time.Duration) RetryDecision {
		return h.decideRetry(failedRequest(now.Add(left)), outcomeFailed, 0)
	}
	g.Expect(within(retry.MinTime - 1)).To(Equal(RetryNoTime))
	g.Expect(within(retry.MinTime)).To(Equal(RetryAllowed))
	h.latencies.attemptAnswered(now, "read", 80*time.Millisecond)
	g.Expect(within(80*time.Millisecond - 1)).To(Equal(RetryNoTime))
	g.Expect(within(80 * time.Millisecond)).To(Equal(RetryAllowed))
	g.Expect(h.decideRetry(failedRequest(now), outcomeUnsent, 1)).To(Equal(RetryNoTime))
}

// Guards against retries that wait for room and arrive in a window that does not count them.
func TestRetryIsCountedWhenItIsSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	h := retryHandler(func() time.Time { return now })
	failed := func() *request { return failedRequest(now.Add(time.Minute)) }
	waiting := []*request{failed(), failed(), failed()}
	for _, q := range waiting {
		g.Expect(h.decideRetry(q, outcomeFailed, 0)).To(Equal(RetryAllowed))
	}
	now = now.Add(retryWindow / 2)
	g.Expect(h.allowSend(waiting[0])).To(BeTrue())
	g.Expect(h.allowSend(waiting[1])).To(BeTrue())
	g.Expect(h.allowSend(waiting[2])).To(BeFalse(), "the budget is exhausted when it is to be sent")
	g.Expect(h.decideRetry(failed(), outcomeFailed, 0)).To(Equal(RetryNoBudget))
	g.Expect(h.allowSend(&request{service: "s"})).To(BeTrue(), "no upstream has received it yet")
	now = now.Add(retryWindow)
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
