package front

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/traffic"
)

// Guards against a request that runs where it may not, because its regions changed while it waited.
func TestWaitingRequestRunsInTheRegionsOfTheVersionInForce(t *testing.T) {
	now := time.Unix(1000, 0)
	version := func(route, customer []string) *State {
		c, err := catalog.New(catalog.Declaration{
			RequiresKeys: true,
			Services:     []catalog.Service{{Name: "s"}},
			Customers:    []catalog.Customer{{Name: "t", Keys: []string{"k"}, Regions: customer}},
			Routes: []catalog.Route{{
				Name: "r", Host: "x", Prefix: "/r/", Kind: catalog.KindSafe, Regions: route, Services: []catalog.WeightedService{{Service: "s", Weight: 1}},
			}},
		})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return &State{Catalog: c, ConfirmedAt: now}
	}
	none, err := catalog.New(catalog.Declaration{RequiresKeys: true})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	a, b := []string{"a"}, []string{"b"}
	for name, test := range map[string]struct {
		before, after *State
		want          []string
	}{
		"no change":            {version(a, nil), version(a, nil), a},
		"the route moves":      {version(a, nil), version(b, nil), b},
		"the customer moves":   {version(nil, a), version(nil, b), b},
		"a restriction begins": {version(nil, nil), version(b, nil), b},
		"a restriction ends":   {version(a, nil), version(nil, nil), nil},
		"the route is removed": {version(a, nil), &State{Catalog: none, ConfirmedAt: now}, a},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			state := test.before
			h := New(Deps{Now: func() time.Time { return now }, State: func() *State { return state }, Bounds: func() Bounds { return Bounds{} }})
			q := &request{Request: traffic.Request{APIKey: "k"}, http: httptest.NewRequest("GET", "/r/1", nil), arrived: now, body: &body{}}
			q.http.Host = "x"
			g.Expect(h.authorize(state, q)).To(BeNil())
			state = test.after
			query := h.placementQuery(q)
			g.Expect(query.RegionRestricted).To(Equal(test.want != nil))
			g.Expect(query.AllowedRegions).To(Equal(test.want))
		})
	}
}
