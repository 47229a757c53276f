package tunnel_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/tunnel"
)

// network is a host, its peers and its upstreams on loopback.
type network struct {
	t         *testing.T
	mu        sync.Mutex
	upstreams []tunnel.Upstream
	peers     []tunnel.Peer
	// cut makes direct dials of the host fail.
	cut atomic.Bool
	// directDials and changes are what the host has done.
	directDials atomic.Int32
	changes     chan string
	dialer      *tunnel.Dialer
	// stop ends the background work of the dialer.
	stop context.CancelFunc
}

func newNetwork(t *testing.T) *network {
	n := &network{t: t, changes: make(chan string, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n.stop = cancel
	n.dialer = tunnel.NewDialer(ctx, tunnel.Config{
		Self: "self", Peer: (&net.Dialer{}).DialContext, Now: time.Now,
		Direct: func(ctx context.Context, network, address string) (net.Conn, error) {
			n.directDials.Add(1)
			if n.cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		Peers: func() []tunnel.Peer {
			n.mu.Lock()
			defer n.mu.Unlock()
			return append([]tunnel.Peer(nil), n.peers...)
		},
		Locate: func(address string) (tunnel.Upstream, bool) {
			for _, u := range n.upstreams {
				if u.Address == address {
					return u, true
				}
			}
			return tunnel.Upstream{}, false
		},
		Sample:   func(count int) []tunnel.Upstream { return n.upstreams[:min(count, len(n.upstreams))] },
		OnDown:   func(tunnel.Peer, tunnel.Upstream) { n.changes <- "down" },
		OnUp:     func(time.Duration) { n.changes <- "up" },
		OnTunnel: func(tunnel.Peer, error) {},
	})
	return n
}

// addUpstream starts an upstream that accepts connections and returns its listener.
func (n *network) addUpstream(zone, region string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(n.t).Expect(err).NotTo(HaveOccurred())
	n.t.Cleanup(func() { _ = l.Close() })
	n.upstreams = append(n.upstreams, tunnel.Upstream{Address: l.Addr().String(), Zone: zone, Region: region})
	return l
}

// addPeer starts a peer, and returns the number of tunnels that it has been asked for.
func (n *network) addPeer(zone, region string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *atomic.Int32 {
	asked := &atomic.Int32{}
	server := &tunnel.Server{
		Dial: dial, Now: time.Now,
		LinksDown: func() bool { return false }, Stopping: func() bool { return false }, CheckLinks: func(context.Context, time.Time) {},
		IsPeer:  func(instance string, from netip.Addr) bool { return instance == "self" && from.IsLoopback() },
		Accepts: func(string) bool { asked.Add(1); return true },
	}
	l := httptest.NewServer(server)
	n.t.Cleanup(func() {
		server.Close()
		l.Close()
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = append(n.peers, tunnel.Peer{Instance: "peer-" + strconv.Itoa(len(n.peers)), Zone: zone, Region: region, Address: l.Listener.Addr().String()})
	return asked
}

func (n *network) dial(u int) (net.Conn, error) {
	c, err := n.dialer.DialContext(context.Background(), "tcp", n.upstreams[u].Address)
	if err == nil {
		n.t.Cleanup(func() { _ = c.Close() })
	}
	return c, err
}

var (
	works  = (&net.Dialer{}).DialContext
	failed = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
)

// Guards against hosts that refuse callers while peers reach the upstreams, and that stay on
// tunnels when their own links are up again.
func TestLinksDownAndUpAgain(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	n.addUpstream("b1", "b")
	n.addPeer("a1", "a", works)
	n.addPeer("b1", "b", works)
	c, err := n.dial(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.dialer.Reusable(c.RemoteAddr().String(), false)).To(BeTrue())
	n.cut.Store(true)
	relayed, err := n.dial(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(relayed.RemoteAddr().String()).To(Equal(n.peers[1].Address))
	g.Expect(<-n.changes).To(Equal("down"))
	g.Expect(n.dialer.Reusable(c.RemoteAddr().String(), false)).To(BeFalse())
	g.Expect(n.dialer.Keep(n.peers[1].Address, true)).To(BeTrue())
	n.cut.Store(false)
	g.Eventually(n.changes, "10s").Should(Receive(Equal("up")))
	g.Expect(n.dialer.Reusable(n.peers[1].Address, true)).To(BeTrue())
	g.Expect(n.dialer.Keep(n.peers[1].Address, true)).To(BeFalse())
	c, err = n.dial(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.RemoteAddr().String()).To(Equal(n.upstreams[1].Address))
}

// Guards against upstreams that have died and are taken for links of this host that are down.
func TestDeadUpstreamsAreNotLinksDown(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	_ = n.addUpstream("a1", "a").Close()
	_ = n.addUpstream("a2", "a").Close()
	n.addPeer("a1", "a", works)
	for range 3 {
		_, err := n.dial(0)
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	}
	g.Expect(n.dialer.LinksDown()).To(BeFalse())
	g.Expect(n.changes).To(BeEmpty())
}

// Guards against one dead upstream that makes a host dial others for each request.
func TestDeadUpstreamCausesFewDials(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	_ = n.addUpstream("a2", "a").Close()
	asked := n.addPeer("a1", "a", works)
	began := time.Now()
	const requests = 50
	for range requests {
		_, err := n.dial(1)
		g.Expect(err).To(HaveOccurred())
	}
	checks := 2 + int32(time.Since(began)/(250*time.Millisecond))
	g.Expect(n.directDials.Load()).To(BeNumerically("<=", requests+checks))
	g.Expect(asked.Load()).To(BeZero())
}

// Guards against a peer that is tried for each connection although it has lost its links too.
func TestPeersThatCannotHelp(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	n.addPeer("a1", "a", failed)
	n.addPeer("a2", "a", works)
	// The peers that are asked for a connection; checks of the links ask all of them, and may do so late.
	var asked []string
	n.dialer.OnTunnel = func(p tunnel.Peer, _ error) { asked = append(asked, p.Instance) }
	n.cut.Store(true)
	_, err := n.dial(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asked).To(Equal([]string{"peer-0", "peer-1"}))
	asked = nil
	n.mu.Lock()
	n.peers[0].LinksDown = true
	n.mu.Unlock()
	_, err = n.dial(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asked).To(Equal([]string{"peer-1"}))
	n.mu.Lock()
	n.peers = n.peers[:1]
	n.mu.Unlock()
	_, err = n.dial(0)
	var none *tunnel.NoPeerError
	g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
}

// Guards against requests that reach a region which may not have them, or cross regions twice.
func TestTunnelsLeadThroughTheUpstreamsRegionOnly(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	n.addUpstream("b1", "b")
	n.addPeer("b1", "b", works)
	n.cut.Store(true)
	_, err := n.dial(0)
	var none *tunnel.NoPeerError
	g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
	_, err = n.dial(1)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against callers that reach upstreams through a tunnel, without a key and a rate.
func TestServerRefusesAllButPeers(t *testing.T) {
	server := &tunnel.Server{
		Dial: works, Now: time.Now, IsPeer: func(instance string, _ netip.Addr) bool { return instance == "peer" },
		Accepts: func(address string) bool { return address == "127.0.0.1:1" },
	}
	linksDown, stopping := false, false
	server.LinksDown, server.CheckLinks = func() bool { return linksDown }, func(context.Context, time.Time) {}
	server.Stopping = func() bool { return stopping }
	for name, c := range map[string]struct {
		method, host, from string
		status             int
	}{
		"own links down":    {http.MethodConnect, "127.0.0.1:1", "peer", http.StatusServiceUnavailable},
		"stopping":          {http.MethodConnect, "127.0.0.1:1", "peer", http.StatusServiceUnavailable},
		"caller":            {http.MethodConnect, "127.0.0.1:1", "", http.StatusForbidden},
		"other method":      {http.MethodGet, "127.0.0.1:1", "peer", http.StatusMethodNotAllowed},
		"unknown upstream":  {http.MethodConnect, "127.0.0.1:2", "peer", http.StatusNotFound},
		"upstream not open": {http.MethodConnect, "127.0.0.1:1", "peer", http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, "/", nil)
			r.Host, r.RemoteAddr = c.host, "127.0.0.1:9"
			r.Header.Set("Balsam-From", c.from)
			w := httptest.NewRecorder()
			linksDown, stopping = name == "own links down", name == "stopping"
			server.ServeHTTP(w, r)
			NewWithT(t).Expect(w.Code).To(Equal(c.status))
		})
	}
}

// Guards against an upstream that counts as unreachable, and as cold for seconds, because a peer that
// does not know yet that its own links are down cannot connect to it.
func TestServerChecksItsOwnLinksBeforeItReportsAnUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		down   bool
		status int
	}{"links down": {true, http.StatusServiceUnavailable}, "links up": {false, http.StatusBadGateway}} {
		t.Run(name, func(t *testing.T) {
			known := false
			server := &tunnel.Server{
				Dial: failed, Now: time.Now, IsPeer: func(string, netip.Addr) bool { return true }, Accepts: func(string) bool { return true },
				Stopping: func() bool { return false }, LinksDown: func() bool { return known }, CheckLinks: func(context.Context, time.Time) { known = c.down },
			}
			r := httptest.NewRequest(http.MethodConnect, "/", nil)
			r.Host, r.RemoteAddr = "127.0.0.1:1", "127.0.0.1:9"
			w := httptest.NewRecorder()
			server.ServeHTTP(w, r)
			NewWithT(t).Expect(w.Code).To(Equal(c.status))
		})
	}
}

// Guards against a truncated response that looks complete, and against an abandoned request that
// goes on, at the other end of a tunnel.
func TestTunnelPassesOnHowAConnectionEnds(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "orderly": false} {
		for _, endedBy := range []string{"upstream", "host"} {
			t.Run(name+" by "+endedBy, func(t *testing.T) {
				g := NewWithT(t)
				n := newNetwork(t)
				l := n.addUpstream("a1", "a")
				n.addPeer("a1", "a", works)
				n.cut.Store(true)
				accepted := make(chan net.Conn, 8)
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						accepted <- c
					}
				}()
				host, err := n.dial(0)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = host.Write([]byte("x"))
				g.Expect(err).NotTo(HaveOccurred())
				upstream := firstWithData(accepted)
				ending, other := upstream, host
				if endedBy == "host" {
					ending, other = host, upstream
				}
				if reset {
					g.Expect(ending.(*net.TCPConn).SetLinger(0)).To(Succeed())
				}
				g.Expect(ending.Close()).To(Succeed())
				_, err = other.Read(make([]byte, 1))
				if reset {
					g.Expect(err).To(MatchError(syscall.ECONNRESET))
				} else {
					g.Expect(err).To(MatchError("EOF"))
				}
			})
		}
	}
}

// firstWithData returns the first connection on which a byte arrives. Those of a check carry none.
func firstWithData(accepted <-chan net.Conn) net.Conn {
	for c := range accepted {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			return c
		}
	}
	return nil
}

// Guards against hosts that do not find out that their links are down because most peers have lost
// theirs too, and because no request causes a check once all upstreams are ejected.
func TestLinksDownAreFoundAmongPeersWithoutLinks(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	hangs := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.addPeer("a1", "a", hangs)
	n.addPeer("a1", "a", hangs)
	n.cut.Store(true)
	_, err := n.dial(0)
	g.Expect(err).To(HaveOccurred())
	n.addPeer("a2", "a", works)
	g.Eventually(n.changes, "10s").Should(Receive(Equal("down")))
}

// Guards against checks that go on after the daemon has ended.
func TestChecksEndWithTheDaemon(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork(t)
	n.addUpstream("a1", "a")
	n.cut.Store(true)
	_, err := n.dial(0)
	g.Expect(err).To(HaveOccurred())
	n.stop()
	time.Sleep(50 * time.Millisecond) // the dials of a check that was running
	before := n.directDials.Load()
	g.Consistently(n.directDials.Load, "1200ms", "50ms").Should(Equal(before))
}
