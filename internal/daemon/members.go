package daemon

import (
	"context"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
)

// callTimeout bounds one control call to a peer.
const callTimeout = time.Second

// Timing of membership.
const (
	hostsEvery = 2 * time.Second
	// hostsShare is a daemon's part of the time between two readings of the
	// host list: the fleet together makes 50 calls a second at most. What the
	// list shows late is known by gossip before.
	hostsShare = 20 * time.Millisecond
	// confirmWithin is the age of the configuration's confirmation from which
	// all peers are asked: a watcher's confirmation is up to watchWait and watchDeaf
	// old, and a peer that asks it in turn half a heartbeat more.
	confirmWithin = watchWait + watchDeaf + membership.HeartbeatInterval
	// forgetAfter keeps a silent peer's last account for status and posting
	// ids; it no longer counts as live long before.
	forgetAfter = time.Minute
)

// memberState is the control thread's part for membership.
type memberState struct {
	table    *membership.Table
	contacts *membership.Contacts
	// handled are the upstreams that this daemon was last assigned.
	handled []string
	// leavingSince is when this daemon's planned stop began.
	leavingSince time.Time
	sequence     uint64
	nextBeat     time.Time
	nextHosts    time.Time
}

func newMemberState() memberState { return memberState{table: membership.NewTable()} }

// knownContacts is made at the first use: the daemon's own address is known
// only once it listens.
func (c *control) knownContacts() *membership.Contacts {
	if c.members.contacts == nil {
		c.members.contacts = membership.NewContacts(c.d.identity.PeerAddress)
	}
	return c.members.contacts
}

func (c *control) tickMembers(now time.Time) {
	c.members.table.RemoveExpired(now, forgetAfter)
	if !now.Before(c.members.nextHosts) {
		fleet := time.Duration(len(c.members.table.All()))
		c.members.nextHosts = now.Add(max(hostsEvery, fleet*hostsShare))
		c.d.spawn(c.d.listHosts)
	}
	if !now.Before(c.members.nextBeat) {
		news := c.members.nextBeat.IsZero()
		c.members.nextBeat = now.Add(membership.HeartbeatInterval)
		c.beat(news, now)
	}
}

// heardFrom: a peer's account of itself arrived.
type heardFrom struct{ member membership.Member }

func (m heardFrom) apply(c *control) {
	now := time.Now()
	before, known := c.members.table.Find(m.member.Instance)
	newest := c.members.table.Update(m.member, now)
	if !known || before.State != m.member.State {
		c.news = true
	}
	c.contact(m.member, now)
	if newest && m.member.Zone == c.d.identity.Zone {
		c.yieldSlots(m.member, now)
	}
	c.heardHost(m.member, now)
	c.heardConfig(m.member, now)
}

// answeredBy: the daemon at address has answered a heartbeat with its account.
type answeredBy struct {
	address string
	member  membership.Member
}

func (m answeredBy) apply(c *control) {
	c.knownContacts().RecordResponse(m.address, time.Now())
	heardFrom{m.member}.apply(c)
}

// hostsListed: the platform's host list was read.
type hostsListed struct{ hosts []membership.Host }

func (m hostsListed) apply(c *control) {
	addresses := make([]string, 0, len(m.hosts))
	for _, h := range m.hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	c.knownContacts().SetHostList(addresses)
	c.listedHosts(m.hosts, time.Now())
}

// contact notes where a member is and whom it hears.
func (c *control) contact(m membership.Member, now time.Time) {
	contacts := c.knownContacts()
	contacts.AddGossip(m.GossipAddresses, now)
	if m.State == membership.StateLeaving {
		contacts.Remove(m.PeerAddress)
		return
	}
	contacts.RecordHeartbeat(m.PeerAddress, now)
}

// beat sends a heartbeat to every address that may be a daemon's.
func (c *control) beat(news bool, now time.Time) {
	c.members.sequence++
	self := c.self(now)
	self.GossipAddresses = c.knownContacts().Gossip(now)
	message := toWire(self)
	for _, address := range c.beatTargets(news, now) {
		c.d.spawn(func(ctx context.Context) { c.d.beatTo(ctx, address, message) })
	}
}

