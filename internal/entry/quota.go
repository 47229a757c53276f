package entry

import (
	"context"
	"time"

	"balsambarrow/internal/quota"
	"balsambarrow/internal/wire"
)

// maxQuotaWait bounds the wait for a token: a few round trips between the
// farthest regions.
const maxQuotaWait = 250 * time.Millisecond

func (s *Server) takeQuota(ctx context.Context, call *wire.Call) *wire.Problem {
	name := quota.CustomerQuota(call.Customer)
	limit := min(maxQuotaWait, time.Until(call.Deadline))
	start := time.Now()
	for {
		ok, wait := s.Ledger.Take(name, 1, time.Now())
		if ok {
			return nil
		}
		if wait < 0 {
			wait = time.Second
		}
		if time.Since(start)+wait > limit {
			return wire.Refuse(wire.TypeOverRate, "the customer's rate is used up", wait)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return wire.Refuse(wire.TypeDeadline, "given up while waiting for the customer's rate", wait)
		}
	}
}
