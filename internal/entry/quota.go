package entry

import (
	"context"
	"time"

	"balsambarrow/internal/quota"
	"balsambarrow/internal/wire"
)

// unknownRetry is told where no time is known at which the quota has room:
// after it the daemon's shares have settled.
const unknownRetry = time.Second

// takeQuota spends one request of the customer's quota. A request that finds
// no token waits in the order of coming for at most quota.MaxWait and never
// past its deadline; one for which no token can be there in time is refused
// at once.
func (s *Server) takeQuota(ctx context.Context, call *wire.Call) *wire.Problem {
	name := quota.CustomerQuota(call.Customer)
	if ok, _ := s.Ledger.Take(name, 1, time.Now()); ok {
		return nil
	}
	ticket, wait := s.Ledger.JoinQueue(name, 1, time.Until(call.Deadline), time.Now())
	if ticket == nil {
		return overRate(wait)
	}
	if s.Ledger.Await(ctx, name, ticket) {
		return nil
	}
	if ctx.Err() != nil {
		return wire.NotRunProblem(wire.TypeDeadline, "given up while waiting for the customer's rate", wait)
	}
	_, wait = s.Ledger.ExpectedWait(name, 1, time.Now())
	return overRate(wait)
}

func overRate(wait time.Duration) *wire.Problem {
	if wait < 0 {
		wait = unknownRetry
	}
	return wire.NotRunProblem(wire.TypeOverRate, "the customer's rate is used up", max(wait, time.Millisecond))
}
