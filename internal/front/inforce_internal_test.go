package front

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/retry"
)

// Guards against a second attempt, or a promise, by the kind of a version that is not in force any more.
func TestKindIsThatOfBothVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	version := func(kinds map[string]catalog.Kind) *State {
		d := catalog.Declaration{Services: []catalog.Service{{Name: "s"}}}
		for prefix, kind := range kinds {
			d.Routes = append(d.Routes, catalog.Route{
				Name: prefix, Host: "x", Prefix: prefix, Kind: kind, Services: []catalog.WeightedService{{Service: "s", Weight: 1}},
			})
		}
		c, err := catalog.New(d)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return &State{Catalog: c, ConfirmedAt: now}
	}
	const safe, unsafe = catalog.KindSafe, catalog.KindUnsafe
	for name, test := range map[string]struct {
		before, after map[string]catalog.Kind
		want          bool
	}{
		"safe":                    {map[string]catalog.Kind{"/r/": safe}, map[string]catalog.Kind{"/r/": safe}, true},
		"becomes unsafe":          {map[string]catalog.Kind{"/r/": safe}, map[string]catalog.Kind{"/r/": unsafe}, false},
		"becomes safe":            {map[string]catalog.Kind{"/r/": unsafe}, map[string]catalog.Kind{"/r/": safe}, false},
		"unsafe part added":       {map[string]catalog.Kind{"/r/": safe}, map[string]catalog.Kind{"/r/": safe, "/r/p/": unsafe}, false},
		"another part added":      {map[string]catalog.Kind{"/r/": safe}, map[string]catalog.Kind{"/r/": safe, "/r/q/": unsafe}, true},
		"safe part removed":       {map[string]catalog.Kind{"/r/": unsafe, "/r/p/": safe}, map[string]catalog.Kind{"/r/": unsafe}, false},
		"safe route removed":      {map[string]catalog.Kind{"/r/": safe}, nil, true},
		"a download becomes safe": {map[string]catalog.Kind{"/r/": catalog.KindDownload}, map[string]catalog.Kind{"/r/": safe}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			state := version(test.before)
			h := New(Deps{Now: func() time.Time { return now }, State: func() *State { return state }, Bounds: func() Bounds { return Bounds{} }, Log: noLog{},
				RetryBudget: retry.NewWindowBudget(retryWindow, 1), ObserveRetry: func(RetryDecision) {}})
			q := &request{http: httptest.NewRequest("POST", "/r/p/1", nil), arrived: now, body: &body{}}
			q.http.Host = "x"
			g.Expect(h.authorize(state, q)).To(BeNil())
			state = version(test.after)
			g.Expect(h.idempotent(q)).To(Equal(test.want))
			q.attempts.execution = MayHaveRun
			g.Expect(h.allowSend(q)).To(Equal(test.want), "after it has waited for room")
		})
	}
}
