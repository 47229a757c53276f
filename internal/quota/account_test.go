package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// pair is a hub that has borrowed the whole share of a lender.
func pair(g *WithT) (hub, lender *Account) {
	whole := Share{Rate: 10, Burst: 20}
	hub = NewAccount("q", whole.times(0.1), whole, 2, start)
	lender = NewAccount("q", whole.times(0.9), whole, 18, start)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", LoanSources: []string{"lender"}})
	lender.SetFleetState(FleetState{Self: "lender", Hub: "hub"})
	out := hub.Plan(start)
	g.Expect(out).To(HaveLen(1))
	grant, _ := lender.Lend(out[0].Request, start)
	hub.ApplyGrant(out[0].Request.Loan, grant, out[0].SentAt, start)
	g.Expect(hub.Level(start)).To(Equal(20.0))
	g.Expect(lender.Level(start)).To(BeZero())
	return hub, lender
}

// A hub is frozen for longer than its loans' terms. When it runs again it
// still has twenty tokens in memory, which its lender has earned anew. The
// first take must find the loan gone.
func TestPausedBorrowerHasLostTheLoanAtItsNextTake(t *testing.T) {
	g := NewWithT(t)
	hub, lender := pair(g)
	later := start.Add(ShareLoanTerm + time.Second)
	lender.ServeQueue(later)
	g.Expect(lender.Level(later)).To(BeNumerically("~", 8.1, 0.01))
	spent := 0
	for _, a := range []*Account{hub, lender} {
		for ok := true; ok; {
			if ok, _ = a.Take(1, later); ok {
				spent++
			}
		}
	}
	g.Expect(spent).To(BeNumerically("<=", 20))
}

// A hub lends tokens to a peer shortly before the loan that they stand on
// ends. The first lender has its capacity again while the peer still spends:
// the two would exceed the burst. The hub must not lend past that end.
func TestTokensAreNotLentPastTheLoanTheyStandOn(t *testing.T) {
	g := NewWithT(t)
	hub, _ := pair(g)
	near := start.Add(ShareLoanTerm - minTokenTerm)
	grant, _ := hub.Lend(LoanRequest{Quota: "q", Borrower: "peer", Loan: 1, Tokens: 5}, near)
	g.Expect(grant.Tokens).To(BeZero())
	grant, _ = hub.Lend(LoanRequest{Quota: "q", Borrower: "peer", Loan: 2, Tokens: 2}, near)
	g.Expect(grant.Tokens).To(Equal(2.0), "the hub's own capacity holds these")
}

// A lender's lease lapses while it is cut off from the store but not from the
// hub, and a zone peer takes its slot over. Were the hub's loan renewed on and
// on, hub and peer would both spend that slot's part for good.
func TestLoanOfALostSlotIsNotRenewed(t *testing.T) {
	g := NewWithT(t)
	hub, lender := pair(g)
	lender.SetShares(Share{}, Share{Rate: 10, Burst: 20}, start)
	renewal := hub.Plan(start.Add(ShareLoanRenewal))
	g.Expect(renewal).To(HaveLen(1))
	grant, _ := lender.Lend(renewal[0].Request, start.Add(ShareLoanRenewal))
	g.Expect(grant).To(Equal(Grant{}))
	hub.ApplyGrant(renewal[0].Request.Loan, grant, renewal[0].SentAt, start.Add(ShareLoanRenewal))
	g.Expect(hub.Level(start.Add(Quarantine))).To(BeNumerically("<=", 2))
}

// The hub moves to another daemon just after the old one lent tokens out of
// borrowed capacity. Were that capacity given back at once, the lender and
// the peer would both spend it.
func TestHubKeepsALoanThatItsPeersTokensStandOn(t *testing.T) {
	g := NewWithT(t)
	hub, _ := pair(g)
	grant, _ := hub.Lend(LoanRequest{Quota: "q", Borrower: "peer", Loan: 1, Tokens: 5}, start)
	g.Expect(grant.Tokens).To(Equal(5.0))
	hub.SetFleetState(FleetState{Self: "hub", Hub: "peer"})
	for _, out := range hub.Plan(start.Add(time.Millisecond)) {
		g.Expect(out.Request.ClosedLoans).To(BeEmpty())
	}
	closed := 0
	for _, out := range hub.Plan(start.Add(TokenLoanTerm + 2*ExpiryMargin)) {
		closed += len(out.Request.ClosedLoans)
	}
	g.Expect(closed).To(Equal(1), "given back once the peer's loan has ended")
}

// A customer over its whole rate comes back exactly when it was told to. The
// fleet has room then, so it must be served.
func TestRetryAfterIsTrue(t *testing.T) {
	g := NewWithT(t)
	hub, _ := pair(g)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", Demand: 50})
	var told time.Duration
	for ok := true; ok; {
		ok, _ = hub.Take(1, start)
	}
	_, told = hub.JoinQueue(1, time.Second, start)
	g.Expect(told).To(BeNumerically("~", 100*time.Millisecond, time.Microsecond))
	ok, _ := hub.Take(1, start.Add(told))
	g.Expect(ok).To(BeTrue())
}

func BenchmarkTake(b *testing.B) {
	l := ledgerOf(b, twoZones(1e9, 1e9))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Take(CustomerQuota("farm"), 1, time.Now())
		}
	})
}
