package retry_test

import (
	"fmt"
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
		w := retry.NewWindowBudget(10*time.Second, ratio)
		w.SetShare(now, retry.Share{Slack: slack, Hosts: hosts, CountedUntil: now.Add(time.Hour), Unused: true})
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

// simulatedFleet is a fleet of hosts that retry a service as often as their budgets allow.
type simulatedFleet struct {
	hosts  []*retry.WindowBudget
	events []budgetEvent
}

// budgetEvent is the arrival of a request or of a retry.
type budgetEvent struct {
	at    time.Time
	retry bool
}

const (
	simulatedWindow = 10 * time.Second
	simulatedRatio  = 0.2
	simulatedSlack  = 60.0
)

// start starts or restarts a host that knows the number of hosts of the fleet.
func (f *simulatedFleet) start(now time.Time, host, hosts int, first bool) {
	w := retry.NewWindowBudget(simulatedWindow, simulatedRatio)
	w.SetShare(now, retry.Share{Slack: simulatedSlack, Hosts: hosts, CountedUntil: now.Add(time.Hour), Unused: first})
	f.hosts[host] = w
}

// request sends a request through a host, and up to three retries.
func (f *simulatedFleet) request(now time.Time, host int) {
	f.hosts[host].RecordRequest(now, "s")
	f.events = append(f.events, budgetEvent{now, false})
	for range 3 {
		if f.hosts[host].AllowRetry(now, "s") {
			f.events = append(f.events, budgetEvent{now, true})
		}
	}
}

// excess returns by how much the retries of a window exceed the budget of the fleet, at most.
func (f *simulatedFleet) excess() float64 {
	most, oldest, requests, retries := 0.0, 0, 0.0, 0.0
	for _, e := range f.events {
		if e.retry {
			retries++
		} else {
			requests++
		}
		for ; e.at.Sub(f.events[oldest].at) > simulatedWindow; oldest++ {
			if f.events[oldest].retry {
				retries--
			} else {
				requests--
			}
		}
		most = max(most, retries-requests*simulatedRatio-simulatedSlack)
	}
	return most
}

// Guards against retries beyond the budget of the fleet because each restart of the hosts grants the slack again.
func TestRestartsDoNotRenewTheSlack(t *testing.T) {
	for restarts := range 5 {
		t.Run(fmt.Sprint(restarts, " restarts"), func(t *testing.T) {
			g := NewWithT(t)
			const hosts = 10
			f := &simulatedFleet{hosts: make([]*retry.WindowBudget, hosts)}
			now := time.Unix(1000, 0)
			for h := range hosts {
				f.start(now, h, hosts, true)
			}
			for step := range 3000 {
				now = now.Add(10 * time.Millisecond)
				if step >= 1500 && step%250 == 0 && step < 1500+restarts*250 {
					for h := range hosts {
						f.start(now, h, hosts, false)
					}
				}
				if step%3 == 0 {
					f.request(now, step/3%hosts)
				}
			}
			g.Expect(f.excess()).To(BeZero())
		})
	}
}

// Guards against parts of the slack that grow or are used again while others may have used them within the window.
func TestPartOfTheSlackNeedsAFullWindow(t *testing.T) {
	g := NewWithT(t)
	w := retry.NewWindowBudget(10*time.Second, 0.2)
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	set := func(now float64, hosts int, countedUntil float64) {
		w.SetShare(at(now), retry.Share{Slack: 100, Hosts: hosts, CountedUntil: at(countedUntil)})
	}
	part := func(now float64) float64 { return w.State(at(now), "s").Slack }
	g.Expect(part(0)).To(BeZero())
	set(0, 10, 30)
	g.Expect(part(10)).To(BeZero(), "a predecessor may have used it")
	g.Expect(part(11)).To(BeNumerically("~", 7))
	set(12, 5, 30)
	g.Expect(part(22)).To(BeNumerically("~", 7), "ten hosts were known within the window")
	g.Expect(part(23)).To(BeNumerically("~", 14))
	set(24, 20, 30)
	g.Expect(part(24)).To(BeNumerically("~", 3.5))
	g.Expect(part(30)).To(BeZero(), "the others may not count this host any more")
	set(31, 20, 60)
	g.Expect(part(41)).To(BeZero())
	g.Expect(part(42)).To(BeNumerically("~", 3.5))
	w.SetShare(at(43), retry.Share{Slack: 100, Hosts: 20, CountedUntil: at(60), Unused: true})
	g.Expect(part(43)).To(BeNumerically("~", 3.5))
	w.SetShare(at(61), retry.Share{Slack: 100, Hosts: 20, CountedUntil: at(90), Unused: true})
	g.Expect(part(71)).To(BeZero(), "the others may have taken the part over")
	g.Expect(part(72)).To(BeNumerically("~", 3.5))
}

// Requests and retries count only as long as they are within the window.
func TestWindowBudgetDropsOldRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := retry.NewWindowBudget(10*time.Second, 0.2)
	g.Expect(w.AllowRetry(now, "s")).To(BeFalse(), "there are no requests and no slack")
	for range 10 {
		w.RecordRequest(now, "s")
	}
	g.Expect(w.AllowRetry(now, "s")).To(BeTrue())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "s")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(5*time.Second), "other")).To(BeFalse())
	g.Expect(w.AllowRetry(now.Add(12*time.Second), "s")).To(BeFalse(), "the requests are outside the window, too")
}
