package entry

import (
	"context"
	"time"

	"balsambarrow/internal/quota"
	"balsambarrow/internal/wire"
)

// defaultRetryAfter is the Retry-After time if the quota cannot estimate when a
// token will be available. After this time, the quota shares of the daemons have
// converged.
const defaultRetryAfter = time.Second

// takeQuota takes one token of the customer's quota. If no token is available,
// the request is queued in order of arrival for at most quota.MaxWait and not past
// its deadline. A request that cannot get a token in time is rejected
// immediately.
func (s *Server) takeQuota(ctx context.Context, call *wire.Call) *wire.Problem {
	name := quota.CustomerQuota(call.Customer)
	if ok, _ := s.Ledger.Take(name, 1, time.Now()); ok {
		return nil
	}
	ticket, delay := s.Ledger.JoinQueue(name, 1, time.Until(call.Deadline), time.Now())
	if ticket == nil {
		return overRateProblem(delay)
	}
	if s.Ledger.Await(ctx, name, ticket) {
		return nil
	}
	if ctx.Err() != nil {
		return wire.NotRunProblem(wire.TypeDeadline, "given up while waiting for the customer's rate", delay)
	}
	_, delay = s.Ledger.ExpectedWait(name, 1, time.Now())
	return overRateProblem(delay)
}

func overRateProblem(retryAfter time.Duration) *wire.Problem {
	if retryAfter < 0 {
		retryAfter = defaultRetryAfter
	}
	return wire.NotRunProblem(wire.TypeOverRate, "the customer's rate is used up", max(retryAfter, time.Millisecond))
}
