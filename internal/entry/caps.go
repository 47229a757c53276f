package entry

import (
	"time"

	"balsambarrow/internal/steer"
	"balsambarrow/internal/wire"
)

// takeCapTokens takes the cost of a request to the target from the quotas that
// cap its shift, drain and link. It takes either all costs or none. It does not
// wait for a quota that is used up: the request goes to another target that can
// run it now.
func (s *Server) takeCapTokens(t *steer.Target, now time.Time) bool {
	costs := capCosts(t)
	for i, c := range costs {
		if ok, _ := s.Ledger.Take(c.quota, c.cost, now); !ok {
			s.refund(costs[:i], now)
			return false
		}
	}
	return true
}

// refundCapTokens returns the tokens of a request that certainly did not run at
// the target.
func (s *Server) refundCapTokens(t *steer.Target, now time.Time) { s.refund(capCosts(t), now) }

// capCost is the cost of a request in one quota.
type capCost struct {
	quota string
	cost  float64
}

// capCosts returns the costs of a request to the target in all quotas that cap it.
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

// steerRequest returns the properties of a call that determine its targets. The
// hash key is the path, which names one object, such as an animal, a family or a
// canteen.
func steerRequest(call *wire.Call) steer.Request {
	return steer.Request{
		Service: call.Service, Customer: call.Customer, HashKey: call.Path,
		SizeBytes: float64(max(call.Body.Length(), 0)) + requestHeaderBytes,
	}
}

// requestHeaderBytes is the assumed size of the request line and headers.
const requestHeaderBytes = 1024
