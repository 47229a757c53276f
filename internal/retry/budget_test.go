package retry

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Every upstream of a service fails. Each request would be tried again at two
// upstreams of three handlers, six times the load, for as long as it lasts.
func TestRetriesDoNotAmplifyAnOutage(t *testing.T) {
	g := NewWithT(t)
	budgets := NewBudgets()
	tries := 0
	const requests = 10_000
	for range requests {
		budgets.RecordRequest("lookup")
		tries++
		for range 5 {
			if !budgets.AllowRetry("lookup") {
				break
			}
			tries++
		}
	}
	g.Expect(float64(tries) / requests).To(BeNumerically("<=", 1.11))
	g.Expect(budgets.AllowRetry("report")).To(BeTrue(), "another service has a budget of its own")
}

// One upstream of twenty fails until it is ejected. All its requests must be
// tried again: callers must not notice.
func TestOneFailingUpstreamFitsTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	for n := range 1000 {
		b.RecordRequest()
		if n%20 == 0 {
			g.Expect(b.AllowRetry()).To(BeTrue())
		}
	}
}
