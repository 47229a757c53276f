package daemon_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/wire"
)

// A farmer's request enters in a zone that has no upstream of the service. It
// must be relayed to the daemon that handles one, in another region, and be
// answered as if it had entered there; the upstream never sees the key.
func TestRequestIsRelayedToAZoneWithUpstreams(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", quick)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")

	g.Eventually(func() reply { return f.call("vt-1", http.MethodGet, "lookup/animal/7?size=1000", "secret", nil) }, settle).
		Should(And(HaveField("Outcome", wire.OutcomeRan), HaveField("Body", HaveLen(1000))))
	stats := f.upstreams["lookup-1"].Stats()
	g.Expect(stats.KeysSeen).To(BeZero())
	g.Expect(stats.Customer).To(HaveKey("farm"))
}

func TestRefusals(t *testing.T) {
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "vt-a", quick)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	for name, tc := range map[string]struct {
		path, key string
		header    map[string]string
		want      string
		status    int
	}{
		"unknown key":        {path: "lookup/x", key: "guess", want: wire.TypeUnknownKey, status: 401},
		"unknown service":    {path: "nothing/x", key: "secret", want: wire.TypeUnknownService, status: 404},
		"no upstream":        {path: "posting/x", key: "secret", want: wire.TypeNoRoom, status: 503},
		"broken time budget": {path: "lookup/x", key: "secret", header: map[string]string{wire.HeaderTimeoutMs: "soon"}, want: wire.TypeBadRequest, status: 400},
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

// Two operators read version 1. The first changes a rate; the second submits
// another change built on version 1. It must be refused with the current
// version and the path both wrote, and nothing of it may take effect.
func TestStaleBaseIsRefused(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.apply("vt-1", twoRegions())
	client := ctl.NewClient(f.daemons["vt-1"].OperatorsAddress())
	_, err := client.Patch(1, []byte(`{"customers":{"farm":{"rate":500}}}`))
	g.Expect(err).NotTo(HaveOccurred())

	_, err = client.Patch(1, []byte(`{"customers":{"farm":{"rate":9,"burst":9}}}`))
	var refused *ctl.APIError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Status).To(Equal(http.StatusConflict))
	g.Expect(refused.Failure.CurrentVersion).To(Equal(uint64(2)))
	g.Expect(refused.Failure.Conflicts).To(Equal([]string{"/customers/farm/rate"}))
	now, err := client.Config()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(now.Version).To(Equal(uint64(2)))
	g.Expect(string(now.Document)).To(ContainSubstring(`"rate":500`))
}
