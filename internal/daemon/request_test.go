package daemon_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/wire"
)

// Guards against a request that fails because its entry zone has no upstream of the
// service. It must be relayed to the handler in another region, and its response
// must be the same as there. The upstream must not receive the API key.
func TestRequestIsRelayedToAZoneWithUpstreams(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	g.Eventually(func() reply { return f.call("vt-1", http.MethodGet, "lookup/animal/7?size=1000", "secret", nil) }, settleTimeout).
		Should(And(HaveField("Outcome", wire.OutcomeRan), HaveField("Body", HaveLen(1000))))
	stats := f.upstreams["lookup-1"].Stats()
	g.Expect(stats.KeysSeen).To(BeZero())
	g.Expect(stats.Customer).To(HaveKey("farm"))
}

// Guards against forwarding requests that must be rejected: each must get its status
// and problem type with the outcome not-run, and none may reach the upstream.
func TestRejections(t *testing.T) {
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", fastUpstream)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	for name, tc := range map[string]struct {
		path, key string
		header    map[string]string
		want      string
		status    int
	}{
		"unknown key":     {path: "lookup/x", key: "guess", want: wire.TypeUnknownKey, status: 401},
		"unknown service": {path: "nothing/x", key: "secret", want: wire.TypeUnknownService, status: 404},
		"no upstream":     {path: "posting/x", key: "secret", want: wire.TypeNoRoom, status: 503},
		"invalid timeout": {path: "lookup/x", key: "secret", header: map[string]string{wire.HeaderTimeoutMs: "soon"}, want: wire.TypeBadRequest, status: 400},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := f.call("vt-1", http.MethodGet, tc.path, tc.key, tc.header)
			g.Expect(r.Status).To(Equal(tc.status))
			g.Expect(r.Problem.Type).To(Equal(tc.want))
			g.Expect(r.Problem.Outcome).To(Equal(wire.OutcomeNotRun))
		})
	}
	g := NewWithT(t)
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(BeZero())
}

// Guards against overwriting another operator's change. Two operators read version
// 1; the first changes a rate, and the second submits a different change based on
// version 1. The second change must be rejected with the current version and the
// conflicting path, and no part of it may be applied.
func TestStaleBaseIsRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", twoRegionConfig())
	client := ctl.NewClient(f.daemons["vt-1"].OperatorsAddress())
	_, err := client.Patch(1, []byte(`{"customers":{"farm":{"rate":500}}}`))
	g.Expect(err).NotTo(HaveOccurred())

	_, err = client.Patch(1, []byte(`{"customers":{"farm":{"rate":9,"burst":9}}}`))
	var rejected *ctl.APIError
	g.Expect(errors.As(err, &rejected)).To(BeTrue())
	g.Expect(rejected.Status).To(Equal(http.StatusConflict))
	g.Expect(rejected.Failure.CurrentVersion).To(Equal(uint64(2)))
	g.Expect(rejected.Failure.Conflicts).To(Equal([]string{"/customers/farm/rate"}))
	now, err := client.Config()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Version).To(Equal(uint64(2)))
	g.Expect(string(now.Document)).To(ContainSubstring(`"rate":500`))
}
