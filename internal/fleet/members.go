package fleet

import (
	"time"

	"balsambarrow/internal/standby"
)

// unregisteredTTL is the time after which an unregistered host is removed, counted from
// its last heartbeat. The registration of a new host may reach this host later than its
// first heartbeats.
const unregisteredTTL = 5 * time.Second

// Member is another entry host.
type Member struct {
	Instance string
	Host     string
	Zone     string
	Region   string
	// CallerAddress is the address that callers connect to, and PeerAddress the one that
	// other entry hosts send packets to.
	CallerAddress string
	PeerAddress   string
	// TunnelAddress is where the host connects other hosts to upstreams; "" if it does not.
	TunnelAddress string
	// LinksDown reports whether the host itself reaches no upstreams.
	LinksDown bool
	// Ready reports whether the host is active: callers may be sent to it.
	Ready bool
	// Leaving reports whether the host has begun a planned stop.
	Leaving bool
	// Version of the configuration in force at the host.
	Version uint64
	// Registered reports whether the host had a valid registration as a host that holds
	// rate shares when it sent its last heartbeat.
	Registered bool
	// StoreReachable reports whether the host's last call to the store had succeeded.
	StoreReachable bool
	// Eligible reports whether the host could become active at once.
	Eligible bool
	Capacity standby.Capacity
	Load     standby.Load
	// Demand of each customer at the host, in requests per second.
	Demand map[string]float64

	sequence      uint64
	lastHeartbeat time.Time
	// registered reports whether the host's registration is in the store.
	registered bool
	// holdsShares reports whether that registration is of a host that holds rate shares.
	holdsShares bool
	// alive reports whether its heartbeats had not timed out at the last check.
	alive bool
	// demandKnown reports whether its last heartbeat included the demand of customers.
	demandKnown bool
}

// Members holds the known state of the other hosts. It is not safe for concurrent use.
type Members struct {
	// self is the instance of this daemon.
	self string
	// host is the host of this daemon. Earlier instances on this host have ended.
	host       string
	region     string
	byInstance map[string]*Member
	// ready is the number of other hosts that are active, and selfReady reports whether
	// this host is active.
	readyCount int
	selfReady  bool
	// generation grows with each change of the set of hosts and of their state other
	// than load and demand.
	generation uint64
	// demandGeneration grows with each change of the demand of customers.
	demandGeneration uint64
}

// NewMembers returns the members that the instance self, on the given host and region,
// knows at its start: none.
func NewMembers(self, host, region string) *Members {
	return &Members{self: self, host: host, region: region, byInstance: map[string]*Member{}}
}

// MemberChange reports that a host appeared, disappeared or began to leave, for the log.
type MemberChange struct {
	Member Member
	// Event is what happened: heard, leaving, replaced or forgotten.
	Event string
}

// ApplyHeartbeat updates the member that sent a heartbeat, and returns the changes for
// the log. Heartbeats of this instance, and those older than the last, are ignored;
// newer is false for them.
func (m *Members) ApplyHeartbeat(now time.Time, b *Heartbeat) (changes []MemberChange, newer bool) {
	if b.Instance == m.self || b.Instance == "" {
		return nil, false
	}
	known := m.byInstance[b.Instance]
	if known == nil {
		changes = m.removeEarlierInstances(b)
		known = &Member{Instance: b.Instance}
		m.byInstance[b.Instance] = known
	}
	if b.Sequence <= known.sequence {
		return changes, false
	}
	if !known.alive {
		changes = append(changes, MemberChange{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone, Ready: b.Ready}, "heard"})
	}
	if b.Leaving && !known.Leaving {
		changes = append(changes, MemberChange{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "leaving"})
	}
	if !known.alive || known.differs(b) {
		m.generation++
	}
	if b.Ready != known.Ready {
		m.updateReadyCount(b.Ready)
	}
	known.applyHeartbeat(now, b)
	m.applyDemand(known, b)
	return changes, true
}

