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
}

// Registration is what a host writes into the store.
type Registration struct {
	Instance string `json:"instance"`
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Peers    string `json:"peers"`
}

// Members are the other hosts as this one knows them. It is not safe for
// concurrent use.
type Members struct {
	self string
	// host of this daemon; an earlier instance of it is gone.
	host string
	by   map[string]*Member
	// gap is the interval between heartbeats of a host that stands by, and
	// readyGap of one that takes callers.
	gap, readyGap time.Duration
}

// NewMembers returns what the instance self on host knows at its start.
func NewMembers(self, host string) *Members {
	return &Members{self: self, host: host, by: map[string]*Member{}, gap: Interval(1), readyGap: Interval(1)}
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
	if !known.alive(now, m.gapOf(known)) {
		changes = append(changes, Arrival{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "heard"})
	}
	if b.Leaving && !known.Leaving {
		changes = append(changes, Arrival{Member{Instance: b.Instance, Host: b.Host, Zone: b.Zone}, "leaving"})
	}
	known.Host, known.Zone, known.Region = b.Host, b.Zone, b.Region
	known.Callers, known.Peers = b.Callers, b.Peers
	known.Ready, known.Leaving, known.Version = b.Ready, b.Leaving, b.Version
	known.Able, known.Registered, known.SeesStore = b.Able, b.Registered, b.SeesStore
	known.Capacity = standby.Capacity{Cores: float64(b.Cores), LinkMbps: float64(b.LinkMbps)}
	known.Load = standby.Load{Requests: float64(b.RequestsPerSecond), AnswerMbps: float64(b.AnswerMbps)}
	known.sequence, known.heard = b.Sequence, now
	known.Demand = make(map[string]float64, len(b.Demand))
	for _, d := range b.Demand {
		known.Demand[d.Customer] = float64(d.PerSecond)
	}
	return changes
}

// replaceHost forgets earlier instances of a host that has started again: they
// cannot be running.
func (m *Members) replaceHost(b *Heartbeat) []Arrival {
	var changes []Arrival
	for id, old := range m.by {
		if old.Host == b.Host && old.sequence > 0 {
			delete(m.by, id)
			changes = append(changes, Arrival{*old, "replaced"})
		}
	}
	return changes
}

// List takes the registrations in the store over. One of an earlier instance of
// this host or of a host that is heard again is of a daemon that has ended.
func (m *Members) List(now time.Time, list []Registration) {
	listed := map[string]bool{}
	for _, r := range list {
		if r.Instance == m.self || r.Host == m.host || m.restarted(r) {
			continue
		}
		listed[r.Instance] = true
		if m.by[r.Instance] == nil {
			m.by[r.Instance] = &Member{Instance: r.Instance, Host: r.Host, Zone: r.Zone, Region: r.Region, Peers: r.Peers, heard: now.Add(-rememberFor)}
		}
	}
	for id, k := range m.by {
		k.registered = listed[id]
	}
}

func (m *Members) restarted(r Registration) bool {
	for id, k := range m.by {
		if id != r.Instance && k.Host == r.Host && k.sequence > 0 {
			return true
		}
	}
	return false
}

// Tick forgets hosts that are neither registered nor heard, and returns those
// that have just gone silent or were forgotten.
func (m *Members) Tick(now time.Time) []Arrival {
	var changes []Arrival
	for id, k := range m.by {
		if !k.registered && now.Sub(k.heard) >= rememberFor {
			delete(m.by, id)
			changes = append(changes, Arrival{*k, "forgotten"})
		}
	}
	m.gap, m.readyGap = Interval(len(m.by)+1), Interval(m.readyCount()+1)
	return changes
}

func (m *Members) readyCount() int {
	n := 0
	for _, k := range m.by {
		if k.Ready {
			n++
		}
	}
	return n
}

// Interval between this host's heartbeats. Those that take callers are few where
// hosts differ, and what they tell of customers and objects is needed sooner.
func (m *Members) Interval(ready bool) time.Duration {
	if ready {
		return m.readyGap
	}
	return m.gap
}

// gapOf is the interval between a member's heartbeats.
func (m *Members) gapOf(k *Member) time.Duration { return m.Interval(k.Ready) }

func (k *Member) alive(now time.Time, gap time.Duration) bool {
	return k.sequence > 0 && now.Sub(k.heard) < max(heardFor, 4*gap)
}

// Heard lists the hosts that are there, by instance.
func (m *Members) Heard(now time.Time) []Member {
	var out []Member
	for _, k := range m.by {
		if k.alive(now, m.gapOf(k)) {
			out = append(out, *k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
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

// Complete tells whether every host that may be spending has told what is asked
// for there.
func (m *Members) Complete() bool {
	for _, k := range m.by {
		if k.sequence == 0 {
			return false
		}
	}
	return true
}

// Peers lists where heartbeats go.
func (m *Members) Peers() []string {
	out := make([]string, 0, len(m.by))
	for _, k := range m.by {
		out = append(out, k.Peers)
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
