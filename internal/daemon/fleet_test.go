package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/config"
	"balsambarrow/internal/daemon"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/quota"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/telemetry"
	"balsambarrow/internal/wire"
)

// settleTimeout limits how long a test waits for the fleet to reach a state.
const settleTimeout = 20 * time.Second

// fleet is a stand-in platform, upstreams and daemons that run in one process and
// communicate over loopback sockets.
type fleet struct {
	t         testing.TB
	g         *WithT
	platform  *standin.KVStore
	url       string
	upstreams map[string]*standin.Upstream
	daemons   map[string]*daemon.Daemon
	network   *network
	client    *http.Client
	// traces is the directory for the daemons' span files; "" disables tracing.
	traces string
	// logs receives the daemons' logs; nil selects the test's output.
	logs io.Writer
}

// network decides which dials succeed. A node is a host name or "platform".
type network struct {
	mu            sync.Mutex
	nodeByAddress map[string]string // address -> node
	partitioned   map[[2]string]bool
	conns         map[[2]string][]net.Conn
	// delay returns the one-way delay between two nodes; nil means no delay.
	delay func(from, to string) time.Duration
	// bytes counts the bytes sent and received on connections to peer and relay listeners.
	bytes atomic.Int64
	// countBytes enables the byte counter.
	countBytes bool
	// wrapConn, if set, wraps each dialed connection.
	wrapConn func(link [2]string, conn net.Conn) net.Conn
}

var errPartitioned = errors.New("test network: nodes are partitioned")

func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.Lock()
		link := [2]string{from, n.nodeByAddress[address]}
		blocked := n.partitioned[link]
		n.mu.Unlock()
		if blocked {
			return nil, &net.OpError{Op: "dial", Err: errPartitioned}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, proto, address)
		if err == nil && n.countBytes && link[1] != "" && link[1] != "platform" {
			conn = &countingConn{Conn: conn, bytes: &n.bytes}
		}
		if err == nil && n.delay != nil {
			if d := n.delay(from, link[1]); d > 0 {
				conn = newDelayedConn(conn, d)
			}
		}
		if err == nil {
			n.mu.Lock()
			if n.wrapConn != nil {
				conn = n.wrapConn(link, conn)
			}
			n.conns[link] = append(n.conns[link], conn)
			n.mu.Unlock()
		}
		return conn, err
	}
}

