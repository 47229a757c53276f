package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// newHubAndSource returns a hub that has borrowed the entire share of the only
// other daemon, and that daemon.
func newHubAndSource(g *WithT) (hub, source *Account) {
	total := Share{Rate: 10, Burst: 20}
	hub = NewAccount("q", total.times(0.1), total, 2, start)
	source = NewAccount("q", total.times(0.9), total, 18, start)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", LoanSources: []string{"source"}})
	source.SetFleetState(FleetState{Self: "source", Hub: "hub"})
	out := hub.Plan(start)
	g.Expect(out).To(HaveLen(1))
	grant, _ := source.Lend(out[0].Request, start)
	hub.ApplyGrant(out[0].Request.Loan, grant, out[0].SentAt, start)
	g.Expect(hub.Level(start)).To(Equal(20.0))
	g.Expect(source.Level(start)).To(BeZero())
	return hub, source
}

// A hub is paused for longer than the terms of its loans. When it resumes, it
// still holds twenty tokens in memory, which the source of the loan has
// accrued again. The first Take must drop the expired loan.
func TestPausedBorrowerDropsExpiredLoan(t *testing.T) {
	g := NewWithT(t)
	hub, source := newHubAndSource(g)
	later := start.Add(ShareLoanTerm + time.Second)
	source.ServeQueue(later)
	g.Expect(source.Level(later)).To(BeNumerically("~", 8.1, 0.01))
	spent := 0
	for _, a := range []*Account{hub, source} {
		for ok := true; ok; {
			if ok, _ = a.Take(1, later); ok {
				spent++
			}
		}
	}
	g.Expect(spent).To(BeNumerically("<=", 20))
}

// A hub lends tokens to a peer shortly before the share loan that backs them
// expires. If the tokens outlived that loan, the source would have its
// capacity again while the peer still spends, and the two would exceed the
// burst. The hub must not lend tokens beyond that expiry.
func TestTokenLoanEndsBeforeShareLoanUnderIt(t *testing.T) {
	g := NewWithT(t)
	hub, _ := newHubAndSource(g)
	nearExpiry := start.Add(ShareLoanTerm - minTokenLoanTerm)
	grant, _ := hub.Lend(LoanRequest{Quota: "q", Borrower: "peer", Loan: 1, Tokens: 5}, nearExpiry)
	g.Expect(grant.Tokens).To(BeZero())
	grant, _ = hub.Lend(LoanRequest{Quota: "q", Borrower: "peer", Loan: 2, Tokens: 2}, nearExpiry)
	g.Expect(grant.Tokens).To(Equal(2.0), "the hub's own capacity backs these tokens")
}

// The lease of a daemon expires while the daemon cannot reach the store but
// can reach the hub, and another daemon of its zone acquires its slot. If the
// hub's loan were renewed again and again, the hub and the new holder would
// both spend the share of that slot permanently.
func TestShareLoanOfLostSlotIsNotRenewed(t *testing.T) {
	g := NewWithT(t)
	hub, source := newHubAndSource(g)
	source.SetShares(Share{}, Share{Rate: 10, Burst: 20}, start)
	renewal := hub.Plan(start.Add(ShareLoanRenewal))
	g.Expect(renewal).To(HaveLen(1))
	grant, _ := source.Lend(renewal[0].Request, start.Add(ShareLoanRenewal))
	g.Expect(grant).To(Equal(Grant{}))
	hub.ApplyGrant(renewal[0].Request.Loan, grant, renewal[0].SentAt, start.Add(ShareLoanRenewal))
	g.Expect(hub.Level(start.Add(Quarantine))).To(BeNumerically("<=", 2))
}

// Another daemon becomes the hub just after the previous hub lent tokens from
// borrowed capacity. If the previous hub returned that capacity at once, its
// source and the peer would both spend it.
func TestHubKeepsShareLoanUnderTokenLoans(t *testing.T) {
	g := NewWithT(t)
	hub, _ := newHubAndSource(g)
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
	g.Expect(closed).To(Equal(1), "the loan is closed once the peer's loan has ended")
}

// A customer above its total rate retries exactly after the time that it was
// given. The fleet has a token by then, so the request must be served.
func TestRetryAfterIsSufficient(t *testing.T) {
	g := NewWithT(t)
	hub, _ := newHubAndSource(g)
	hub.SetFleetState(FleetState{Self: "hub", Hub: "hub", Demand: 50})
	var retryAfter time.Duration
	for ok := true; ok; {
		ok, _ = hub.Take(1, start)
	}
	_, retryAfter = hub.JoinQueue(1, time.Second, start)
	g.Expect(retryAfter).To(BeNumerically("~", 100*time.Millisecond, time.Microsecond))
	ok, _ := hub.Take(1, start.Add(retryAfter))
	g.Expect(ok).To(BeTrue())
}

func BenchmarkTake(b *testing.B) {
	l := newTestLedger(b, twoZones(1e9, 1e9))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Take(CustomerQuota("farm"), 1, time.Now())
		}
	})
}
