package daemon_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/relay"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/wire"
)

const (
	withdrawKeyPatch = `{"customers":{"farm":{"keys":{"k1":null}}}}`
	allowed          = "allowed"
)

// startTwoZones starts a daemon in each of two regions, and a "lookup" upstream in
// the region maine.
func startTwoZones(t *testing.T, o standin.UpstreamOptions) *fleet {
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", o)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.g.Eventually(f.outcome("vt-1", "secret"), settleTimeout).Should(Equal(allowed))
	return f
}

// outcome returns "allowed" or the problem type of the rejection.
func (f *fleet) outcome(host, key string) func() string {
	return func() string {
		r := f.call(host, http.MethodGet, "lookup/animal/7", key, nil)
		if r.Outcome == wire.OutcomeRan {
			return allowed
		}
		return r.Problem.Type
	}
}

// Guards against key changes that reach only some hosts or break open connections.
// An operator adds a key and then withdraws the first one, while callers keep
// connections to both regions. The new key must work and the old one must be
// rejected on all hosts and on the same connections. A response that was streaming
// when its key was withdrawn must arrive completely.
func TestKeysAreAddedAndWithdrawnUnderTraffic(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startTwoZones(t, standin.UpstreamOptions{Slots: 4, ServiceTime: time.Millisecond})
	f.patch("vt-1", `{"customers":{"farm":{"keys":{"k2":{"sha256":"`+config.DigestOf("second").String()+`"}}}}}`)
	for _, host := range []string{"vt-1", "me-1"} {
		g.Eventually(f.outcome(host, "second"), settleTimeout).Should(Equal(allowed))
	}

	const size = 8 << 20
	resp := f.openResponse("vt-1", "lookup/report?size=8388608", "secret")
	_, err := io.ReadFull(resp.Body, make([]byte, 1024))
	g.Expect(err).NotTo(HaveOccurred())
	f.patch("me-1", withdrawKeyPatch)
	for _, host := range []string{"vt-1", "me-1"} {
		g.Eventually(f.outcome(host, "secret"), settleTimeout).Should(Equal(wire.TypeUnknownKey))
		g.Expect(f.outcome(host, "second")()).To(Equal(allowed))
	}
	rest, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rest).To(HaveLen(size - 1024))
	_ = resp.Body.Close()
}

func (f *fleet) openResponse(host, path, key string) *http.Response {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.daemons[host].Identity().CallerAddress+"/svc/"+path, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.client.Do(req)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeRan)))
	return resp
}

// Guards against running a queued request whose key is withdrawn. The only slot of
// the upstream is in use, and a second request waits at the handler when its key
// is withdrawn. The request must be rejected when its turn comes and must not reach
// the upstream.
func TestKeyWithdrawnWhileRelayedRequestIsQueued(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startTwoZones(t, standin.UpstreamOptions{Slots: 1, ServiceTime: 3 * time.Second})
	before := f.upstreams["lookup-1"].Stats().Total
	replies := make(chan reply, 2)
	for range 2 {
		go func() { replies <- f.call("vt-1", http.MethodGet, "lookup/x", "secret", nil) }()
	}
	g.Eventually(func() int {
		m, _ := f.daemons["vt-1"].View().Find(f.daemons["me-1"].Identity().Instance)
		return m.Headroom["lookup"].Queued
	}, settleTimeout, 10*time.Millisecond).Should(Equal(1))
	version := f.patch("vt-1", withdrawKeyPatch)
	g.Eventually(f.configVersion("me-1"), settleTimeout, 10*time.Millisecond).Should(Equal(version))

	types := []string{(<-replies).Problem.Type, (<-replies).Problem.Type}
	g.Expect(types).To(ConsistOf("", wire.TypeUnknownKey))
	g.Expect(f.upstreams["lookup-1"].Stats().Total - before).To(Equal(1))
}

// Guards against a handler that trusts the entry host's key check. The entry host
// does not have the version that withdraws the key yet and relays a request. The
// handler has the version: it must reject the request without calling the upstream.
func TestHandlerRejectsAKeyThatTheEntryHostStillAccepts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startTwoZones(t, fastUpstream)
	before := f.upstreams["lookup-1"].Stats().Total
	version := f.patch("vt-1", withdrawKeyPatch)
	g.Eventually(f.configVersion("me-1"), settleTimeout).Should(Equal(version))
	client := upstream.NewClient(nil)
	t.Cleanup(client.Close)
	_, problem := relay.NewClient(client, "http", "lagging").Send(
		context.Background(), f.daemons["me-1"].Identity().RelayAddress, wire.RoleHandle, &wire.Call{
			Service: "lookup", Path: "/x", Method: http.MethodGet, Header: http.Header{}, Customer: "farm",
			KeyDigest: config.DigestOf("secret").String(), Deadline: time.Now().Add(settleTimeout),
		})
	g.Expect(problem).NotTo(BeNil())
	g.Expect(problem.Type).To(Equal(wire.TypeUnknownKey))
	g.Expect(problem.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(before))
}

// Guards against ignoring a customer's max_staleness_ms. A zone is partitioned from
// everything. Once the limit has passed, the zone must reject the customer and keep
// serving those without a limit. When the zone reaches a peer again, it must serve
// the customer again.
func TestMaxStalenessRejectsInAPartitionedZone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegionConfig()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", fastUpstream)
	c.Customers["strict"] = config.Customer{
		Rate: 1000, Burst: 1000, MaxStalenessMs: config.MinStalenessMs,
		Keys: map[string]config.Key{"k1": {SHA256: config.DigestOf("strict").String()}},
	}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("me-1", "lookup")
	g.Eventually(f.outcome("me-1", "strict"), settleTimeout).Should(Equal(allowed))
	f.network.partition("me-1", "platform")
	f.network.partition("me-1", "vt-1")
	g.Eventually(f.outcome("me-1", "strict"), settleTimeout).Should(Equal(wire.TypeNoConfiguration))
	g.Expect(f.outcome("me-1", "secret")()).To(Equal(allowed))
	f.network.heal("me-1", "vt-1")
	g.Eventually(f.outcome("me-1", "strict"), settleTimeout).Should(Equal(allowed))
}
