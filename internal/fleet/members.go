package fleet

import (
	"time"

	"balsambarrow/internal/standby"
)

// rememberFor is how long a host that is not registered is remembered after its last
// heartbeat. Its registration may be on the way.
const rememberFor = 5 * time.Second

// Member is another entry host.
type Member struct {
	Instance string
	Host     string
	Zone     string
	Region   string
	// Callers and Peers are its addresses.
	CallerAddress string
	PeerAddress   string
	Ready         bool
	Leaving       bool
	Version       uint64
	// Registered says that its registration stood when it told so.
	Registered bool
	// SeesStore says that its last call to the store had succeeded.
	StoreReachable bool
	// Able says that it could take callers at once; Ready that it does.
	Eligible bool
	Capacity standby.Capacity
	Load     standby.Load
	// Demand of customers there, in requests per second.
	Demand map[string]float64

	sequence   uint64
	heard      time.Time
	registered bool
	// spends says that its registration is that of a host that holds shares.
	spends bool
	// alive is whether it was there at the last look.
	alive bool
	// complete says that its last heartbeat told what customers ask for there.
	complete bool
}

// Members are the other hosts as this one knows them. It is not safe for
// concurrent use.
type Members struct {
	self string
	// host of this daemon; an earlier instance of it is gone.
	host   string
	region string
	by     map[string]*Member
	// ready is the number of hosts that take callers, and selfReady tells whether this
	// one does.
	ready     int
	selfReady bool
	// generation grows with each change of who is there and what may be asked of it.
	generation uint64
	// demandAt grows with each change of what customers ask for.
	demandAt uint64
}

// NewMembers returns what the instance self on a host of a region knows at its start.
func NewMembers(self, host, region string) *Members {
	return &Members{self: self, host: host, region: region, by: map[string]*Member{}}
}

// MemberChange says that a host appeared or disappeared, for the log.
type MemberChange struct {
	Member Member
	// What happened: heard, silent, left, replaced.
	What string
}

// ApplyHeartbeat takes a heartbeat in.
func (m *Members) ApplyHeartbeat(now time.Time, b *Heartbeat) []MemberChange {
	if b.Instance == m.self || b.Instance == "" {
		return nil
	}
	var changes []MemberChange
	known := m.by[b.Instance]
	if known == nil {
		changes = m.replaceHost(b)
		known = &Member{Instance: b.Instance}
		m.by[b.Instance] = known
	}
	if b.Sequence <= known.sequence {
		return changes
	}
	if !known.alive {
		changes = append(changes, MemberChange{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "heard"})
	}
	if b.Leaving && !known.Leaving {
		changes = append(changes, MemberChange{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "leaving"})
	}
	if !known.alive || known.differs(b) {
		m.generation++
	}
	if b.Ready != known.Ready {
		m.countReady(b.Ready)
	}
	known.applyHeartbeat(now, b)
	m.applyDemand(known, b)
	return changes
}

// countReady notes that a host has begun to take callers, or has ended it.
func (m *Members) countReady(begins bool) {
	if begins {
		m.ready++
		return
	}
	m.ready--
}

// differs tells whether a heartbeat says anything of its host that others go by at
// once; load and demand change with each.
func (k *Member) differs(b *Heartbeat) bool {
	return k.Host != b.Host || k.Zone != b.Zone || k.Region != b.Region || k.CallerAddress != b.Callers || k.PeerAddress != b.Peers ||
		k.Ready != b.Ready || k.Leaving != b.Leaving || k.Eligible != b.Able || k.Registered != b.Registered ||
		k.StoreReachable != b.SeesStore
}

func (k *Member) applyHeartbeat(now time.Time, b *Heartbeat) {
	k.Host, k.Zone, k.Region = b.Host, b.Zone, b.Region
	k.CallerAddress, k.PeerAddress = b.Callers, b.Peers
	k.Ready, k.Leaving, k.Version = b.Ready, b.Leaving, b.Version
	k.Eligible, k.Registered, k.StoreReachable = b.Able, b.Registered, b.SeesStore
	k.Capacity = standby.Capacity{Cores: float64(b.Cores), LinkMbps: float64(b.LinkMbps)}
	k.Load = standby.Load{RequestsPerSecond: float64(b.RequestsPerSecond), ResponseMbps: float64(b.AnswerMbps)}
	k.sequence, k.heard, k.alive = b.Sequence, now, true
}

// applyDemand takes over what customers ask for at a member. A brief heartbeat leaves it
// out; what was known of it is then of some time ago, and dropped.
func (m *Members) applyDemand(k *Member, b *Heartbeat) {
	if k.complete == b.Brief {
		k.complete = !b.Brief
		m.demandAt++
	}
	if len(b.Demand) == 0 && len(k.Demand) == 0 {
		return
	}
	m.demandAt++
	k.Demand = make(map[string]float64, len(b.Demand))
	for _, d := range b.Demand {
		k.Demand[d.Customer] = float64(d.PerSecond)
	}
}

// replaceHost forgets earlier instances of a host that has started again: they
// cannot be running.
func (m *Members) replaceHost(b *Heartbeat) []MemberChange {
	var changes []MemberChange
	for id, old := range m.by {
		if old.Host == b.Host && old.sequence > 0 {
			m.forget(id)
			changes = append(changes, MemberChange{*old, "replaced"})
		}
	}
	return changes
}

// forget drops a host.
func (m *Members) forget(id string) {
	if m.by[id].Ready {
		m.countReady(false)
	}
	delete(m.by, id)
	m.generation++
	m.demandAt++
}

// Expire forgets hosts that are neither registered nor heard, notes those that have
// gone silent, and returns those that were forgotten.
func (m *Members) Expire(now time.Time) []MemberChange {
	var changes []MemberChange
	for id, k := range m.by {
		if !k.registered && now.Sub(k.heard) >= rememberFor {
			m.forget(id)
			changes = append(changes, MemberChange{*k, "forgotten"})
			continue
		}
		if alive := k.isAlive(now, m.gapOf(k)); alive != k.alive {
			k.alive = alive
			m.generation++
		}
	}
	return changes
}

// Generation changes with who is there and what may be asked of them.
func (m *Members) Generation() uint64 { return m.generation }

// DemandGeneration changes with what customers ask for elsewhere.
func (m *Members) DemandGeneration() uint64 { return m.demandAt }
