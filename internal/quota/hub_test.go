package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The callers of a customer move to another entry host, which becomes the hub.
// Its own share is still lent to the previous hub, which does not know of the
// change yet and refuses to lend a share. Callers within their rate must still
// be served, with tokens borrowed from the previous hub.
func TestNewHubBorrowsFromPreviousHub(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	half, total := Share{Rate: 50, Burst: 20}, Share{Rate: 100, Burst: 40}
	previous := NewAccount("customer/farm", half, total, 20, now)
	current := NewAccount("customer/farm", half, total, 20, now)
	previous.SetFleetState(FleetState{Self: "earlier", Hub: "earlier", LoanSources: []string{"newer"}, Demand: 40})
	current.SetFleetState(FleetState{Self: "newer", Hub: "earlier", LoanSources: []string{"earlier"}, Demand: 40})
	exchangeLoans(previous, current, now)
	ok, _ := current.Take(1, now)
	g.Expect(ok).To(BeFalse(), "the share is lent")

	current.SetFleetState(FleetState{Self: "newer", Hub: "newer", LoanSources: []string{"earlier"}, Demand: 40})
	ticket, _ := current.JoinQueue(1, time.Second, now)
	g.Expect(ticket).NotTo(BeNil())
	exchangeLoans(current, previous, now)
	g.Expect(ticket.Done()).To(BeClosed())
	g.Expect(ticket.state).To(Equal(ticketServed))
}

// A daemon whose share is lent to the hub begins its planned stop. Callers
// that keep their connections still send requests to it and are within their
// rate. They must be served with tokens of the hub, while the hub's loan of
// the share expires.
func TestLeavingDaemonServesWithHubTokens(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	half, total := Share{Rate: 50, Burst: 20}, Share{Rate: 100, Burst: 40}
	hub := NewAccount("customer/farm", half, total, 20, now)
	leaving := NewAccount("customer/farm", half, total, 20, now)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", LoanSources: []string{"leaving"}, Demand: 40})
	leaving.SetFleetState(FleetState{Self: "leaving", Hub: "hub", LoanSources: []string{"hub"}, Demand: 40})
	exchangeLoans(hub, leaving, now)
	g.Expect(leaving.Level(now)).To(BeZero(), "the share is lent")

	leaving.SetFleetState(FleetState{Self: "leaving", Hub: "hub", Leaving: true, Demand: 40})
	for elapsed := time.Duration(0); elapsed < ShareLoanTerm; elapsed += 100 * time.Millisecond {
		at := now.Add(elapsed)
		exchangeLoans(hub, leaving, at)
		served, _ := leaving.Take(1, at)
		if !served {
			ticket, _ := leaving.JoinQueue(1, MaxWait, at)
			g.Expect(ticket).NotTo(BeNil(), elapsed.String())
			exchangeLoans(leaving, hub, at)
			g.Expect(ticket.state).To(Equal(ticketServed), elapsed.String())
		}
	}
	leaving.ServeQueue(now.Add(ShareLoanTerm + 2*ExpiryMargin))
	g.Expect(leaving.lent.loans).To(BeEmpty(), "the hub's loan was not extended")
}

// exchangeLoans sends all requests that an account plans to one peer and
// applies the responses at once.
func exchangeLoans(from, to *Account, now time.Time) {
	for _, out := range from.Plan(now) {
		grant, _ := to.Lend(out.Request, now)
		from.ApplyGrant(out.Request.Loan, grant, out.SentAt, now)
	}
}
