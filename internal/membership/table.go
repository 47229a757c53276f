package membership

import (
	"maps"
	"slices"
	"time"
)

// State of a daemon.
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
	// MemberTimeout is the silence after which a peer counts as gone: four beats,
	// so that one lost message and a slow one do not remove it.
	MemberTimeout = 4 * HeartbeatInterval
)

// LeaveHandlingTime is how long a leaving daemon goes on handling its upstreams: until
// the next handlers have heard of it and their own heartbeats have shown their
// room. Without it nobody has room for those upstreams in between.
const LeaveHandlingTime = 2 * HeartbeatInterval

// HandlesUpstreams tells whether requests may be sent to a member's upstreams at now.
func (m *Member) HandlesUpstreams(now time.Time) bool {
	return m.State == StateReady || m.State == StateLeaving && now.Sub(m.LeavingSince) < LeaveHandlingTime
}

// Headroom is how many more requests of a service a daemon can start now.
type Headroom struct {
	Free, Limit, Queued int
}

// Member is what is known of one daemon. Values are not modified after they
// were given to a Table.
type Member struct {
	Instance, Host, Zone                     string
	State                                    State
	CallerAddress, PeerAddress, RelayAddress string
	Sequence                                 uint64
	ConfigVersion                            uint64
	// ConfigRejected is a version that the daemon has met and cannot read.
	ConfigRejected uint64
	PostingEpoch   uint64
	// Slots are the slots that it spends from, by index in its zone.
	Slots []int
	// HeldSlots are the same with their times. Only a daemon's own account has it.
	HeldSlots    []HeldSlot
	Headroom     map[string]Headroom
	Demand       map[string]float64
	WatchesStore bool
	// Load is the part of the host's own room that is in use, 0 to 1.
	Load float64
	// PostingsFrom lists the stopped instances whose postings it remembers.
	PostingsFrom []string
	// ConfirmedAt is when ConfigVersion was last known to be the store's, by
	// the clock of the daemon that holds this value; zero: not known.
	ConfirmedAt time.Time
	HeartbeatAt time.Time
	// LeavingSince is when it was first heard to leave; zero if it does not.
	LeavingSince time.Time
	// GossipAddresses are peers addresses of some daemons that it hears.
	GossipAddresses []string
}

// Table holds the members that this daemon hears of, without itself.
type Table struct {
	members map[string]Member
	// byAddress names the instance last heard at each peers address.
	byAddress map[string]string
	lastHeard time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[string]Member{}, byAddress: map[string]string{}} }

// Update notes a member's own account of itself. An account that arrives after
// a newer one of the same instance is dropped; a new instance on the same
// host replaces the old one. It reports whether the account is the newest.
func (t *Table) Update(m Member, now time.Time) bool {
	if old, ok := t.members[m.Instance]; ok && old.Sequence >= m.Sequence {
		return false
	}
	if _, known := t.members[m.Instance]; !known {
		t.replace(m)
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
	t.byAddress[m.PeerAddress] = m.Instance
	t.lastHeard = now
	return true
}

// replace drops the instance that had a member's address before: it is
// certainly dead. One that is merely silent is remembered until RemoveExpired, since
// it may be paused.
func (t *Table) replace(by Member) {
	old, ok := t.byAddress[by.PeerAddress]
	if ok && by.PeerAddress != "" && t.members[old].Host == by.Host {
		delete(t.members, old)
	}
}

// LastHeartbeat is when any member was heard last; zero if none ever was.
func (t *Table) LastHeartbeat() time.Time { return t.lastHeard }

// All returns every member that is remembered, by instance.
func (t *Table) All() []Member {
	var all []Member
	for _, instance := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[instance])
	}
	return all
}

// RemoveExpired drops members that have been silent for longer than after.
func (t *Table) RemoveExpired(now time.Time, after time.Duration) {
	maps.DeleteFunc(t.members, func(_ string, m Member) bool {
		return now.Sub(m.HeartbeatAt) > after
	})
	maps.DeleteFunc(t.byAddress, func(_, instance string) bool {
		_, known := t.members[instance]
		return !known
	})
}

// Live returns the members heard within MemberTimeout, by instance.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, instance := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[instance]; now.Sub(m.HeartbeatAt) <= MemberTimeout {
			live = append(live, m)
		}
	}
	return live
}

// Find returns a member by its instance.
func (t *Table) Find(instance string) (Member, bool) {
	m, ok := t.members[instance]
	return m, ok
}
