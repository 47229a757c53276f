package retry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// All upstreams of a service fail. Without a budget, each request is sent to two
// upstreams of three handlers, which is six times the load for the whole outage.
func TestBudgetLimitsRetriesDuringOutage(t *testing.T) {
	g := NewWithT(t)
	budgets := NewBudgets()
	attempts := 0
	const requests = 10_000
	for range requests {
		budgets.RecordRequest("lookup")
		attempts++
		for range 5 {
			if !budgets.AllowRetry("lookup") {
				break
			}
			attempts++
		}
	}
	g.Expect(float64(attempts) / requests).To(BeNumerically("<=", 1.11))
	g.Expect(budgets.AllowRetry("report")).To(BeTrue(), "each service has its own budget")
}

// One upstream out of twenty fails until it is ejected. The budget must allow a
// retry of each failed request, so that no caller sees an error.
func TestBudgetCoversOneFailingUpstream(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	for n := range 1000 {
		b.RecordRequest()
		if n%20 == 0 {
			g.Expect(b.AllowRetry()).To(BeTrue())
		}
	}
}