// beatTargets are the addresses to send a heartbeat to. Without news it leaves
// those out that have exchanged one with this daemon just now.
//
// Only the answer to a heartbeat of its own confirms a daemon's configuration
// (see confirmedAt). Two daemons keep the order in which they began: one whose
// peers always beat first would hardly ask any of them, and where it is
// cut off from the store it would refuse customers with a bound on staleness
// although peers know the version to be the newest. So it asks all of them
// while its configuration is unconfirmed for longer than confirmWithin.
func (c *control) beatTargets(news bool, now time.Time) []string {
	due := c.beatAddresses(now)
	if news || now.Sub(c.config.confirmed) > confirmWithin {
		return due
	}
	return slices.DeleteFunc(due, func(address string) bool { return c.knownContacts().ExchangedRecently(address, now) })
}

// beatAddresses adds to the contacts the holders that the store names: they
// are asked before their slots are taken.
func (c *control) beatAddresses(now time.Time) []string {
	due := c.knownContacts().HeartbeatTargets(now)
	for _, address := range c.slots.holders {
		if address != c.d.identity.PeerAddress && !slices.Contains(due, address) {
			due = append(due, address)
		}
	}
	return due
}

// peerAddresses are the addresses of all daemons that may be there.
func (c *control) peerAddresses() map[string]bool { return c.knownContacts().All() }

func (d *Daemon) beatTo(ctx context.Context, address string, message *peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := peer.NewDRPCMembershipClient(d.conns.Conn(ctx, address)).Beat(ctx, message)
	if err != nil {
		d.log.Debug("beat_failed", "peer", address, "err", err)
		return
	}
	member := fromWire(reply)
	member.ConfirmedAt = confirmedAt(asked, reply.ConfirmedAgeMs)
	d.control.send(answeredBy{address: address, member: member})
}

// Beat answers a peer's heartbeat; it implements peer.DRPCMembershipServer.
func (d *Daemon) Beat(_ context.Context, in *peer.Heartbeat) (*peer.Heartbeat, error) {
	d.control.send(heardFrom{fromWire(in)})
	return toWire(d.view.Load().Self), nil
}

func (d *Daemon) listHosts(ctx context.Context) {
	if hosts, ok := d.readHosts(ctx); ok {
		d.control.send(hostsListed{hosts})
	}
}

// readHosts reads the host list; false if the store does not answer.
func (d *Daemon) readHosts(ctx context.Context) ([]membership.Host, bool) {
	hosts, unreadable, err := membership.ListHosts(ctx, d.store)
	if err != nil {
		d.log.Debug("hosts_not_listed", "err", err)
		return nil, false
	}
	for _, key := range unreadable {
		d.log.Warn("host_unreadable", "key", key)
	}
	return hosts, true
}

func toWire(m membership.Member) *peer.Heartbeat {
	out := &peer.Heartbeat{
		Instance: m.Instance, Host: m.Host, Zone: m.Zone, State: string(m.State),
		Callers: m.CallerAddress, Peers: m.PeerAddress, Relay: m.RelayAddress, Sequence: m.Sequence,
		ConfigVersion: m.ConfigVersion, PostingEpoch: m.PostingEpoch, Watches: m.WatchesStore,
		AnswersFor:     m.PostingsFrom,
		Load:           m.Load,
		ConfirmedAgeMs: ageMs(m.ConfirmedAt, time.Now()), ConfigRejected: m.ConfigRejected,
		Known: m.GossipAddresses,
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
		CallerAddress: in.Callers, PeerAddress: in.Peers, RelayAddress: in.Relay, Sequence: in.Sequence,
		ConfigVersion: in.ConfigVersion, PostingEpoch: in.PostingEpoch, WatchesStore: in.Watches,
		PostingsFrom:    in.AnswersFor,
		Load:            in.Load,
		ConfigRejected:  in.ConfigRejected,
		Headroom:        map[string]membership.Headroom{},
		GossipAddresses: in.Known,
		Demand:          map[string]float64{},
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
