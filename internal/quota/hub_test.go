package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A customer's callers move to another entry host, which takes itself for the
// hub. Its own share is still lent to the earlier hub, which has not heard of
// the change and refuses it a share. Callers inside their rate must be served
// all the same, with tokens of the earlier hub.
func TestNewHubTakesTokensFromTheEarlierOne(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	half, whole := Share{Rate: 50, Burst: 20}, Share{Rate: 100, Burst: 40}
	earlier := NewAccount("customer/farm", half, whole, 20, now)
	newer := NewAccount("customer/farm", half, whole, 20, now)
	earlier.SetFleetState(FleetState{Self: "earlier", Hub: "earlier", LoanSources: []string{"newer"}, Demand: 40})
	newer.SetFleetState(FleetState{Self: "newer", Hub: "earlier", LoanSources: []string{"earlier"}, Demand: 40})
	exchange(earlier, newer, now)
	ok, _ := newer.Take(1, now)
	g.Expect(ok).To(BeFalse(), "the share is lent")

	newer.SetFleetState(FleetState{Self: "newer", Hub: "newer", LoanSources: []string{"earlier"}, Demand: 40})
	ticket, _ := newer.JoinQueue(1, time.Second, now)
	g.Expect(ticket).NotTo(BeNil())
	exchange(newer, earlier, now)
	g.Expect(ticket.Done()).To(BeClosed())
	g.Expect(ticket.state).To(Equal(ticketServed))
}

// A daemon whose share is lent to the hub begins its planned stop. Callers that
// keep their connection go on asking it and are inside their rate. They must be
// served with the hub's tokens, while the hub's loan of the share is let run out.
func TestLeavingDaemonServesWithTokensOfTheHub(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	half, whole := Share{Rate: 50, Burst: 20}, Share{Rate: 100, Burst: 40}
	hub := NewAccount("customer/farm", half, whole, 20, now)
	leaving := NewAccount("customer/farm", half, whole, 20, now)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", LoanSources: []string{"leaving"}, Demand: 40})
	leaving.SetFleetState(FleetState{Self: "leaving", Hub: "hub", LoanSources: []string{"hub"}, Demand: 40})
	exchange(hub, leaving, now)
	g.Expect(leaving.Level(now)).To(BeZero(), "the share is lent")

	leaving.SetFleetState(FleetState{Self: "leaving", Hub: "hub", Leaving: true, Demand: 40})
	for passed := time.Duration(0); passed < ShareLoanTerm; passed += 100 * time.Millisecond {
		at := now.Add(passed)
		exchange(hub, leaving, at)
		served, _ := leaving.Take(1, at)
		if !served {
			ticket, _ := leaving.JoinQueue(1, MaxWait, at)
			g.Expect(ticket).NotTo(BeNil(), passed.String())
			exchange(leaving, hub, at)
			g.Expect(ticket.state).To(Equal(ticketServed), passed.String())
		}
	}
	leaving.ServeQueue(now.Add(ShareLoanTerm + 2*ExpiryMargin))
	g.Expect(leaving.lender.loans).To(BeEmpty(), "the hub's loan was not extended")
}

// exchange sends what an account plans, all of it to a peer, and brings the
// answers back at once.
func exchange(from, to *Account, now time.Time) {
	for _, out := range from.Plan(now) {
		grant, _ := to.Lend(out.Request, now)
		from.ApplyGrant(out.Request.Loan, grant, out.SentAt, now)
	}
}
