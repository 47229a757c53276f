package entryhost

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/h1"
	"balsambarrow/internal/tunnel"
)

// peerDialTimeout bounds the time to connect to another entry host.
const peerDialTimeout = 300 * time.Millisecond

// dialUpstream opens a direct connection to an upstream.
func (d *Daemon) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	return d.DialUpstream(ctx, network, address)
}

func (d *Daemon) newLinks() *tunnel.Dialer {
	return tunnel.NewDialer(d.ctx, tunnel.Config{
		Self: d.self.Instance, Direct: d.dialUpstream, Peer: h1.Dialer(peerDialTimeout), Now: d.now,
		Peers:  func() []tunnel.Peer { return *d.tunnelPeers.Load() },
		Locate: d.locateUpstream, Sample: d.sampleUpstreams,
		OnDown: d.linksDown, OnUp: d.linksUp, OnTunnel: d.observeTunnel,
	})
}

func (d *Daemon) newTunnelServer() *tunnel.Server {
	return &tunnel.Server{
		Dial: d.dialUpstream, IsPeer: d.isPeer, Now: d.now, LinksDown: d.links.LinksDown, CheckLinks: d.links.CheckLinks,
		Stopping: func() bool { return d.currentStop().Begun() },
		Accepts: func(address string) bool {
			_, ok := d.table.Locate(address)
			return ok
		},
	}
}

func (d *Daemon) tunnelUpstream(u catalog.Upstream) tunnel.Upstream {
	return tunnel.Upstream{Address: u.Address, Zone: u.Zone, Region: d.settings.Load().Zones[u.Zone]}
}

func (d *Daemon) locateUpstream(address string) (tunnel.Upstream, bool) {
	u, ok := d.table.Locate(address)
	return d.tunnelUpstream(u), ok
}

func (d *Daemon) sampleUpstreams(n int) []tunnel.Upstream {
	sample := d.table.SampleZones(n)
	out := make([]tunnel.Upstream, 0, len(sample))
	for _, u := range sample {
		out = append(out, d.tunnelUpstream(u))
	}
	return out
}

// linksDown is called when this host turns out to reach no upstreams.
func (d *Daemon) linksDown(peer tunnel.Peer, upstream tunnel.Upstream) {
	d.events.Warn("upstream links down", "reached_through", peer.Instance, "upstream", upstream.Address, "zone", upstream.Zone)
	d.linksChanged()
}

// linksUp is called when this host reaches upstreams again.
func (d *Daemon) linksUp(downFor time.Duration) {
	d.events.Info("upstream links up", "down_for", downFor)
	d.linksChanged()
}

// linksChanged discards what was learned on the paths that are not used any more.
func (d *Daemon) linksChanged() {
	d.table.ForgetUnreachable()
	d.upstreamConns.ForgetResets()
	d.upstreamConns.CloseUnusable()
	d.control.send(func(c *control) { c.announce(d.now()) })
}

func (d *Daemon) observeTunnel(peer tunnel.Peer, err error) {
	result := "opened"
	if err != nil {
		result = "failed"
		d.events.Info("tunnel not opened", "peer", peer.Instance, "zone", peer.Zone, "error", err)
	}
	d.metrics.Set.GetOrCreateCounter(fmt.Sprintf(`balsambarrow_tunnels_total{zone=%q,result=%q}`, peer.Zone, result)).Inc()
}

// isPeer reports whether an instance is an entry host that sends heartbeats from an IP address, or
// has registered with it.
func (d *Daemon) isPeer(instance string, from netip.Addr) bool {
	known := make(chan string, 1)
	d.control.send(func(c *control) { known <- c.members.PeerAddress(instance) })
	select {
	case address := <-known:
		registered, err := netip.ParseAddrPort(address)
		return err == nil && registered.Addr() == from
	case <-d.ctx.Done():
		return false
	}
}

// publishTunnelPeers publishes the hosts that can connect this one to upstreams, and closes the
// tunnels through others, which may be about to stop.
func (d *Daemon) publishTunnelPeers(members []fleet.Member) {
	peers := make([]tunnel.Peer, 0, len(members))
	for _, m := range members {
		if m.TunnelAddress == "" || !m.Ready && !m.Eligible || m.Leaving {
			continue
		}
		p := tunnel.Peer{Instance: m.Instance, Zone: m.Zone, Region: m.Region, Address: m.TunnelAddress, Standby: !m.Ready, LinksDown: m.LinksDown}
		if m.Capacity.LinkMbps > 0 {
			p.LinkLoad = m.Load.ResponseMbps / m.Capacity.LinkMbps
		}
		peers = append(peers, p)
	}
	d.tunnelPeers.Store(&peers)
	d.upstreamConns.CloseUnusable()
}
