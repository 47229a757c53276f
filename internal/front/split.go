package front

import (
	"sync"

	"balsambarrow/internal/catalog"
)

// splitter distributes the requests of a route over its services by weight. It
// uses weighted round robin, which keeps each share exact to within one request
// for any number of requests; a random choice deviates by several percent. It is
// safe for concurrent use.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the weighted round-robin state of one route.
type roundRobin struct {
	services []catalog.WeightedService
	// credit of a service is the number of requests, in units of weight, by which
	// the service is behind its share.
	credit []float64
}

func newSplitter() *splitter { return &splitter{routes: map[string]*roundRobin{}} }

// service returns the service for the next request of the route.
func (s *splitter) service(r *catalog.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rr := s.routes[r.Name]
	if rr == nil || !equalServices(rr.services, r.Services) {
		rr = &roundRobin{services: r.Services, credit: make([]float64, len(r.Services))}
		s.routes[r.Name] = rr
	}
	return rr.next()
}

// next performs one step of smooth weighted round robin: the credit of each service
// grows by its weight, the service with the most credit is chosen, and its credit is
// reduced by the sum of all weights.
func (rr *roundRobin) next() string {
	best, sum := 0, 0.0
	for i, p := range rr.services {
		rr.credit[i] += p.Weight
		sum += p.Weight
		if rr.credit[i] > rr.credit[best] {
			best = i
		}
	}
	rr.credit[best] -= sum
	return rr.services[best].Service
}

func equalServices(a, b []catalog.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
