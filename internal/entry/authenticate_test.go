package entry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/entry"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/steer"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// recorder stands in for the handler and counts what reaches it.
type recorder struct{ calls int }

func (r *recorder) Run(context.Context, *wire.Call) (*wire.Response, *wire.Problem) {
	r.calls++
	return nil, wire.NotRunProblem(wire.TypeNoRoom, "recorded", 0)
}

// onRead runs a function when the request's body is read, which is after its
// key was looked up.
type onRead struct{ do func() }

func (o onRead) Read([]byte) (int, error) {
	o.do()
	return 0, io.EOF
}

func snapshot(c *config.Config, version uint64) *view.Snapshot {
	self := membership.Member{
		Instance: "vt-1-x", Host: "vt-1", Zone: "vt-a", State: membership.StateReady,
		Headroom: map[string]membership.Headroom{"lookup": {Free: 1, Limit: 1}},
	}
	active, ready := config.NewActive(version, c), []membership.Member{self}
	return &view.Snapshot{
		Self: self, Ready: ready, Config: active,
		Steer:       steer.NewBuilder("vt-a").Build(active, ready, upstream.Assign(active.Config, ready), time.Now()),
		PublishedAt: time.Now(), ConfigVerified: true, ConfirmedAt: time.Now(),
	}
}

func configOf(keys map[string]config.Key) *config.Config {
	return &config.Config{
		Regions:   map[string]config.Region{"vermont": {}},
		Zones:     map[string]config.Zone{"vt-a": {Region: "vermont", Slots: 1, Weight: 1}},
		Services:  map[string]config.Service{"lookup": {TimeoutMs: 1000}},
		Customers: map[string]config.Customer{"farm": {Rate: 10, Burst: 10, Keys: keys}},
	}
}

// A key is withdrawn between a request's admission and its dispatch, which may
// lie a wait for the customer's rate apart. A host that was just resumed from
// a pause has a configuration of unknown age. Both must refuse, and no handler
// may be asked.
func TestRefusedBeforeDispatch(t *testing.T) {
	key := map[string]config.Key{"k1": {SHA256: config.DigestOf("secret").String()}}
	for name, tc := range map[string]struct {
		before func(*view.Snapshot)
		during func(*view.Publisher)
		want   string
		calls  int
	}{
		"key in force": {want: wire.TypeNoRoom, calls: 1},
		"withdrawn after admission": {
			during: func(p *view.Publisher) { p.Store(snapshot(configOf(nil), 2)) }, want: wire.TypeUnknownKey,
		},
		"moved to another customer after admission": {
			during: func(p *view.Publisher) {
				c := configOf(nil)
				c.Customers["other"] = config.Customer{Keys: key}
				p.Store(snapshot(c, 2))
			}, want: wire.TypeUnknownKey,
		},
		"paused": {
			before: func(s *view.Snapshot) { s.PublishedAt = time.Now().Add(-2 * view.MaxAge) }, want: wire.TypeNoConfiguration,
		},
		"resumed and not caught up": {
			before: func(s *view.Snapshot) { s.ConfigVerified = false }, want: wire.TypeNoConfiguration,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var published view.Publisher
			snap := snapshot(configOf(key), 1)
			if tc.before != nil {
				tc.before(snap)
			}
			published.Store(snap)
			ledger := quota.NewLedger()
			ledger.Fence.Extend(time.Now().Add(time.Hour))
			ledger.SetHeldSlots(&quota.HeldSlots{Zone: "vt-a", Slots: []int{0}, Versions: []*config.Active{snap.Config}}, time.Now().Add(-time.Minute))
			tracing, err := telemetry.NewTracing("")
			g.Expect(err).NotTo(HaveOccurred())
			handler := &recorder{}
			server := entry.New(entry.Deps{
				View: &published, Ledger: ledger, LocalHandler: handler, MaxBodyBytes: 1 << 20,
				Tracer: tracing.Tracer, Log: telemetry.NewLogger(t.Output(), "info"),
			})
			body := onRead{func() {
				if tc.during != nil {
					tc.during(&published)
				}
			}}
			req := httptest.NewRequest(http.MethodGet, "/svc/lookup/x", body)
			req.Header.Set("Authorization", "Bearer secret")
			answer := httptest.NewRecorder()
			server.ServeHTTP(answer, req)
			g.Expect(answer.Body.String()).To(ContainSubstring(`"type":"` + tc.want + `"`))
			g.Expect(answer.Body.String()).To(ContainSubstring(`"outcome":"not-run"`))
			g.Expect(handler.calls).To(Equal(tc.calls))
		})
	}
}
