package fleet

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/standby"
)

// How standbys learn which hosts are active.
//
// Heartbeats of each active host to each standby grow with the product of both. An active host
// therefore sends them to standbys only while its region has few others. Otherwise one active host
// of the region reports the digest of all active hosts to each standby, and the hosts themselves if
// the standby knows others.

// ActiveState is what standbys have to know of an active host.
type ActiveState struct {
	Instance string
	// Leaving, StoreReachable and Registered are those of Member.
	Leaving, StoreReachable, Registered bool
}

// hash returns the hash by which an active host enters the digest.
func (s ActiveState) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprint(s.Instance, s.Leaving, s.StoreReachable, s.Registered))
}

func (k *Member) activeState() ActiveState {
	return ActiveState{k.Instance, k.Leaving, k.StoreReachable, k.Registered}
}

// ActiveDigest returns a digest of the active hosts that are alive, without this host. It does
// not depend on their order.
func (m *Members) ActiveDigest() uint64 {
	var sum uint64
	for _, k := range m.byInstance {
		if k.alive && k.Ready {
			sum ^= k.activeState().hash()
		}
	}
	return sum
}

// AddToActiveDigest returns a digest of other active hosts with this host added.
func AddToActiveDigest(digest uint64, s ActiveState) uint64 { return digest ^ s.hash() }

// ActiveHeartbeats returns compact heartbeats of the other active hosts that are alive, for a
// standby that knows others.
func (m *Members) ActiveHeartbeats() []*Heartbeat {
	var out []*Heartbeat
	for _, k := range m.byInstance {
		if k.alive && k.Ready {
			out = append(out, k.heartbeat())
		}
	}
	return out
}

func (k *Member) heartbeat() *Heartbeat {
	return &Heartbeat{
		Instance: k.Instance, Host: k.Host, Zone: k.Zone, Region: k.Region, Callers: k.CallerAddress, Peers: k.PeerAddress,
		Tunnels: k.TunnelAddress, LinksDown: k.LinksDown,
		Sequence: k.sequence, Ready: k.Ready, Leaving: k.Leaving, Version: k.Version, Able: k.Eligible, Registered: k.Registered,
		SeesStore: k.StoreReachable, Cores: float32(k.Capacity.Cores), LinkMbps: float32(k.Capacity.LinkMbps), Brief: true,
	}
}

// ActiveLoad returns the total load of the other active hosts of this host's region.
func (m *Members) ActiveLoad() standby.Load {
	var sum standby.Load
	for _, k := range m.byInstance {
		if k.alive && k.Ready && k.Region == m.region {
			sum.RequestsPerSecond += k.Load.RequestsPerSecond
			sum.ResponseMbps += k.Load.ResponseMbps
		}
	}
	return sum
}

// ApplyActiveSummary updates the active hosts from the summary of one of them, and returns the
// changes for the log.
func (m *Members) ApplyActiveSummary(now time.Time, s *ActiveSummary) []MemberChange {
	var changes []MemberChange
	if len(s.Hosts) > 0 {
		changes = m.applyActiveHosts(now, s.Hosts)
	}
	if m.ActiveDigest() == s.Digest {
		m.confirmActive(now)
	}
	if s.Region == m.region {
		m.spreadLoad(standby.Load{RequestsPerSecond: float64(s.RequestsPerSecond), ResponseMbps: float64(s.AnswerMbps)})
	}
	return changes
}

// applyActiveHosts applies the heartbeats of all active hosts that the sender knows. The others
// are no longer alive.
func (m *Members) applyActiveHosts(now time.Time, hosts []*Heartbeat) []MemberChange {
	var changes []MemberChange
	reported, instances := map[string]bool{}, m.instancesByHost()
	for _, b := range hosts {
		reported[b.Instance] = true
		if known, ok := instances[b.Host]; ok && known != b.Instance && m.byInstance[known].alive {
			// The host has restarted, and the sender does not know it yet.
			continue
		}
		more, _ := m.ApplyHeartbeat(now, b)
		changes = append(changes, more...)
		if k := m.byInstance[b.Instance]; k != nil && !k.alive && k.sequence == b.Sequence {
			k.lastHeartbeat, k.alive = now, true
			m.generation++
		}
	}
	for id, k := range m.byInstance {
		// A heartbeat that arrived lately may be newer than the report.
		if k.Ready && k.alive && !reported[id] && now.Sub(k.lastHeartbeat) >= minAliveTime {
			k.lastHeartbeat, k.alive = time.Time{}, false
			m.generation++
		}
	}
	return changes
}

// confirmActive records that the known active hosts are alive.
func (m *Members) confirmActive(now time.Time) {
	for _, k := range m.byInstance {
		if k.alive && k.Ready {
			k.lastHeartbeat = now
		}
	}
}

// spreadLoad distributes the total load of the region's active hosts among them. Only the total
// is used.
func (m *Members) spreadLoad(total standby.Load) {
	var active []*Member
	for _, k := range m.byInstance {
		if k.alive && k.Ready && k.Region == m.region {
			active = append(active, k)
		}
	}
	for _, k := range active {
		n := float64(len(active))
		k.Load = standby.Load{RequestsPerSecond: total.RequestsPerSecond / n, ResponseMbps: total.ResponseMbps / n}
	}
}
