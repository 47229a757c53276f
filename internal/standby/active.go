package standby

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// similarStrength is the fraction of the strongest host's strength from which a host
	// counts as equally strong. Hosts of one kind of machine are thus always all active,
	// while the kinds of machine in use differ by a factor of five or more.
	similarStrength = 0.5
	// minActive is the least number of active hosts in each region, so that two may fail
	// at once and one remains.
	minActive = 3
	// nextPerZone is the number of standbys in each zone that are next in line to become active.
	nextPerZone = 2
	// requestsPerCore is the load that is planned for a core, in requests per second. It
	// leaves capacity for a burst of three times the usual load together with the loss of
	// half of the hosts.
	requestsPerCore = 1300.0
	// linkFraction is the fraction of a link that responses may use on average. Each response
	// is counted once, although it passes the link twice, in and out.
	linkFraction = 0.15
)

// Host is an entry host that may become active.
type Host struct {
	Instance string
	Zone     string
	Region   string
	Capacity
	Load
}

// Capacity of a host.
type Capacity struct {
	// Cores is the number of processor cores, in units of the usual core; 0: not known.
	Cores float64
	// LinkMbps is the rate of the host's own link in Mbit/s; 0: not known.
	LinkMbps float64
}

// FractionOf returns c as a fraction of the other capacity, for the resource where that
// fraction is smallest.
func (c Capacity) FractionOf(other Capacity) float64 {
	fraction := 1.0
	if other.Cores > 0 {
		fraction = min(fraction, c.Cores/other.Cores)
	}
	if other.LinkMbps > 0 {
		fraction = min(fraction, c.LinkMbps/other.LinkMbps)
	}
	return fraction
}

// Load of a host.
type Load struct {
	// RequestsPerSecond is the request rate.
	RequestsPerSecond float64
	// ResponseMbps is the rate of response bytes, in Mbit/s.
	ResponseMbps float64
}

// Active returns the instances of one region that should be active: all that are about
// as strong as the strongest, then others by strength, until they are enough for the
// load, cover each zone that has hosts, and are at least minActive.
func Active(hosts []Host, region string) map[string]bool {
	active, _ := Select(hosts, region)
	return active
}

// Select returns the instances of one region that should be active, as Active does, and the
// standbys of each zone that are next in line.
func Select(hosts []Host, region string) (active, next map[string]bool) {
	list := hostsInRegion(hosts, region)
	strongest := strongestOf(list)
	ranked := rank(list, strongest)
	active, next = map[string]bool{}, map[string]bool{}
	activeZones, nextInZone := map[string]bool{}, map[string]int{}
	unserved := totalLoad(list)
	for _, h := range ranked {
		enough := len(active) >= minActive && unserved.RequestsPerSecond <= 0 && unserved.ResponseMbps <= 0
		if enough && h.strength < similarStrength && activeZones[h.Zone] {
			if nextInZone[h.Zone]++; nextInZone[h.Zone] <= nextPerZone {
				next[h.Instance] = true
			}
			continue
		}
		active[h.Instance], activeZones[h.Zone] = true, true
		unserved.RequestsPerSecond = remaining(unserved.RequestsPerSecond, h.Cores*requestsPerCore)
		unserved.ResponseMbps = remaining(unserved.ResponseMbps, h.LinkMbps*linkFraction)
	}
	return active, next
}

// rankedHost is a host with what it is ranked by.
type rankedHost struct {
	Host
	strength float64
	hash     uint64
}

// rank sorts hosts by strength; equally strong ones have a fixed order.
func rank(hosts []Host, strongest Capacity) []rankedHost {
	out := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, rankedHost{h, h.FractionOf(strongest), xxhash.Sum64String(h.Instance)})
	}
	slices.SortFunc(out, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(a.hash, b.hash))
	})
	return out
}

// remaining returns the load that exceeds a host's capacity, and is left to further hosts. A
// host whose capacity is not known is assumed to be able to carry the full load.
func remaining(load, hostCapacity float64) float64 {
	if hostCapacity <= 0 {
		return 0
	}
	return load - hostCapacity
}

func hostsInRegion(hosts []Host, region string) []Host {
	var out []Host
	for _, h := range hosts {
		if h.Region == region {
			out = append(out, h)
		}
	}
	return out
}

func strongestOf(hosts []Host) Capacity {
	var strongest Capacity
	for _, h := range hosts {
		strongest.Cores = max(strongest.Cores, h.Cores)
		strongest.LinkMbps = max(strongest.LinkMbps, h.LinkMbps)
	}
	return strongest
}

func totalLoad(hosts []Host) Load {
	var sum Load
	for _, h := range hosts {
		sum.RequestsPerSecond += h.RequestsPerSecond
		sum.ResponseMbps += h.ResponseMbps
	}
	return sum
}
