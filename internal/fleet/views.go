package fleet

import (
	"slices"
	"sort"
)

// Present lists the hosts that are there, by instance.
func (m *Members) Alive() []Member {
	var out []Member
	for _, k := range m.by {
		if k.alive {
			out = append(out, *k)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// PresumedStandbys lists the hosts of a region that are registered, and that this one does not
// hear because both stand by. They may be taken to live.
func (m *Members) PresumedStandbys(region string) []Member {
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
func (m *Members) DemandComplete() bool {
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
			out = append(out, k.PeerAddress)
		}
	}
	return out
}

// Address of a member for packets; "" if it is not known.
func (m *Members) PeerAddress(instance string) string {
	if k := m.by[instance]; k != nil {
		return k.PeerAddress
	}
	return ""
}
