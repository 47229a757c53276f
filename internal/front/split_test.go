package front

import (
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
)

// An operator sends a tenth of the requests of a route to a new service. The
// shares must be exact from the first requests on, also after the weights change.
func TestSplitterKeepsWeights(t *testing.T) {
	g := NewWithT(t)
	s := newSplitter()
	route := &catalog.Route{Name: "r", Services: []catalog.WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	count := func(n int) map[string]int {
		got := map[string]int{}
		for range n {
			got[s.service(route)]++
		}
		return got
	}
	g.Expect(count(20)).To(Equal(map[string]int{"old": 18, "new": 2}))
	route = &catalog.Route{Name: "r", Services: []catalog.WeightedService{{Service: "old", Weight: 1}, {Service: "new", Weight: 3}}}
	g.Expect(count(40)).To(Equal(map[string]int{"old": 10, "new": 30}))
	single := &catalog.Route{Name: "one", Services: []catalog.WeightedService{{Service: "only"}}}
	g.Expect(s.service(single)).To(Equal("only"))
}
