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

// countingRunner replaces the handler and counts the calls that it receives.
type countingRunner struct{ calls int }

func (r *countingRunner) Run(context.Context, *wire.Call) (*wire.Response, *wire.Problem) {
	r.calls++
	return nil, wire.NotRunProblem(wire.TypeNoRoom, "recorded", 0)
}

// hookBody is a request body that calls onRead when it is read, which is after the
// lookup of the key.
type hookBody struct{ onRead func() }

func (b hookBody) Read([]byte) (int, error) {
	b.onRead()
	return 0, io.EOF
}

func newSnapshot(c *config.Config, version uint64) *view.Snapshot {
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

func configWithKeys(keys map[string]config.Key) *config.Config {
	return &config.Config{
		Regions:   map[string]config.Region{"vermont": {}},
		Zones:     map[string]config.Zone{"vt-a": {Region: "vermont", Slots: 1, Weight: 1}},
		Services:  map[string]config.Service{"lookup": {TimeoutMs: 1000}},
		Customers: map[string]config.Customer{"farm": {Rate: 10, Burst: 10, Keys: keys}},
	}
}

// A key is withdrawn between the authentication and the dispatch of a request, while
// the request may be queued for its customer's rate. A host that resumes after a
// pause has a configuration of unknown age. In both cases, the host must reject
// the request and must not send it to a handler.
func TestRejectedBeforeDispatch(t *testing.T) {
	key := map[string]config.Key{"k1": {SHA256: config.DigestOf("secret").String()}}
	for name, tc := range map[string]struct {
		beforeRequest       func(*view.Snapshot)
		afterAuthentication func(*view.Publisher)
		wantType            string
		wantCalls           int
	}{
		"valid key": {wantType: wire.TypeNoRoom, wantCalls: 1},
		"withdrawn after authentication": {
			afterAuthentication: func(p *view.Publisher) { p.Store(newSnapshot(configWithKeys(nil), 2)) }, wantType: wire.TypeUnknownKey,
		},
		"moved to another customer after authentication": {
			afterAuthentication: func(p *view.Publisher) {
				c := configWithKeys(nil)
				c.Customers["other"] = config.Customer{Keys: key}
				p.Store(newSnapshot(c, 2))
			}, wantType: wire.TypeUnknownKey,
		},
		"paused": {
			beforeRequest: func(s *view.Snapshot) { s.PublishedAt = time.Now().Add(-2 * view.MaxAge) }, wantType: wire.TypeNoConfiguration,
		},
		"resumed, configuration not verified": {
			beforeRequest: func(s *view.Snapshot) { s.ConfigVerified = false }, wantType: wire.TypeNoConfiguration,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var published view.Publisher
			snap := newSnapshot(configWithKeys(key), 1)
			if tc.beforeRequest != nil {
				tc.beforeRequest(snap)
			}
			published.Store(snap)
			ledger := quota.NewLedger()
			ledger.Fence.Extend(time.Now().Add(time.Hour))
			ledger.SetHeldSlots(&quota.HeldSlots{Zone: "vt-a", Slots: []int{0}, Versions: []*config.Active{snap.Config}}, time.Now().Add(-time.Minute))
			tracing, err := telemetry.NewTracing("")
			g.Expect(err).NotTo(HaveOccurred())
			handler := &countingRunner{}
			server := entry.New(entry.Deps{
				View: &published, Ledger: ledger, LocalHandler: handler, MaxBodyBytes: 1 << 20,
				Tracer: tracing.Tracer, Log: telemetry.NewLogger(t.Output(), "info"),
			})
			body := hookBody{func() {
				if tc.afterAuthentication != nil {
					tc.afterAuthentication(&published)
				}
			}}
			req := httptest.NewRequest(http.MethodGet, "/svc/lookup/x", body)
			req.Header.Set("Authorization", "Bearer secret")
			response := httptest.NewRecorder()
			server.ServeHTTP(response, req)
			g.Expect(response.Body.String()).To(ContainSubstring(`"type":"` + tc.wantType + `"`))
			g.Expect(response.Body.String()).To(ContainSubstring(`"outcome":"not-run"`))
			g.Expect(handler.calls).To(Equal(tc.wantCalls))
		})
	}
}
