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

// settle bounds every wait for the fleet to reach a state.
const settle = 20 * time.Second

// fleet is a platform, upstreams and daemons in one process, over real
// sockets on loopback.
type fleet struct {
	t         testing.TB
	g         *WithT
	platform  *standin.KVStore
	url       string
	upstreams map[string]*standin.Upstream
	daemons   map[string]*daemon.Daemon
	network   *network
	client    *http.Client
	// traces is a folder that each daemon writes its spans to; "" is none.
	traces string
	// logs receives the daemons' logs; nil is the test's output.
	logs io.Writer
}

// network decides which dials succeed. Sides are host names and "platform".
type network struct {
	mu    sync.Mutex
	sides map[string]string // address -> side
	cuts  map[[2]string]bool
	conns map[[2]string][]net.Conn
	// delay gives the one-way delay from side to side; nil: none.
	delay func(from, to string) time.Duration
	// bytes counts what crossed connections to peers listeners, both ways.
	bytes atomic.Int64
	// count turns the counting on.
	count bool
	// wrap, where set, stands between a dialled connection and its user.
	wrap func(link [2]string, conn net.Conn) net.Conn
}

var errCut = errors.New("test network: cut")

func (n *network) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		n.mu.Lock()
		link := [2]string{from, n.sides[address]}
		cut := n.cuts[link]
		n.mu.Unlock()
		if cut {
			return nil, &net.OpError{Op: "dial", Err: errCut}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, proto, address)
		if err == nil && n.count && link[1] != "" && link[1] != "platform" {
			conn = &countedConn{Conn: conn, bytes: &n.bytes}
		}
		if err == nil && n.delay != nil {
			if d := n.delay(from, link[1]); d > 0 {
				conn = newDelayedConn(conn, d)
			}
		}
		if err == nil {
			n.mu.Lock()
			if n.wrap != nil {
				conn = n.wrap(link, conn)
			}
			n.conns[link] = append(n.conns[link], conn)
			n.mu.Unlock()
		}
		return conn, err
	}
}

// cut breaks the open connections from one side to another, both ways, and
// refuses new ones until heal.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range [][2]string{{a, b}, {b, a}} {
		n.cuts[link] = true
		for _, c := range n.conns[link] {
			_ = c.Close()
		}
		n.conns[link] = nil
	}
}

func (n *network) heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{
		t: t, g: NewWithT(t), platform: standin.NewKVStore(),
		upstreams: map[string]*standin.Upstream{}, daemons: map[string]*daemon.Daemon{},
		network: &network{sides: map[string]string{}, cuts: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}},
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	server := httptest.NewServer(f.platform)
	f.url = server.URL
	f.network.sides[strings.TrimPrefix(server.URL, "http://")] = "platform"
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

// upstream starts a stand-in upstream and returns its part of a configuration.
func (f *fleet) upstream(name, service, zone string, o standin.UpstreamOptions) config.Upstream {
	u := standin.NewUpstream(o)
	server := httptest.NewServer(u)
	f.t.Cleanup(server.Close)
	f.upstreams[name] = u
	return config.Upstream{Service: service, Zone: zone, Address: strings.TrimPrefix(server.URL, "http://"), Slots: o.Slots}
}

// start runs a daemon on a host and enters it in the host list.
func (f *fleet) start(host, zone string) *daemon.Daemon {
	more := `"tls":{"plain":true}`
	if f.traces != "" {
		more += fmt.Sprintf(`,"trace_file":%q`, f.traces+"/"+host)
	}
	return f.startWith(host, zone, more)
}

// startWith is start with further settings.
func (f *fleet) startWith(host, zone, more string) *daemon.Daemon {
	text := fmt.Sprintf(`{"host":%q,"zone":%q,"platform":{"url":%q,"timeout_ms":1000},%s}`, host, zone, f.url, more)
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
	f.network.sides[id.PeerAddress], f.network.sides[id.RelayAddress] = host, host
	f.network.mu.Unlock()
	f.list(membership.Host{Name: host, Zone: zone, PeerAddress: id.PeerAddress})
	f.daemons[host] = d
	return d
}

// list enters a host in the host list.
func (f *fleet) list(h membership.Host) {
	h.State = membership.HostLive
	f.platform.Put(membership.HostKey(h.Name), h.Encode())
}

// kill ends a daemon as a crash would.
func (f *fleet) kill(host string) {
	f.daemons[host].Kill()
	delete(f.daemons, host)
}

// apply submits a whole configuration through a daemon.
func (f *fleet) apply(through string, c *config.Config) uint64 {
	text, err := json.Marshal(c)
	f.g.Expect(err).NotTo(HaveOccurred())
	client := ctl.NewClient(f.daemons[through].OperatorsAddress())
	current, err := client.Config()
	f.g.Expect(err).NotTo(HaveOccurred())
	a, err := client.Patch(current.Version, text)
	f.g.Expect(err).NotTo(HaveOccurred())
	return a.Version
}

// awaitReady waits until every daemon has the version, sees all the others
// and holds slots that it may spend from.
func (f *fleet) awaitReady(version uint64) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		for _, d := range f.daemons {
			snap := d.View()
			if snap.Self.ConfigVersion < version || len(snap.Ready) != len(f.daemons) || !settled(snap.Self.HeldSlots) {
				return false
			}
		}
		return true
	}, settle, 20*time.Millisecond).Should(BeTrue())
}

// settled allows for two runs of the control thread after the quarantine.
func settled(held []membership.HeldSlot) bool {
	for _, h := range held {
		if time.Since(h.Since) < quota.Quarantine+200*time.Millisecond {
			return false
		}
	}
	return len(held) > 0
}

// awaitHandlers waits until a daemon knows of room for a service.
func (f *fleet) awaitHandlers(host, service string) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		for _, m := range f.daemons[host].View().Ready {
			if m.Headroom[service].Limit > 0 {
				return true
			}
		}
		return false
	}, settle, 20*time.Millisecond).Should(BeTrue())
}

// reply is what a caller received.
type reply struct {
	Status  int
	Outcome wire.Outcome
	Problem wire.Problem
	Body    []byte
	Err     error
}

// call sends one request to a host as the holder of a key.
func (f *fleet) call(host, method, path, key string, header map[string]string) reply {
	return f.callAt(f.daemons[host].Identity().CallerAddress, method, path, key, header)
}

// callAt is call by address, which may be that of a host that is gone.
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

// twoRegions is a configuration with one zone in each of two regions, one
// customer "farm" with the key "secret", and the service "lookup".
func twoRegions() *config.Config {
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

var quick = standin.UpstreamOptions{Slots: 4, ServiceTime: time.Millisecond}
