package membership

import (
	"maps"
	"slices"
	"time"
)

// State is the lifecycle state of a daemon.
type State string

// States of a daemon, in the order it passes through them.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateLeaving  State = "leaving"
)

// Timing of heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats to the same peer.
	HeartbeatInterval = 500 * time.Millisecond
	// MemberTimeout is the time without heartbeats after which a peer is no
	// longer live. It is four heartbeat intervals, so that one lost and one
	// late heartbeat do not remove a peer.
	MemberTimeout = 4 * HeartbeatInterval
)

// LeaveHandlingTime is how long a leaving daemon continues to handle its
// upstreams: until the next handlers have been notified and their own
// heartbeats have reported their headroom. Without this overlap, no daemon
// would report headroom for these upstreams in between.
const LeaveHandlingTime = 2 * HeartbeatInterval

// HandlesUpstreams reports whether requests may be sent to the upstreams of the
// member at now.
func (m *Member) HandlesUpstreams(now time.Time) bool {
	return m.State == StateReady || m.State == StateLeaving && now.Sub(m.LeavingSince) < LeaveHandlingTime
}

// Headroom is the number of further requests of a service that a daemon can
// start now (Free), with the limit and the queue length.
type Headroom struct {
	Free, Limit, Queued int
}

// Member is the known state of one daemon. A value must not be modified after
// it was passed to a Table.
type Member struct {
	Instance, Host, Zone                     string
	State                                    State
	CallerAddress, PeerAddress, RelayAddress string
	Sequence                                 uint64
	ConfigVersion                            uint64
	// ConfigRejected is the configuration version that the daemon has received
	// and cannot read.
	ConfigRejected uint64
	PostingEpoch   uint64
	// Slots are the slots from which the daemon spends, by index within its
	// zone.
	Slots []int
	// HeldSlots are the same slots with their start times. The field is set
	// only in a daemon's own entry.
	HeldSlots    []HeldSlot
	Headroom     map[string]Headroom
	Demand       map[string]float64
	WatchesStore bool
	// Load is the used fraction of the host's own capacity, 0 to 1.
	Load float64
	// PostingsFrom lists the stopped instances whose postings this daemon
	// stores.
	PostingsFrom []string
	// ConfirmedAt is when ConfigVersion was last known to be the current
	// version in the store, by the clock of the daemon that stores this value.
	// The zero time means that it is not known.
	ConfirmedAt time.Time
	// HeartbeatAt is when the last heartbeat was received.
	HeartbeatAt time.Time
	// LeavingSince is when the first heartbeat with StateLeaving was received.
	// It is zero if the daemon is not leaving.
	LeavingSince time.Time
	// GossipAddresses are the peer addresses of some of the daemons from which
	// this daemon receives heartbeats.
	GossipAddresses []string
}

// Table holds the members from which this daemon receives heartbeats. It does
// not contain this daemon.
type Table struct {
	members map[string]Member
	// instanceByAddress holds the instance that last sent a heartbeat from each
	// peer address.
	instanceByAddress map[string]string
	lastHeartbeat     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]Member{}, instanceByAddress: map[string]string{}}
}

// Update applies the state that a member sent about itself, and reports whether
// it was applied. It ignores a state that arrives after a newer one of the same
// instance, and a new member if the table is full. A new instance replaces the
// previous instance on the same host.
func (t *Table) Update(m Member, now time.Time) bool {
	if previous, ok := t.members[m.Instance]; ok && previous.Sequence >= m.Sequence {
		return false
	}
	if _, known := t.members[m.Instance]; !known {
		t.removePredecessor(m)
		if len(t.members) >= maxContacts {
			return false
		}
	}
	m.HeartbeatAt = now
	m.LeavingSince = t.members[m.Instance].LeavingSince
	if m.State == StateLeaving && m.LeavingSince.IsZero() {
		m.LeavingSince = now
	}
	t.members[m.Instance] = m
	t.instanceByAddress[m.PeerAddress] = m.Instance
	t.lastHeartbeat = now
	return true
}

// removePredecessor removes the instance that had the address of successor
// before: two instances cannot share a host's address, so the previous one has
// stopped. An instance that is merely unresponsive is kept until RemoveExpired,
// because it may be paused.
func (t *Table) removePredecessor(successor Member) {
	predecessor, ok := t.instanceByAddress[successor.PeerAddress]
	if ok && successor.PeerAddress != "" && t.members[predecessor].Host == successor.Host {
		delete(t.members, predecessor)
	}
}

// LastHeartbeat returns when the last heartbeat of any member was received, or
// zero if there was none.
func (t *Table) LastHeartbeat() time.Time { return t.lastHeartbeat }

// All returns all members, including unresponsive ones, ordered by instance.
func (t *Table) All() []Member {
	var all []Member
	for _, instance := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[instance])
	}
	return all
}

// RemoveExpired removes members that have sent no heartbeat for longer than
// after.
func (t *Table) RemoveExpired(now time.Time, after time.Duration) {
	maps.DeleteFunc(t.members, func(_ string, m Member) bool {
		return now.Sub(m.HeartbeatAt) > after
	})
	maps.DeleteFunc(t.instanceByAddress, func(_, instance string) bool {
		_, known := t.members[instance]
		return !known
	})
}

// Live returns the members that sent a heartbeat within MemberTimeout, ordered
// by instance.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, instance := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[instance]; now.Sub(m.HeartbeatAt) <= MemberTimeout {
			live = append(live, m)
		}
	}
	return live
}

// Find returns the member with the given instance.
func (t *Table) Find(instance string) (Member, bool) {
	m, ok := t.members[instance]
	return m, ok
}
