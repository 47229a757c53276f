package daemon

import (
	"context"
	"slices"
	"time"

	"balsambarrow/internal/membership"
	"balsambarrow/internal/peer"
)

// callTimeout limits one control call to a peer.
const callTimeout = time.Second

// Timing of membership.
const (
	minHostListInterval = 2 * time.Second
	// hostListIntervalPerDaemon is multiplied by the number of daemons to get
	// the time between two reads of the host list, so that the fleet together
	// makes at most 50 calls a second. Daemons that the list shows late are
	// already known through gossip.
	hostListIntervalPerDaemon = 20 * time.Millisecond
	// maxConfirmationAge is the age of the configuration's confirmation above
	// which this daemon sends its heartbeats to all peers. The confirmation of
	// a zone's watcher is at most watchDuration plus watchMaxLag old, and that
	// of a peer which receives it from the watcher is half a heartbeat interval
	// older.
	maxConfirmationAge = watchDuration + watchMaxLag + membership.HeartbeatInterval
	// memberRetention is how long the last report of an unresponsive peer is
	// kept for the fleet status and for posting ids. Long before that, the peer
	// no longer counts as live.
	memberRetention = time.Minute
)

// memberState is the control thread's state for membership.
type memberState struct {
	table    *membership.Table
	contacts *membership.Contacts
	// assignedUpstreams lists the upstreams last assigned to this daemon.
	assignedUpstreams []string
	// leavingSince is when the planned stop of this daemon began.
	leavingSince    time.Time
	sequence        uint64
	nextHeartbeatAt time.Time
	nextHostReadAt  time.Time
}

func newMemberState() memberState { return memberState{table: membership.NewTable()} }

// contacts returns the contact set, which is created at the first use because
// the daemon's own address is known only after its listeners are open.
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
		c.members.nextHostReadAt = now.Add(max(minHostListInterval, fleetSize*hostListIntervalPerDaemon))
		c.d.spawn(c.d.refreshHostList)
	}
	if !now.Before(c.members.nextHeartbeatAt) {
		urgent := c.members.nextHeartbeatAt.IsZero()
		c.members.nextHeartbeatAt = now.Add(membership.HeartbeatInterval)
		c.sendHeartbeats(urgent, now)
	}
}

// heartbeatReceived reports that the state of a peer has arrived, in a
// heartbeat or in the response to one.
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

// heartbeatAnswered reports that the daemon at address has responded to a
// heartbeat of this daemon with its own state.
type heartbeatAnswered struct {
	address string
	member  membership.Member
}

func (m heartbeatAnswered) apply(c *control) {
	c.contacts().RecordResponse(m.address, time.Now())
	heartbeatReceived{m.member}.apply(c)
}

// hostListRead reports that the host list of the platform was read.
type hostListRead struct{ hosts []membership.Host }

func (m hostListRead) apply(c *control) {
	addresses := make([]string, 0, len(m.hosts))
	for _, h := range m.hosts {
		addresses = append(addresses, h.PeerAddress)
	}
	c.contacts().SetHostList(addresses)
	c.recordHostList(m.hosts, time.Now())
}

// recordContact records the address of a member and the addresses that it
// knows.
func (c *control) recordContact(m membership.Member, now time.Time) {
	contacts := c.contacts()
	contacts.AddGossip(m.GossipAddresses, now)
	if m.State == membership.StateLeaving {
		contacts.Remove(m.PeerAddress)
		return
	}
	contacts.RecordHeartbeat(m.PeerAddress, now)
}

// sendHeartbeats sends a heartbeat to every address that may belong to a
// daemon. An urgent heartbeat reports a change and goes to all of them.
func (c *control) sendHeartbeats(urgent bool, now time.Time) {
	c.members.sequence++
	self := c.selfMember(now)
	self.GossipAddresses = c.contacts().Gossip(now)
	message := memberToWire(self)
	for _, address := range c.heartbeatTargets(urgent, now) {
		c.d.spawn(func(ctx context.Context) { c.d.sendHeartbeat(ctx, address, message) })
	}
}

// heartbeatTargets returns the addresses to send a heartbeat to. Unless it is
// urgent, the addresses that have just exchanged a heartbeat with this daemon
// are left out.
//
// Only the response to a heartbeat that a daemon sent itself confirms its
// configuration (see confirmationTime). The heartbeats of two daemons keep the
// order in which they started. A daemon whose peers always send first would
// hardly ever send a heartbeat itself. If it were then partitioned from the
// store, it would reject the requests of customers with a staleness limit,
// although its peers know that its version is the newest. Therefore a daemon
// sends to all peers while its configuration has not been confirmed for longer
// than maxConfirmationAge.
func (c *control) heartbeatTargets(urgent bool, now time.Time) []string {
	addresses := c.dueAddresses(now)
	if urgent || now.Sub(c.config.confirmedAt) > maxConfirmationAge {
		return addresses
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return c.contacts().ExchangedRecently(address, now) })
}

// dueAddresses returns the contacts that are due, and in addition the slot
// holders named by the store. A holder must be contacted before its slots are
// taken.
func (c *control) dueAddresses(now time.Time) []string {
	due := c.contacts().HeartbeatTargets(now)
	for _, address := range c.slots.holderAddresses {
		if address != c.d.identity.PeerAddress && !slices.Contains(due, address) {
			due = append(due, address)
		}
	}
	return due
}

// peerAddresses returns the addresses of all daemons that may be running.
func (c *control) peerAddresses() map[string]bool { return c.contacts().All() }

func (d *Daemon) sendHeartbeat(ctx context.Context, address string, message *peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := peer.NewDRPCMembershipClient(d.conns.Conn(ctx, address)).Beat(ctx, message)
	if err != nil {
		d.log.Debug("heartbeat_failed", "peer", address, "err", err)
		return
	}
	member := memberFromWire(reply)
	member.ConfirmedAt = confirmationTime(sentAt, reply.ConfirmedAgeMs)
	d.control.send(heartbeatAnswered{address: address, member: member})
}

// Beat responds to a peer's heartbeat. It implements peer.DRPCMembershipServer.
func (d *Daemon) Beat(_ context.Context, in *peer.Heartbeat) (*peer.Heartbeat, error) {
	d.control.send(heartbeatReceived{memberFromWire(in)})
	return memberToWire(d.view.Load().Self), nil
}

func (d *Daemon) refreshHostList(ctx context.Context) {
	if hosts, ok := d.readHosts(ctx); ok {
		d.control.send(hostListRead{hosts})
	}
}

// readHosts reads the host list. It returns false if the store does not
// respond.
func (d *Daemon) readHosts(ctx context.Context) ([]membership.Host, bool) {
	hosts, unreadable, err := membership.ListHosts(ctx, d.store)
	if err != nil {
		d.log.Debug("host_list_not_read", "err", err)
		return nil, false
	}
	for _, key := range unreadable {
		d.log.Warn("host_entry_invalid", "key", key)
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
