package front

import (
	"sync"

	"balsambarrow/internal/catalog"
)

// splitter deals requests of a route out to its parts by weight. Each part gets
// its share exactly, to within one request, however few requests there are; a
// random choice would miss it by several in a hundred. It is safe for
// concurrent use.
type splitter struct {
	mu     sync.Mutex
	routes map[string]*deal
}

// deal is how far the parts of one route are behind their shares.
type deal struct {
	parts  []catalog.WeightedService
	credit []float64
}

func newSplitter() *splitter { return &splitter{routes: map[string]*deal{}} }

// service picks the part whose turn it is.
func (s *splitter) service(r *catalog.Route) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routes[r.Name]
	if d == nil || !same(d.parts, r.Services) {
		d = &deal{parts: r.Services, credit: make([]float64, len(r.Services))}
		s.routes[r.Name] = d
	}
	return d.next()
}

// next is smooth weighted round robin: every part earns its weight, and the one
// with the most pays the sum.
func (d *deal) next() string {
	best, sum := 0, 0.0
	for i, p := range d.parts {
		d.credit[i] += p.Weight
		sum += p.Weight
		if d.credit[i] > d.credit[best] {
			best = i
		}
	}
	d.credit[best] -= sum
	return d.parts[best].Service
}

func same(a, b []catalog.WeightedService) bool {
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
