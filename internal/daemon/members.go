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
	hostListInterval = 2 * time.Second
	// hostListIntervalPerDaemon is a daemon's part of the time between two readings of the
	// host list: the fleet together makes 50 calls a second at most. What the
	// list shows late is known by gossip before.
	hostListIntervalPerDaemon = 20 * time.Millisecond
	// maxConfirmationAge is the age of the configuration's confirmation from which
	// all peers are asked: a watcher's confirmation is up to watchDuration and watchMaxLag
	// old, and a peer that asks it in turn half a heartbeat more.
	maxConfirmationAge = watchDuration + watchMaxLag + membership.HeartbeatInterval
	// memberRetention keeps a silent peer's last account for status and posting
	// ids; it no longer counts as live long before.
	memberRetention = time.Minute
)

// memberState is the control thread's part for membership.
type memberState struct {
	table    *membership.Table
	contacts *membership.Contacts
	// assignedUpstreams are the upstreams that this daemon was last assigned.
	assignedUpstreams []string
	// leavingSince is when this daemon's planned stop began.
	leavingSince    time.Time
	sequence        uint64
	nextHeartbeatAt time.Time
	nextHostReadAt  time.Time
}

func newMemberState() memberState { return memberState{table: membership.NewTable()} }

// contacts is made at the first use: the daemon's own address is known
// only once it listens.
func (c *control) contacts() *membership.Contacts {
	if c.members.contacts == nil {
		c.members.contacts = membership.NewContacts(c.d.identity.PeerAddress)
	}
	return c.members.contacts
}

func (c *control) tickMembers(now time.Time) {
	c.members.table.RemoveExpired(now, memberRetention)
	if !now.Before(c.members.nextHostReadAt) {
		fleetSize := time.Duration(len(c.members.table.All()))
		c.members.nextHostReadAt = now.Add(max(hostListInterval, fleetSize*hostListIntervalPerDaemon))
		c.d.spawn(c.d.refreshHostList)
	}
	if !now.Before(c.members.nextHeartbeatAt) {
		urgent := c.members.nextHeartbeatAt.IsZero()
		c.members.nextHeartbeatAt = now.Add(membership.HeartbeatInterval)
		c.sendHeartbeats(urgent, now)
	}
}

// heartbeatReceived: a peer's account of itself arrived.
type heartbeatReceived struct{ member membership.Member }

func (m heartbeatReceived) apply(c *control) {
	now := time.Now()
	previous, known := c.members.table.Find(m.member.Instance)
	newest := c.members.table.Update(m.member, now)
	if !known || previous.State != m.member.State {
		c.publishPending = true
	}
	c.recordContact(m.member, now)
	if newest && m.member.Zone == c.d.identity.Zone {
		c.releaseContestedSlots(m.member, now)
	}
	c.recordHostReport(m.member, now)
	c.handleConfigReport(m.member, now)
}

// heartbeatAnswered: the daemon at address has answered a heartbeat with its account.
type heartbeatAnswered struct {
	address string
	member  membership.Member
}

func (m heartbeatAnswered) apply(c *control) {
	c.contacts().RecordResponse(m.address, time.Now())
	heartbeatReceived{m.member}.apply(c)
}

// hostListRead: the platform's host list was read.
type hostListRead struct{ hosts []membership.Host }

func (m hostListRead) apply(c *control) {
	addresses := make([]string, 0, len(m.hosts))
	for _, h := range m.hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	c.contacts().SetHostList(addresses)
	c.recordHostList(m.hosts, time.Now())
}

// recordContact notes where a member is and whom it hears.
func (c *control) recordContact(m membership.Member, now time.Time) {
	contacts := c.contacts()
	contacts.AddGossip(m.GossipAddresses, now)
	if m.State == membership.StateLeaving {
		contacts.Remove(m.PeerAddress)
		return
	}
	contacts.RecordHeartbeat(m.PeerAddress, now)
}

// sendHeartbeats sends a heartbeat to every address that may be a daemon's.
func (c *control) sendHeartbeats(urgent bool, now time.Time) {
	c.members.sequence++
	self := c.selfMember(now)
	self.GossipAddresses = c.contacts().Gossip(now)
	message := memberToWire(self)
	for _, address := range c.heartbeatTargets(urgent, now) {
		c.d.spawn(func(ctx context.Context) { c.d.sendHeartbeat(ctx, address, message) })
	}
}

// heartbeatTargets are the addresses to send a heartbeat to. Without news it leaves
// those out that have exchanged one with this daemon just now.
//
// Only the answer to a heartbeat of its own confirms a daemon's configuration
// (see confirmationTime). Two daemons keep the order in which they began: one whose
// peers always beat first would hardly ask any of them, and where it is
// cut off from the store it would refuse customers with a bound on staleness
// although peers know the version to be the newest. So it asks all of them
// while its configuration is unconfirmed for longer than maxConfirmationAge.
func (c *control) heartbeatTargets(urgent bool, now time.Time) []string {
	addresses := c.dueAddresses(now)
	if urgent || now.Sub(c.config.confirmedAt) > maxConfirmationAge {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return c.contacts().ExchangedRecently(address, now) })
}

// dueAddresses adds to the contacts the holders that the store names: they
// are asked before their slots are taken.
func (c *control) dueAddresses(now time.Time) []string {
	due := c.contacts().HeartbeatTargets(now)
	for _, address := range c.slots.holderAddresses {
		if address != c.d.identity.PeerAddress && !slices.Contains(due, address) {
			due = append(due, address)
		}
	}
	return due
}

// peerAddresses are the addresses of all daemons that may be there.
func (c *control) peerAddresses() map[string]bool { return c.contacts().All() }

func (d *Daemon) sendHeartbeat(ctx context.Context, address string, message *peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := peer.NewDRPCMembershipClient(d.conns.Conn(ctx, address)).Beat(ctx, message)
	if err != nil {
		d.log.Debug("beat_failed", "peer", address, "err", err)
		return
	}
	member := memberFromWire(reply)
	member.ConfirmedAt = confirmationTime(sentAt, reply.ConfirmedAgeMs)
	d.control.send(heartbeatAnswered{address: address, member: member})
}

// Beat answers a peer's heartbeat; it implements peer.DRPCMembershipServer.
func (d *Daemon) Beat(_ context.Context, in *peer.Heartbeat) (*peer.Heartbeat, error) {
	d.control.send(heartbeatReceived{memberFromWire(in)})
	return memberToWire(d.view.Load().Self), nil
}

func (d *Daemon) refreshHostList(ctx context.Context) {
	if hosts, ok := d.readHosts(ctx); ok {
		d.control.send(hostListRead{hosts})
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

func memberToWire(m membership.Member) *peer.Heartbeat {
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
	for service, headroom := range m.Headroom {
		out.Headroom = append(out.Headroom, &peer.Headroom{
			Service: service, Free: uint32(headroom.Free), Limit: uint32(headroom.Limit), Queued: uint32(headroom.Queued),
		})
	}
	for name, perSecond := range m.Demand {
		out.Demand = append(out.Demand, &peer.Demand{Quota: name, PerSecond: perSecond})
	}
	return out
}

func memberFromWire(in *peer.Heartbeat) membership.Member {
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
	for _, headroom := range in.Headroom {
		m.Headroom[headroom.Service] = membership.Headroom{
			Free: int(headroom.Free), Limit: int(headroom.Limit), Queued: int(headroom.Queued),
		}
	}
	for _, demand := range in.Demand {
		m.Demand[demand.Quota] = demand.PerSecond
	}
	return m
}
