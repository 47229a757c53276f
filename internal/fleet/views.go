package fleet

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Alive returns the hosts that are alive, sorted by instance.
func (m *Members) Alive() []Member {
	var out []Member
	for _, k := range m.byInstance {
		if k.alive {
			out = append(out, *k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// PresumedStandbys returns the hosts of a region that are registered and send no
// heartbeats to this host, because standby hosts send none to each other. They are
// presumed alive.
func (m *Members) PresumedStandbys(region string) []Member {
	var out []Member
	for _, k := range m.byInstance {
		if k.registered && !k.alive && !k.Ready && k.Region == region {
			out = append(out, *k)
		}
	}
	return out
}

// Count returns the number of hosts that may be using the budgets of the fleet, this
// host included.
func (m *Members) Count() int { return len(m.byInstance) + 1 }

// HeardFraction returns the fraction of the hosts of this region that hold rate shares whose heartbeats
// arrive, this host included. The others may be on the other side of a network partition, where a host
// of theirs owns the region's buckets: the fractions of the two sides add up to one. Hosts that were
// never heard do not count: after a loss of all hosts, registrations of earlier instances are left.
func (m *Members) HeardFraction() float64 {
	heard, all := 1, 1
	for _, k := range m.byInstance {
		switch {
		case k.Region != m.region:
		case k.alive && (k.holdsShares || k.Registered):
			heard++
			all++
		case k.registered && k.holdsShares && k.sequence > 0:
			all++
		}
	}
	return float64(heard) / float64(all)
}

// OwnersUnheard reports whether hosts of other regions that hold rate shares are registered whose heartbeats no longer
// arrive.
func (m *Members) OwnersUnheard() bool {
	for _, k := range m.byInstance {
		if k.Region != m.region && k.registered && k.holdsShares && k.sequence > 0 && !k.alive {
			return true
		}
	}
	return false
}

// Demand returns the total demand of each customer at all other hosts that may be
// serving it, in requests per second.
func (m *Members) Demand() map[string]float64 {
	out := map[string]float64{}
	for _, k := range m.byInstance {
		for customer, rate := range k.Demand {
			out[customer] += rate
		}
	}
	return out
}

// Regions returns the regions of the other hosts that may be using the budgets of the
// fleet.
func (m *Members) Regions() []string {
	var out []string
	for _, k := range m.byInstance {
		if !slices.Contains(out, k.Region) {
			out = append(out, k.Region)
		}
	}
	return out
}

// DemandComplete reports whether the demand of customers is known for every host that
// holds rate shares.
func (m *Members) DemandComplete() bool {
	for _, k := range m.byInstance {
		if k.sequence == 0 && k.holdsShares || k.Ready && !k.demandKnown {
			return false
		}
	}
	return true
}

// ReadyPeers returns the peer addresses of the hosts that are active, or about to be.
func (m *Members) ReadyPeers() []string {
	return m.peers((*Member).isActive)
}

// standbyFanout is the number of active hosts to which a standby sends heartbeats.
const standbyFanout = 3

// StandbyTargets returns the peer addresses to which this host sends heartbeats while it is a
// standby: a few of the ReadyPeers of its region, or of all regions if its own has none. They
// differ from standby to standby.
func (m *Members) StandbyTargets() []string {
	var near, all []*Member
	for _, k := range m.byInstance {
		if !k.isActive() {
			continue
		}
		all = append(all, k)
		if k.Region == m.region {
			near = append(near, k)
		}
	}
	if len(near) > 0 {
		all = near
	}
	slices.SortFunc(all, func(a, b *Member) int {
		return cmp.Compare(xxhash.Sum64String(m.self+a.Instance), xxhash.Sum64String(m.self+b.Instance))
	})
	out := make([]string, 0, standbyFanout)
	for _, k := range all[:min(len(all), standbyFanout)] {
		out = append(out, k.PeerAddress)
	}
	return out
}

// StandbyPeers returns the peer addresses of the other hosts.
func (m *Members) StandbyPeers() []string {
	return m.peers(func(k *Member) bool { return !k.isActive() })
}

// isActive reports whether the host is active in this host's view. A host that has
// registered to hold rate shares counts as active, whether it is ready or not: two hosts
// that become ready at the same time, for example after an outage of the store, would
// otherwise not learn of each other.
func (k *Member) isActive() bool { return k.Ready || k.holdsShares }

func (m *Members) peers(which func(*Member) bool) []string {
	out := make([]string, 0, len(m.byInstance))
	for _, k := range m.byInstance {
		if which(k) {
			out = append(out, k.PeerAddress)
		}
	}
	return out
}

// PeerAddress returns the peer address of a member; empty if the member is not known.
func (m *Members) PeerAddress(instance string) string {
	if k := m.byInstance[instance]; k != nil {
		return k.PeerAddress
	}
	return ""
}
