package standby

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// similarStrength is the part of the strongest host's strength from which a host
	// counts as strong as it: hosts of one kind of machine always all take
	// callers, and the kinds of today's users differ by five and more.
	similarStrength = 0.5
	// minActive hosts take callers in each region, so that two may be lost at
	// once and the third still does.
	minActive = 3
	// requestsPerCore is the load that a core is given. A burst of three times the
	// usual still leaves room for the loss of half of the hosts.
	requestsPerCore = 1300.0
	// linkPart is the part of a link that answers may take on the average. Each
	// is counted once, though it passes the link twice, in and out.
	linkPart = 0.15
)

// Host is an entry host that is able to take callers.
type Host struct {
	Instance string
	Zone     string
	Region   string
	Capacity
	Load
}

// Capacity is what a host has.
type Capacity struct {
	// Cores of a processor, in parts of the usual one; 0: not known.
	Cores float64
	// LinkMbps of its own link, in Mbit/s; 0: not known.
	LinkMbps float64
}

// PartOf is the part of another's capacity that this one is, of what it has least.
func (c Capacity) FractionOf(other Capacity) float64 {
	part := 1.0
	if other.Cores > 0 {
		part = min(part, c.Cores/other.Cores)
	}
	if other.LinkMbps > 0 {
		part = min(part, c.LinkMbps/other.LinkMbps)
	}
	return part
}

// Load is what a host does.
type Load struct {
	// Requests per second.
	RequestsPerSecond float64
	// AnswerMbps is the bytes of answers, in Mbit/s.
	ResponseMbps float64
}

// Active returns the instances of one region that should take callers: all that
// are about as strong as the strongest, then others by strength until they are
// enough for the load, stand in each zone that has hosts, and are at least three.
func Active(hosts []Host, region string) map[string]bool {
	list := inRegion(hosts, region)
	strongest := strongestOf(list)
	slices.SortFunc(list, func(a, b Host) int {
		return cmp.Or(cmp.Compare(strength(b, strongest), strength(a, strongest)),
			cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)))
	})
	out, zones := map[string]bool{}, map[string]bool{}
	need := loadOf(list)
	for _, h := range list {
		enough := len(out) >= minActive && need.RequestsPerSecond <= 0 && need.ResponseMbps <= 0
		if enough && strength(h, strongest) < similarStrength && zones[h.Zone] {
			continue
		}
		out[h.Instance], zones[h.Zone] = true, true
		need.RequestsPerSecond = remaining(need.RequestsPerSecond, h.Cores*requestsPerCore)
		need.ResponseMbps = remaining(need.ResponseMbps, h.LinkMbps*linkPart)
	}
	return out
}

// remaining is what is left of a load after a host has taken its part. One that does
// not say what it has is taken to be able to carry all.
func remaining(load, part float64) float64 {
	if part <= 0 {
		return 0
	}
	return load - part
}

func inRegion(hosts []Host, region string) []Host {
	var out []Host
	for _, h := range hosts {
		if h.Region == region {
			out = append(out, h)
		}
	}
	return out
}

func strongestOf(hosts []Host) Capacity {
	var most Capacity
	for _, h := range hosts {
		most.Cores = max(most.Cores, h.Cores)
		most.LinkMbps = max(most.LinkMbps, h.LinkMbps)
	}
	return most
}

// strength is the part of the strongest that a host has of what it has least.
func strength(h Host, strongest Capacity) float64 { return h.FractionOf(strongest) }

func loadOf(hosts []Host) Load {
	var sum Load
	for _, h := range hosts {
		sum.RequestsPerSecond += h.RequestsPerSecond
		sum.ResponseMbps += h.ResponseMbps
	}
	return sum
}