// partition closes the open connections between two nodes and rejects new ones
// until heal.
func (n *network) partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range [][2]string{{a, b}, {b, a}} {
		n.partitioned[link] = true
		for _, c := range n.conns[link] {
			_ = c.Close()
		}
		n.conns[link] = nil
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, [2]string{a, b})
	delete(n.partitioned, [2]string{b, a})
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{
		t: t, g: NewWithT(t), platform: standin.NewKVStore(),
		upstreams: map[string]*standin.Upstream{}, daemons: map[string]*daemon.Daemon{},
		network: &network{nodeByAddress: map[string]string{}, partitioned: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	server := httptest.NewServer(f.platform)
	f.url = server.URL
	f.network.nodeByAddress[strings.TrimPrefix(server.URL, "http://")] = "platform"
	t.Cleanup(func() {
		for _, d := range f.daemons {
			d.Kill()
		}
		f.client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

// upstream starts a stand-in upstream and returns its configuration entry.
func (f *fleet) upstream(name, service, zone string, o standin.UpstreamOptions) config.Upstream {
	u := standin.NewUpstream(o)
	server := httptest.NewServer(u)
	f.t.Cleanup(server.Close)
	f.upstreams[name] = u
	return config.Upstream{Service: service, Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: o.Slots}
}

// start starts a daemon on a host and adds the host to the host list.
func (f *fleet) start(host, zone string) *daemon.Daemon {
	extraSettings := `"tls":{"plain":true}`
	if f.traces != "" {
		extraSettings += fmt.Sprintf(`,"trace_file":%q`, f.traces+"/"+host)
	}
	return f.startWith(host, zone, extraSettings)
}

// startWith is like start but takes additional settings.
func (f *fleet) startWith(host, zone, extraSettings string) *daemon.Daemon {
	text := fmt.Sprintf(`{"host":%q,"zone":%q,"platform":{"url":%q,"timeout_ms":1000},%s}`, host, zone, f.url, extraSettings)
	s, err := settings.Parse("test", []byte(text))
	f.g.Expect(err).NotTo(HaveOccurred())
	if f.logs == nil {
		f.logs = f.t.Output()
	}
	log := telemetry.NewLogger(f.logs, "debug")
	d, err := daemon.New(s, log, daemon.Options{Dial: f.network.dialer(host), LookupTTL: 300 * time.Millisecond})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(d.Start()).To(Succeed())
	id := d.Identity()
	f.network.mu.Lock()
	f.network.nodeByAddress[id.PeerAddress], f.network.nodeByAddress[id.RelayAddress] = host, host
	f.network.mu.Unlock()
	f.listHost(membership.Host{Name: host, Zone: zone, PeerAddress: id.PeerAddress})
	f.daemons[host] = d
	return d
}

// listHost adds a host to the host list.
func (f *fleet) listHost(h membership.Host) {
	h.State = membership.HostLive
	f.platform.Put(membership.HostKey(h.Name), h.Encode())
}

// kill stops a daemon as a crash would.
func (f *fleet) kill(host string) {
	f.daemons[host].Kill()
	delete(f.daemons, host)
}

// apply submits a full configuration through a daemon and returns its version.
func (f *fleet) apply(through string, c *config.Config) uint64 {
	text, err := json.Marshal(c)
	f.g.Expect(err).NotTo(HaveOccurred())
	client := ctl.NewClient(f.daemons[through].OperatorsAddress())
	current, err := client.Config()
	f.g.Expect(err).NotTo(HaveOccurred())
	applied, err := client.Patch(current.Version, text)
	f.g.Expect(err).NotTo(HaveOccurred())
	return applied.Version
}

// awaitReady waits until every daemon has the version, lists all daemons as ready
// and holds slots that it may spend from.
func (f *fleet) awaitReady(version uint64) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		for _, d := range f.daemons {
			snap := d.View()
			if snap.Self.ConfigVersion < version || len(snap.Ready) != len(f.daemons) || !slotsSpendable(snap.Self.HeldSlots) {
				return false
			}
		}
		return true
	}, settleTimeout, 20*time.Millisecond).Should(BeTrue())
}

// slotsSpendable reports whether the quarantine of all held slots has passed, with
// 200 ms to spare for two runs of the control thread.
func slotsSpendable(held []membership.HeldSlot) bool {
	for _, h := range held {
		if time.Since(h.Since) < quota.Quarantine+200*time.Millisecond {
			return false
		}
	}
	return len(held) > 0
}

// awaitHandlers waits until a daemon knows of capacity for a service.
func (f *fleet) awaitHandlers(host, service string) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		for _, m := range f.daemons[host].View().Ready {
			if m.Headroom[service].Limit > 0 {
				return true
			}
		}
		return false
	}, settleTimeout, 20*time.Millisecond).Should(BeTrue())
}

// reply is the response that a caller received.
type reply struct {
	Status  int
	Outcome wire.Outcome
	Problem wire.Problem
	Body    []byte
	Err     error
}

// call sends one request to a host with an API key.
func (f *fleet) call(host, method, path, key string, header map[string]string) reply {
	return f.callAt(f.daemons[host].Identity().CallerAddress, method, path, key, header)
}

// callAt is like call but takes an address, for hosts that have stopped.
func (f *fleet) callAt(address, method, path, key string, header map[string]string) reply {
	url := "http://" + address + "/svc/" + path
	req, err := http.NewRequest(method, url, bytes.NewReader(nil))
	f.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r := reply{Status: resp.StatusCode, Outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), Body: body, Err: err}
	if r.Outcome != wire.OutcomeRan {
		_ = json.Unmarshal(body, &r.Problem)
	}
	return r
}

// twoRegionConfig is a configuration with one zone in each of two regions, the
// services "lookup" and "posting", and the customer "farm" with the key "secret".
func twoRegionConfig() *config.Config {
	return &config.Config{
		Regions:  map[string]config.Region{"vermont": {}, "maine": {}},
		Zones:    map[string]config.Zone{"vt-a": {Region: "vermont"}, "me-a": {Region: "maine"}},
		Services: map[string]config.Service{"lookup": {ShiftCapPerSecond: 1e5}, "posting": {ShiftCapPerSecond: 1e5}},
		Customers: map[string]config.Customer{"farm": {
			Rate: 1000, Burst: 1000,
			Keys: map[string]config.Key{"k1": {SHA256: config.DigestOf("secret").String()}},
		}},
		Upstreams: map[string]config.Upstream{},
	}
}

var fastUpstream = standin.UpstreamOptions{Slots: 4, ServiceTime: time.Millisecond}
