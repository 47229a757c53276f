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
	withdraw = `{"customers":{"farm":{"keys":{"k1":null}}}}`
	allowed  = "allowed"
)

// twoZones starts a daemon in each of two regions and one upstream of
// "lookup" in Maine.
func twoZones(t *testing.T, o standin.UpstreamOptions) *fleet {
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", o)
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("vt-1", "lookup")
	f.g.Eventually(f.outcome("vt-1", "secret"), settle).Should(Equal(allowed))
	return f
}

// outcome is "allowed", or the type of the refusal.
func (f *fleet) outcome(host, key string) func() string {
	return func() string {
		r := f.call(host, http.MethodGet, "lookup/animal/7", key, nil)
		if r.Outcome == wire.OutcomeRan {
			return allowed
		}
		return r.Problem.Type
	}
}

// An operator grants a key, then withdraws the first one, while callers hold
// open connections to both regions. The new key must work everywhere, the old
// one must be refused everywhere, on the same connections, and a report that
// was already streaming under it must arrive whole.
func TestKeysAreGrantedAndWithdrawnUnderTraffic(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := twoZones(t, standin.UpstreamOptions{Slots: 4, ServiceTime: time.Millisecond})
	f.patch("vt-1", `{"customers":{"farm":{"keys":{"k2":{"sha256":"`+config.DigestOf("second").String()+`"}}}}}`)
	for _, host := range []string{"vt-1", "me-1"} {
		g.Eventually(f.outcome(host, "second"), settle).Should(Equal(allowed))
	}

	const size = 8 << 20
	resp := f.open("vt-1", "lookup/report?size=8388608", "secret")
	_, err := io.ReadFull(resp.Body, make([]byte, 1024))
	g.Expect(err).NotTo(HaveOccurred())
	f.patch("me-1", withdraw)
	for _, host := range []string{"vt-1", "me-1"} {
		g.Eventually(f.outcome(host, "secret"), settle).Should(Equal(wire.TypeUnknownKey))
		g.Expect(f.outcome(host, "second")()).To(Equal(allowed))
	}
	rest, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rest).To(HaveLen(size - 1024))
	_ = resp.Body.Close()
}

func (f *fleet) open(host, path, key string) *http.Response {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.daemons[host].Identity().CallerAddress+"/svc/"+path, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.client.Do(req)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeRan)))
	return resp
}

// The only slot of the upstream is taken. A second request waits at the
// handler when its key is withdrawn. It must be refused when its turn comes,
// and the upstream must never see it.
func TestKeyWithdrawnWhileARequestWaits(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := twoZones(t, standin.UpstreamOptions{Slots: 1, ServiceTime: 3 * time.Second})
	before := f.upstreams["lookup-1"].Stats().Total
	answers := make(chan reply, 2)
	for range 2 {
		go func() { answers <- f.call("vt-1", http.MethodGet, "lookup/x", "secret", nil) }()
	}
	g.Eventually(func() int {
		m, _ := f.daemons["vt-1"].View().Find(f.daemons["me-1"].Identity().Instance)
		return m.Headroom["lookup"].Queued
	}, settle, 10*time.Millisecond).Should(Equal(1))
	version := f.patch("vt-1", withdraw)
	g.Eventually(f.version("me-1"), settle, 10*time.Millisecond).Should(Equal(version))

	types := []string{(<-answers).Problem.Type, (<-answers).Problem.Type}
	g.Expect(types).To(ConsistOf("", wire.TypeUnknownKey))
	g.Expect(f.upstreams["lookup-1"].Stats().Total - before).To(Equal(1))
}

// An entry host has not heard of a withdrawal yet and passes a request on. The
// handler has heard of it: it must refuse, and the upstream must see nothing.
func TestHandlerRefusesAKeyThatTheEntryHostStillAccepts(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := twoZones(t, quick)
	before := f.upstreams["lookup-1"].Stats().Total
	version := f.patch("vt-1", withdraw)
	g.Eventually(f.version("me-1"), settle).Should(Equal(version))
	client := upstream.NewClient(nil)
	t.Cleanup(client.Close)
	_, problem := relay.NewClient(client, "http", "lagging").Send(
		context.Background(), f.daemons["me-1"].Identity().RelayAddress, wire.RoleHandle, &wire.Call{
			Service: "lookup", Path: "/x", Method: http.MethodGet, Header: http.Header{}, Customer: "farm",
			KeyDigest: config.DigestOf("secret").String(), Deadline: time.Now().Add(settle),
		})
	g.Expect(problem).NotTo(BeNil())
	g.Expect(problem.Type).To(Equal(wire.TypeUnknownKey))
	g.Expect(problem.Outcome).To(Equal(wire.OutcomeNotRun))
	g.Expect(f.upstreams["lookup-1"].Stats().Total).To(Equal(before))
}

// A zone is cut off from everything. A customer whose operators prefer refusal
// to an old configuration must be refused there after its bound, the others
// served; after the cut heals it must be served again.
func TestMaxStalenessRefusesInACutOffZone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.start("me-1", "me-a")
	c := twoRegions()
	c.Upstreams["lookup-1"] = f.upstream("lookup-1", "lookup", "me-a", quick)
	c.Customers["strict"] = config.Customer{
		Rate: 1000, Burst: 1000, MaxStalenessMs: config.MinStalenessMs,
		Keys: map[string]config.Key{"k1": {SHA256: config.DigestOf("strict").String()}},
	}
	f.awaitReady(f.apply("vt-1", c))
	f.awaitHandlers("me-1", "lookup")
	g.Eventually(f.outcome("me-1", "strict"), settle).Should(Equal(allowed))
	f.network.cut("me-1", "platform")
	f.network.cut("me-1", "vt-1")
	g.Eventually(f.outcome("me-1", "strict"), settle).Should(Equal(wire.TypeNoConfiguration))
	g.Expect(f.outcome("me-1", "secret")()).To(Equal(allowed))
	f.network.heal("me-1", "vt-1")
	g.Eventually(f.outcome("me-1", "strict"), settle).Should(Equal(allowed))
}
