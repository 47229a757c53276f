package entry

import (
	"time"

	"balsambarrow/internal/steer"
	"balsambarrow/internal/wire"
)

// takeCaps takes what a target costs from the caps of its shift, drain and
// link, all or nothing. A cap that is used up is not waited for: the request
// stays where it can run now.
func (s *Server) takeCaps(t *steer.Target, now time.Time) bool {
	costs := capCosts(t)
	for i, c := range costs {
		if ok, _ := s.Ledger.Take(c.quota, c.cost, now); !ok {
			s.refund(costs[:i], now)
			return false
		}
	}
	return true
}

// refundCaps gives back what was taken for a request that certainly did not
// run at the target.
func (s *Server) refundCaps(t *steer.Target, now time.Time) { s.refund(capCosts(t), now) }

type capCost struct {
	quota string
	cost  float64
}

func capCosts(t *steer.Target) []capCost {
	var costs []capCost
	if t.ShiftQuota != "" {
		costs = append(costs, capCost{t.ShiftQuota, 1})
	}
	if t.DrainQuota != "" {
		costs = append(costs, capCost{t.DrainQuota, 1})
	}
	if t.LinkQuota != "" && t.LinkBits > 0 {
		costs = append(costs, capCost{t.LinkQuota, t.LinkBits})
	}
	return costs
}

func (s *Server) refund(costs []capCost, now time.Time) {
	for _, c := range costs {
		s.Ledger.Refund(c.quota, c.cost, now)
	}
}

// steerRequest is what steering needs to know of a call. Its path is the key:
// an animal, a family, a canteen.
func steerRequest(call *wire.Call) steer.Request {
	return steer.Request{
		Service: call.Service, Customer: call.Customer, HashKey: call.Path,
		SizeBytes: float64(max(call.Body.Length(), 0)) + requestOverhead,
	}
}

// requestOverhead stands for a request's line and headers, in bytes.
const requestOverhead = 1024
