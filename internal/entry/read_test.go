package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace/noop"

	"balsambarrow/internal/config"
	"balsambarrow/internal/entry"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/posting"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/steer"
	"balsambarrow/internal/upstream"
	"balsambarrow/internal/view"
	"balsambarrow/internal/wire"
)

// fakeUpstream replaces the handler and its upstream, and records the calls.
type fakeUpstream struct {
	mu    sync.Mutex
	calls []*wire.Call
}

func (u *fakeUpstream) Run(_ context.Context, call *wire.Call) (*wire.Response, *wire.Problem) {
	body, _ := call.Body.Reader()
	_, err := io.Copy(io.Discard, body)
	u.mu.Lock()
	u.calls = append(u.calls, call)
	u.mu.Unlock()
	if err != nil {
		return nil, wire.MayHaveRunProblem(wire.TypeUpstreamFailed, err.Error())
	}
	return &wire.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("complete"))}, nil
}

func (u *fakeUpstream) received() []*wire.Call {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.calls
}

// newEntryServer starts a server with the customer "farm" and its key "secret".
func newEntryServer(t *testing.T) (address string, fake *fakeUpstream) {
	t.Helper()
	c := &config.Config{
		Regions:  map[string]config.Region{"vermont": {}},
		Zones:    map[string]config.Zone{"vt-a": {Region: "vermont", Slots: 1, Weight: 1}},
		Services: map[string]config.Service{"posting": {TimeoutMs: 5000}},
		Customers: map[string]config.Customer{"farm": {Rate: 1000, Burst: 1000, Keys: map[string]config.Key{
			"k": {SHA256: config.DigestOf("secret").String()},
		}}},
		Upstreams: map[string]config.Upstream{"posting-1": {Service: "posting", Zone: "vt-a", Slots: 4}},
	}
	self := membership.Member{
		Instance: "vt-1-ab", Zone: "vt-a", State: membership.StateReady, Slots: []int{0},
		Headroom: map[string]membership.Headroom{"posting": {Free: 4, Limit: 4}},
	}
	snap := &view.Snapshot{Self: self, Config: config.NewActive(1, c), ConfirmedAt: time.Now(), PublishedAt: time.Now(), ConfigVerified: true, Ready: []membership.Member{self}}
	snap.Steer = steer.NewBuilder("vt-a").Build(snap.Config, snap.Ready, upstream.Assign(snap.Config.Config, snap.Ready), time.Now())
	published := &view.Publisher{}
	published.Store(snap)
	ledger := quota.NewLedger()
	ledger.Fence.Extend(time.Now().Add(time.Hour))
	ledger.SetHeldSlots(&quota.HeldSlots{Zone: "vt-a", Slots: []int{0}, Versions: []*config.Active{snap.Config}}, time.Now().Add(-time.Minute))
	fake = &fakeUpstream{}
	server := httptest.NewServer(entry.New(entry.Deps{
		View: published, Ledger: ledger, LocalHandler: fake, MaxBodyBytes: 200 << 10, BodyTimeout: 100 * time.Millisecond,
		Postings: posting.NewTable("vt-1-ab", time.Now(), posting.DefaultLimits()),
		Tracer:   noop.NewTracerProvider().Tracer(""),
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), fake
}

// sendRaw sends a request as raw bytes and reads one response.
func sendRaw(t *testing.T, address, request string) *http.Response {
	t.Helper()
	g := NewWithT(t)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, request)
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	return resp
}

// Callers send requests that must not be forwarded: unsupported HTTP versions and
// methods, duplicate headers, and bodies that are too large or incomplete. Each
// request must get a final response, and none may reach an upstream.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	const key = "Authorization: Bearer secret\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"HTTP/1.0":           {"GET /svc/posting/x HTTP/1.0\r\n" + key + "\r\n", 400},
		"TRACE":              {"TRACE /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", 400},
		"two keys":           {"GET /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + key + "\r\n", 400},
		"two posting ids":    {"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Idempotency-Key: a-0.1\r\nIdempotency-Key: a-0.2\r\n\r\n", 400},
		"invalid posting id": {"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Idempotency-Key: 7\r\n\r\n", 400},
		"two lengths":        {"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		"incomplete body":    {"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: 9\r\n\r\nhalf", 413},
		"incomplete chunk":   {"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", 413},
		"posting id, large body": {
			"POST /svc/posting/x HTTP/1.1\r\nHost: x\r\n" + key + "Idempotency-Key: vt-1-ab-0.1\r\n" +
				fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 70<<10, make([]byte, 70<<10)), 413,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, fake := newEntryServer(t)
			resp := sendRaw(t, address, c.request)
			g.Expect(resp.StatusCode).To(Equal(c.status))
			if name != "two lengths" { // net/http rejects this request itself
				g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeNotRun)))
			}
			g.Expect(fake.received()).To(BeEmpty())
		})
	}
}

// A body of undeclared length exceeds the limit after a part of it was forwarded.
// The response must report that the request may have run.
func TestOversizedStreamMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	address, _ := newEntryServer(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 100<<10, make([]byte, 100<<10))
	resp := sendRaw(t, address, "POST /svc/posting/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+chunk+chunk+"0\r\n\r\n")
	g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(Equal(string(wire.OutcomeMayHaveRun)))
}

// A caller's key and a forged customer header must never be forwarded by the entry
// host, however they are written. The posting id must be forwarded.
func TestKeyIsRemovedAtEntryHost(t *testing.T) {
	g := NewWithT(t)
	address, fake := newEntryServer(t)
	resp := sendRaw(t, address, "POST /svc/posting/x HTTP/1.1\r\nHost: x\r\nauthorization: Bearer secret\r\n"+
		"Connection: Authorization, Idempotency-Key\r\nProxy-Authorization: Bearer secret\r\nBalsam-Customer: other\r\n"+
		"Idempotency-Key: vt-1-ab-0.1\r\nCookie: c=1\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n")
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(fake.received()).To(HaveLen(1))
	call := fake.received()[0]
	g.Expect(call.Customer).To(Equal("farm"))
	g.Expect(fmt.Sprint(call.Header)).NotTo(Or(ContainSubstring("secret"), ContainSubstring("other"), ContainSubstring("Expect")))
	g.Expect(call.Header).To(And(HaveKey("Cookie"), HaveKey("Idempotency-Key")))
}

// Many requests for the same posting arrive concurrently. The posting must run
// once, and all requests must get its response.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	g := NewWithT(t)
	address, fake := newEntryServer(t)
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			resp := sendRaw(t, address, "POST /svc/posting/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nIdempotency-Key: vt-1-ab-0.1\r\nContent-Length: 0\r\n\r\n")
			body, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("complete"))
		})
	}
	callers.Wait()
	g.Expect(fake.received()).To(HaveLen(1))
}
