package fleet

import (
	"slices"
	"sort"
	"time"

	"balsambarrow/internal/standby"
)

const (
	// heardFor is how long a host counts as there after a heartbeat: four
	// heartbeats at the shortest interval and a lost one.
	heardFor = 1300 * time.Millisecond
	// standbyInterval is the least time between heartbeats to a host that stands by,
	// where there are some: callers keep an answer of the directory for longer.
	standbyInterval = time.Second
	// FarRounds is the number of heartbeats to hosts that stand by in a host's region
	// for one to those of other regions: they need it only if their own region has none.
	FarRounds = 4
	// intervalsMissed is the number of intervals without a heartbeat after which a
	// host counts as silent.
	intervalsMissed = 4
	// rememberFor is how long a host that is not registered is remembered
	// after its last heartbeat. Its registration may be on the way.
	rememberFor = 5 * time.Second
)

// Member is another entry host.
type Member struct {
	Instance string
	Host     string
	Zone     string
	Region   string
	// Callers and Peers are its addresses.
	Callers string
	Peers   string
	Ready   bool
	Leaving bool
	Version uint64
	// Registered says that its registration stood when it told so.
	Registered bool
	// SeesStore says that its last call to the store had succeeded.
	SeesStore bool
	// Able says that it could take callers at once; Ready that it does.
	Able     bool
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

// Registration is what a host writes into the store.
type Registration struct {
	Instance string  `json:"instance"`
	Host     string  `json:"host"`
	Zone     string  `json:"zone"`
	Region   string  `json:"region"`
	Peers    string  `json:"peers"`
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// StartedMs is when the instance started, by its own clock. Of two registrations of
	// a host, the one that started earlier has ended.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Spends says that the host holds shares of customers' rates.
	Spends bool `json:"spends,omitempty"`
}

func (r Registration) capacity() standby.Capacity {
	return standby.Capacity{Cores: r.Cores, LinkMbps: r.LinkMbps}
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

// Arrival says that a host appeared or disappeared, for the log.
type Arrival struct {
	Member Member
	// What happened: heard, silent, left, replaced.
	What string
}

// Hear takes a heartbeat in.
func (m *Members) Hear(now time.Time, b *Heartbeat) []Arrival {
	if b.Instance == m.self || b.Instance == "" {
		return nil
	}
	var changes []Arrival
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
		changes = append(changes, Arrival{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "heard"})
	}
	if b.Leaving && !known.Leaving {
		changes = append(changes, Arrival{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "leaving"})
	}
	if !known.alive || known.differs(b) {
		m.generation++
	}
	if b.Ready != known.Ready {
		m.countReady(b.Ready)
	}
	known.take(now, b)
	m.takeDemand(known, b)
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
	return k.Host != b.Host || k.Zone != b.Zone || k.Region != b.Region || k.Callers != b.Callers || k.Peers != b.Peers ||
		k.Ready != b.Ready || k.Leaving != b.Leaving || k.Able != b.Able || k.Registered != b.Registered ||
		k.SeesStore != b.SeesStore
}

func (k *Member) take(now time.Time, b *Heartbeat) {
	k.Host, k.Zone, k.Region = b.Host, b.Zone, b.Region
	k.Callers, k.Peers = b.Callers, b.Peers
	k.Ready, k.Leaving, k.Version = b.Ready, b.Leaving, b.Version
	k.Able, k.Registered, k.SeesStore = b.Able, b.Registered, b.SeesStore
	k.Capacity = standby.Capacity{Cores: float64(b.Cores), LinkMbps: float64(b.LinkMbps)}
	k.Load = standby.Load{Requests: float64(b.RequestsPerSecond), AnswerMbps: float64(b.AnswerMbps)}
	k.sequence, k.heard, k.alive = b.Sequence, now, true
}

// takeDemand takes over what customers ask for at a member. What a brief heartbeat
// leaves out has been forgotten once full ones come again.
func (m *Members) takeDemand(k *Member, b *Heartbeat) {
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
func (m *Members) replaceHost(b *Heartbeat) []Arrival {
	var changes []Arrival
	for id, old := range m.by {
		if old.Host == b.Host && old.sequence > 0 {
			m.forget(id)
			changes = append(changes, Arrival{*old, "replaced"})
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

// List takes the registrations in the store over. One of an earlier instance of
// this host or of a host that is heard again is of a daemon that has ended.
func (m *Members) List(now time.Time, list []Registration) {
	listed := m.latest(list)
	for instance, r := range listed {
		k := m.by[instance]
		if k == nil {
			k = &Member{
				Instance: instance, Host: r.Host, Zone: r.Zone, Region: r.Region, Peers: r.Peers,
				Capacity: r.capacity(), heard: now.Add(-rememberFor),
			}
			m.by[instance] = k
			m.generation++
		}
		k.spends = r.Spends
	}
	for id, k := range m.by {
		if _, ok := listed[id]; k.registered != ok {
			k.registered = ok
			m.generation++
		}
	}
}

// latest is the registration of the last instance of each other host, by instance.
func (m *Members) latest(list []Registration) map[string]Registration {
	heard := m.heardByHost()
	byHost := make(map[string]Registration, len(list))
	for _, r := range list {
		if r.Instance == m.self || r.Host == m.host {
			continue
		}
		if instance, ok := heard[r.Host]; ok && instance != r.Instance {
			continue
		}
		if known, ok := byHost[r.Host]; !ok || r.StartedMs > known.StartedMs {
			byHost[r.Host] = r
		}
	}
	out := make(map[string]Registration, len(byHost))
	for _, r := range byHost {
		out[r.Instance] = r
	}
	return out
}

// heardByHost is the instance of each host that has been heard.
func (m *Members) heardByHost() map[string]string {
	out := make(map[string]string, len(m.by))
	for id, k := range m.by {
		if k.sequence > 0 {
			out[k.Host] = id
		}
	}
	return out
}

// Tick forgets hosts that are neither registered nor heard, notes those that have
// gone silent, and returns those that were forgotten.
func (m *Members) Tick(now time.Time) []Arrival {
	var changes []Arrival
	for id, k := range m.by {
		if !k.registered && now.Sub(k.heard) >= rememberFor {
			m.forget(id)
			changes = append(changes, Arrival{*k, "forgotten"})
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

// Interval between this host's heartbeats to those that take callers. Those that
// take callers themselves are few where hosts differ, and what they tell of customers
// and objects is needed sooner.
func (m *Members) Interval(ready bool) time.Duration {
	if ready {
		return Interval(m.ready + 1)
	}
	return Interval(len(m.by) + 1)
}

// IntervalToStandby is the time between the heartbeats of a host that takes callers to
// those of its region that stand by. They need to know who takes callers, and little
// else.
func (m *Members) IntervalToStandby() time.Duration { return max(standbyInterval, 2*m.Interval(true)) }

// SetReady says whether this host takes callers; the others then send it heartbeats
// more often.
func (m *Members) SetReady(ready bool) { m.selfReady = ready }

// gapOf is the interval between a member's heartbeats to this host.
func (m *Members) gapOf(k *Member) time.Duration {
	switch {
	case m.selfReady || !k.Ready:
		return m.Interval(k.Ready)
	case k.Region == m.region:
		return m.IntervalToStandby()
	}
	return FarRounds * m.IntervalToStandby()
}

func (k *Member) isAlive(now time.Time, gap time.Duration) bool {
	return k.sequence > 0 && now.Sub(k.heard) < max(heardFor, intervalsMissed*gap)
}

// Heard lists the hosts that are there, by instance.
func (m *Members) Heard() []Member {
	var out []Member
	for _, k := range m.by {
		if k.alive {
			out = append(out, *k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Unheard lists the hosts of a region that are registered, and that this one does not
// hear because both stand by. They may be taken to live.
func (m *Members) Unheard(region string) []Member {
	var out []Member
	for _, k := range m.by {
		if k.registered && !k.alive && !k.Ready && k.Region == region {
			out = append(out, *k)
		}
	}
	return out
}

// Count is the number of hosts that may be spending what the fleet shares, this
// one included.
func (m *Members) Count() int { return len(m.by) + 1 }

// Demand is what customers ask for at all other hosts that may be serving them.
func (m *Members) Demand() map[string]float64 {
	out := map[string]float64{}
	for _, k := range m.by {
		for customer, rate := range k.Demand {
			out[customer] += rate
		}
	}
	return out
}

// Regions lists the regions of the hosts that may be spending.
func (m *Members) Regions() []string {
	var out []string
	for _, k := range m.by {
		if !slices.Contains(out, k.Region) {
			out = append(out, k.Region)
		}
	}
	return out
}

// Complete tells whether every host that holds shares has told what is asked for
// there.
func (m *Members) Complete() bool {
	for _, k := range m.by {
		if k.sequence == 0 && k.spends || k.Ready && !k.complete {
			return false
		}
	}
	return true
}

// ReadyPeers lists the addresses of the hosts that take callers, or are about to.
func (m *Members) ReadyPeers() []string {
	return m.peers((*Member).takesCallers)
}

// StandbyPeers lists the addresses of the others, of this host's region or of all.
func (m *Members) StandbyPeers(all bool) []string {
	return m.peers(func(k *Member) bool { return !k.takesCallers() && (all || k.Region == m.region) })
}

// takesCallers tells whether callers are sent there, as far as is known. One that has
// registered to hold shares and was never heard may not know this host yet.
func (k *Member) takesCallers() bool { return k.Ready || k.spends && k.sequence == 0 }

func (m *Members) peers(which func(*Member) bool) []string {
	out := make([]string, 0, len(m.by))
	for _, k := range m.by {
		if which(k) {
			out = append(out, k.Peers)
		}
	}
	return out
}

// Address of a member for packets; "" if it is not known.
func (m *Members) Address(instance string) string {
	if k := m.by[instance]; k != nil {
		return k.Peers
	}
	return ""
}
