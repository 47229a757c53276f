package daemon

import (
	"context"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
	"balsambarrow/internal/platform"
)

// callTimeout bounds one control call to a peer.
const callTimeout = time.Second

// Timing of membership.
const (
	hostsEvery = 2 * time.Second
	// forgetAfter keeps a silent peer's last account for status and posting
	// ids; it no longer counts as live long before.
	forgetAfter = time.Minute
)

// memberState is the control thread's part for membership.
type memberState struct {
	table     *membership.Table
	hosts     []platform.Host
	sequence  uint64
	nextBeat  time.Time
	nextHosts time.Time
}

func newMemberState() memberState { return memberState{table: membership.NewTable()} }

func (c *control) tickMembers(now time.Time) {
	c.members.table.Forget(now, forgetAfter)
	if !now.Before(c.members.nextHosts) {
		c.members.nextHosts = now.Add(hostsEvery)
		c.d.spawn(c.d.listHosts)
	}
	if !now.Before(c.members.nextBeat) {
		c.members.nextBeat = now.Add(membership.BeatEvery)
		c.beat()
	}
}

// heardFrom: a peer's account of itself arrived.
type heardFrom struct{ member membership.Member }

func (m heardFrom) apply(c *control) {
	c.members.table.Hear(m.member, time.Now())
	c.pullFrom(m.member)
}

// hostsListed: the platform's host list was read.
type hostsListed struct{ hosts []platform.Host }

func (m hostsListed) apply(c *control) { c.members.hosts = m.hosts }

// beat sends a heartbeat to every peer known from the host list or heard of.
func (c *control) beat() {
	c.members.sequence++
	message := toWire(c.self(time.Now()))
	for address := range c.peerAddresses() {
		c.d.spawn(func(ctx context.Context) { c.d.beatTo(ctx, address, message) })
	}
}

func (c *control) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, h := range c.members.hosts {
		addresses[h.Peers] = true
	}
	for _, m := range c.members.table.Live(time.Now()) {
		addresses[m.Peers] = true
	}
	delete(addresses, c.d.identity.Peers)
	return addresses
}

func (d *Daemon) beatTo(ctx context.Context, address string, message *peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := peer.NewDRPCMembershipClient(d.conns.To(ctx, address)).Beat(ctx, message)
	if err != nil {
		d.log.Debug("beat_failed", "peer", address, "err", err)
		return
	}
	d.control.send(heardFrom{fromWire(reply)})
}

// Beat answers a peer's heartbeat; it implements peer.DRPCMembershipServer.
func (d *Daemon) Beat(_ context.Context, in *peer.Heartbeat) (*peer.Heartbeat, error) {
	d.control.send(heardFrom{fromWire(in)})
	return toWire(d.view.Load().Self), nil
}

func (d *Daemon) listHosts(ctx context.Context) {
	hosts, err := d.hostList.Hosts(ctx)
	if err != nil {
		d.log.Debug("hosts_not_listed", "err", err)
		return
	}
	d.control.send(hostsListed{hosts})
}

func toWire(m membership.Member) *peer.Heartbeat {
	out := &peer.Heartbeat{
		Instance: m.Instance, Host: m.Host, Zone: m.Zone, State: string(m.State),
		Callers: m.Callers, Peers: m.Peers, Relay: m.Relay, Sequence: m.Sequence,
		ConfigVersion: m.ConfigVersion, PostingEpoch: m.PostingEpoch, Watches: m.Watches,
		ConfirmedUnixMs: m.ConfirmedAt.UnixMilli(),
	}
	for _, slot := range m.Slots {
		out.Slots = append(out.Slots, uint32(slot))
	}
	for service, room := range m.Headroom {
		out.Headroom = append(out.Headroom, &peer.Headroom{
			Service: service, Free: uint32(room.Free), Limit: uint32(room.Limit), Queued: uint32(room.Queued),
		})
	}
	for name, score := range m.Demand {
		out.Demand = append(out.Demand, &peer.Demand{Quota: name, PerSecond: score})
	}
	return out
}

func fromWire(in *peer.Heartbeat) membership.Member {
	m := membership.Member{
		Instance: in.Instance, Host: in.Host, Zone: in.Zone, State: membership.State(in.State),
		Callers: in.Callers, Peers: in.Peers, Relay: in.Relay, Sequence: in.Sequence,
		ConfigVersion: in.ConfigVersion, PostingEpoch: in.PostingEpoch, Watches: in.Watches,
		ConfirmedAt: time.UnixMilli(in.ConfirmedUnixMs),
		Headroom:    map[string]membership.Headroom{},
		Demand:      map[string]float64{},
	}
	for _, slot := range in.Slots {
		m.Slots = append(m.Slots, int(slot))
	}
	for _, room := range in.Headroom {
		m.Headroom[room.Service] = membership.Headroom{
			Free: int(room.Free), Limit: int(room.Limit), Queued: int(room.Queued),
		}
	}
	for _, demand := range in.Demand {
		m.Demand[demand.Quota] = demand.PerSecond
	}
	return m
}
