package tunnel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is another entry host.
type Peer struct {
	Instance string
	Zone     string
	Region   string
	// Address accepts tunnels; "" if the host does not.
	Address string
	// Standby is set if the host serves callers only if need be.
	Standby bool
	// LinksDown is set while the host itself reaches no upstreams.
	LinksDown bool
	// LinkLoad is the part of its link that responses use, 0 to 1; 0: unknown.
	LinkLoad float64
}

const (
	// maxLinkLoad is the load of a peer's link above which other peers are preferred.
	maxLinkLoad = 0.7
	// failedPeerPause is how long a peer that did not open a tunnel is used last.
	failedPeerPause = time.Second
)

// candidates returns the peers that can connect to an upstream, in the order in which they are to
// be tried. Only peers of the upstream's region are used: requests go to that region anyway, so
// no body reaches a region that may not have it, and no request crosses regions twice. Hosts
// that lose their links together spread over the peers of the upstream's zone.
func candidates(peers []Peer, upstream Upstream, failed func(address string) bool) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.Address != "" && !p.LinksDown && p.Region == upstream.Region {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	rank := func(p Peer) int {
		switch {
		case failed(p.Address):
			return 4
		case p.LinkLoad > maxLinkLoad:
			return 3
		case p.Standby:
			return 2
		case p.Zone != upstream.Zone:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return rank(a) - rank(b) })
	return out
}
