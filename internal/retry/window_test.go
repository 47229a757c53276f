package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/retry"
)

// All upstreams of a service shed, and each request is tried again as often as
// the budget allows, at ten hosts whose load changes. In no span of ten seconds
// may the tries again of all hosts exceed the ratio and the slack.
func TestWindowBoundsTheFleet(t *testing.T) {
	g := NewWithT(t)
	const hosts, ratio, slack = 10, 0.2, 60.0
	rng := rand.New(rand.NewPCG(1, 2))
	var windows []*retry.WindowBudget
	for range hosts {
		w := retry.NewWindowBudget(10*time.Second, ratio)
		w.SetSlack(slack, hosts)
		windows = append(windows, w)
	}
	type event struct {
		at    time.Time
		again bool
	}
	var events []event
	now := time.Unix(1000, 0)
	for range 8000 {
		now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
		if now.Unix()%13 == 0 {
			now = now.Add(700 * time.Millisecond)
		}
		w := windows[rng.IntN(hosts)]
		w.RecordRequest(now, "s")
		events = append(events, event{now, false})
		for range 3 {
			if w.AllowRetry(now, "s") {
				events = append(events, event{now, true})
			}
		}
	}
	from, first, again := 0, 0.0, 0.0
	for _, e := range events {
		if e.again {
			again++
		} else {
			first++
		}
		for e.at.Sub(events[from].at) > 10*time.Second {
			if events[from].again {
				again--
			} else {
				first--
			}
			from++
		}
		g.Expect(again).To(BeNumerically("<=", first*ratio+slack))
	}
}

func TestWindowForgets(t *testing.T) {
	g := NewWithT(t)
	w := retry.NewWindowBudget(10*time.Second, 0.2)
	now := time.Unix(1000, 0)
	g.Expect(w.AllowRetry(now, "s")).To(BeFalse(), "no request, no slack")
	for range 10 {
		w.RecordRequest(now, "s")
	}
	g.Expect(w.AllowRetry(now, "s")).To(BeTrue())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "s")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "other")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(12*time.Second), "s")).To(BeFalse(), "the requests are forgotten too")
}