// updateReadyCount updates the number of active hosts after a host became active, or ceased
// to be active.
func (m *Members) updateReadyCount(ready bool) {
	if ready {
		m.readyCount++
		return
	}
	m.readyCount--
}

// differs reports whether a heartbeat changes any state of its host that other hosts
// act on at once. Load and demand, which change with each heartbeat, do not count.
func (k *Member) differs(b *Heartbeat) bool {
	return k.Host != b.Host || k.Zone != b.Zone || k.Region != b.Region || k.CallerAddress != b.Callers || k.PeerAddress != b.Peers ||
		k.Ready != b.Ready || k.Leaving != b.Leaving || k.Eligible != b.Able || k.Registered != b.Registered ||
		k.StoreReachable != b.SeesStore || k.TunnelAddress != b.Tunnels || k.LinksDown != b.LinksDown
}

func (k *Member) applyHeartbeat(now time.Time, b *Heartbeat) {
	k.Host, k.Zone, k.Region = b.Host, b.Zone, b.Region
	k.CallerAddress, k.PeerAddress = b.Callers, b.Peers
	k.TunnelAddress, k.LinksDown = b.Tunnels, b.LinksDown
	k.Ready, k.Leaving, k.Version = b.Ready, b.Leaving, b.Version
	k.Eligible, k.Registered, k.StoreReachable = b.Able, b.Registered, b.SeesStore
	k.Capacity = standby.Capacity{Cores: float64(b.Cores), LinkMbps: float64(b.LinkMbps)}
	k.Load = standby.Load{RequestsPerSecond: float64(b.RequestsPerSecond), ResponseMbps: float64(b.AnswerMbps)}
	k.sequence, k.lastHeartbeat, k.alive = b.Sequence, now, true
}

// applyDemand replaces the demand of customers at a member by that of its heartbeat. A
// compact heartbeat omits the demand. The last known demand is then outdated and is
// dropped.
func (m *Members) applyDemand(k *Member, b *Heartbeat) {
	if k.demandKnown == b.Brief {
		k.demandKnown = !b.Brief
		m.demandGeneration++
	}
	if len(b.Demand) == 0 && len(k.Demand) == 0 {
		return
	}
	m.demandGeneration++
	k.Demand = make(map[string]float64, len(b.Demand))
	for _, d := range b.Demand {
		k.Demand[d.Customer] = float64(d.PerSecond)
	}
}

// removeEarlierInstances removes the earlier instances of a host that has restarted: they
// cannot be running.
func (m *Members) removeEarlierInstances(b *Heartbeat) []MemberChange {
	var changes []MemberChange
	for id, old := range m.byInstance {
		if old.Host == b.Host && old.sequence > 0 {
			m.remove(id)
			changes = append(changes, MemberChange{*old, "replaced"})
		}
	}
	return changes
}

func (m *Members) remove(id string) {
	if m.byInstance[id].Ready {
		m.updateReadyCount(false)
	}
	delete(m.byInstance, id)
	m.generation++
	m.demandGeneration++
}

// Expire removes unregistered hosts whose last heartbeat is unregisteredTTL or longer ago,
// and returns them. It also updates which of the remaining hosts are alive.
func (m *Members) Expire(now time.Time) []MemberChange {
	var changes []MemberChange
	for id, k := range m.byInstance {
		if !k.registered && now.Sub(k.lastHeartbeat) >= unregisteredTTL {
			m.remove(id)
			changes = append(changes, MemberChange{*k, "forgotten"})
			continue
		}
		if alive := k.isAlive(now, m.aliveTime(k)); alive != k.alive {
			k.alive = alive
			m.generation++
		}
	}
	return changes
}

// Generation returns a number that grows with each change of the set of hosts and of
// their state other than load and demand.
func (m *Members) Generation() uint64 { return m.generation }

// DemandGeneration returns a number that grows with each change of the demand of
// customers at other hosts.
func (m *Members) DemandGeneration() uint64 { return m.demandGeneration }
