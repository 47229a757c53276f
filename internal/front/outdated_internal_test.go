package front

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/traffic"
)

// Guards against keys that are accepted, and routes that are denied, for good by an outdated version.
func TestOutdatedConfigurationAcceptsNoKeysForLong(t *testing.T) {
	const keyMaxAge = 3600 * time.Millisecond
	known := time.Unix(1000, 0)
	c, err := catalog.New(catalog.Declaration{
		Version: 1, RequiresKeys: true,
		Services:  []catalog.Service{{Name: "s"}},
		Customers: []catalog.Customer{{Name: "t", Keys: []string{"k"}}},
		Routes: []catalog.Route{
			{Name: "keyed", Host: "x", Prefix: "/keyed/", Kind: catalog.KindSafe, Services: []catalog.WeightedService{{Service: "s", Weight: 1}}},
			{Name: "open", Host: "x", Prefix: "/open/", Kind: catalog.KindSafe, Public: true, Services: []catalog.WeightedService{{Service: "s", Weight: 1}}},
		},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, r := range map[string]struct {
		path     string
		after    time.Duration
		outdated bool
		want     Cause
	}{
		"key in time":         {"/keyed/1", keyMaxAge, true, ""},
		"key too late":        {"/keyed/1", keyMaxAge + 1, true, CauseKeysStale},
		"key, up to date":     {"/keyed/1", time.Minute, false, ""},
		"public route":        {"/open/1", time.Minute, true, ""},
		"no route in time":    {"/none/1", denyMaxAge, true, CauseNoRoute},
		"no route too late":   {"/none/1", denyMaxAge + 1, true, CauseConfigurationStale},
		"no route up to date": {"/none/1", time.Minute, false, CauseNoRoute},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := known.Add(r.after)
			state := &State{Catalog: c, ConfirmedAt: now}
			if r.outdated {
				state.OutdatedSince = known
			}
			h := New(Deps{Now: func() time.Time { return now }, State: func() *State { return state }, Bounds: func() Bounds { return Bounds{KeyMaxAge: keyMaxAge} }})
			q := &request{Request: traffic.Request{APIKey: "k"}, http: httptest.NewRequest("GET", r.path, nil), arrived: now}
			q.http.Host = "x"
			refused := h.authorize(state, q)
			if r.want == "" {
				g.Expect(refused).To(BeNil())
				g.Expect(h.revalidateKey(q)).To(BeNil())
				return
			}
			g.Expect(refused).NotTo(BeNil())
			g.Expect(refused.cause).To(Equal(r.want))
		})
	}
}
