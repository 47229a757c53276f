package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/retry"
)

// All upstreams of a service shed requests, and ten hosts with varying load retry
// each request as often as the budget allows. In no interval of ten seconds may the
// retries of all hosts exceed the ratio plus the slack.
func TestWindowBudgetLimitsRetriesOfAllHosts(t *testing.T) {
	g := NewWithT(t)
	const hosts, ratio, slack = 10, 0.2, 60.0
	rng := rand.New(rand.NewPCG(1, 2))
	var budgets []*retry.WindowBudget
	now := time.Unix(1000, 0)
	for range hosts {
		w := retry.NewWindowBudget(now, 10*time.Second, ratio)
		w.SetSlack(slack, hosts)
		budgets = append(budgets, w)
	}
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for range 8000 {
		now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
		if now.Unix()%13 == 0 {
			now = now.Add(700 * time.Millisecond)
		}
		w := budgets[rng.IntN(hosts)]
		w.RecordRequest(now, "s")
		events = append(events, event{now, false})
		for range 3 {
			if w.AllowRetry(now, "s") {
				events = append(events, event{now, true})
			}
		}
	}
	oldest, requests, retries := 0, 0.0, 0.0
	for _, e := range events {
		if e.retry {
			retries++
		} else {
			requests++
		}
		for e.at.Sub(events[oldest].at) > 10*time.Second {
			if events[oldest].retry {
				retries--
			} else {
				requests--
			}
			oldest++
		}
		g.Expect(retries).To(BeNumerically("<=", requests*ratio+slack))
	}
}

// Requests and retries count only as long as they are within the window.
func TestWindowBudgetDropsOldRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := retry.NewWindowBudget(now, 10*time.Second, 0.2)
	g.Expect(w.AllowRetry(now, "s")).To(BeFalse(), "there are no requests and no slack")
	for range 10 {
		w.RecordRequest(now, "s")
	}
	g.Expect(w.AllowRetry(now, "s")).To(BeTrue())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "s")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "other")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(12*time.Second), "s")).To(BeFalse(), "the requests are outside the window, too")
}
