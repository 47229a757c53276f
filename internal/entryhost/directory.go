package entryhost

import (
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
)

// Self describes this daemon to its peers.
type Self struct {
	place.Host
	// Name is the name of the entry host. Callers and Peers are the addresses on which it
	// serves callers and receives datagrams from peers. Tunnels is the address on which it
	// connects peers to upstreams, or "".
	Name    string
	Callers string
	Peers   string
	Tunnels string
}

// directory lists the hosts to which callers can be directed. It is never modified.
type directory struct {
	self    Self
	ready   bool
	leaving bool
	// reachesStore is set if this host's last call to the store succeeded.
	reachesStore bool
	peers        []fleet.Member
}

// maxAddresses is the number of addresses that callers accept in one response.
const maxAddresses = 64

// resolve returns the addresses of the ready hosts of a region, or of all regions if the region
// has none. Request bodies must stay within the caller's region and the regions that may serve
// it, so ready hosts of other regions are returned only if the region has none. If no host is
// ready, resolve returns hosts that are not, in the same order of preference.
func (d *directory) resolve(region string) []string {
	type filter func(region string, ready bool) bool
	for _, accept := range []filter{
		func(r string, ready bool) bool { return r == region && ready },
		func(_ string, ready bool) bool { return ready },
		func(r string, _ bool) bool { return r == region },
		func(string, bool) bool { return true },
	} {
		if addresses := d.addresses(accept); len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// storeReaders returns the active instances that reach the store, in the regions for which in
// returns true.
func (d *directory) storeReaders(in func(region string) bool) []string {
	var out []string
	if d.ready && d.reachesStore && in(d.self.Region) {
		out = append(out, d.self.Instance)
	}
	for _, m := range d.peers {
		if m.Ready && m.StoreReachable && !m.Leaving && in(m.Region) {
			out = append(out, m.Instance)
		}
	}
	return out
}

// activePeers returns the peer addresses of the other active hosts in the regions for which in
// returns true.
func (d *directory) activePeers(in func(region string) bool) []string {
	var out []string
	for _, m := range d.peers {
		if m.Ready && !m.Leaving && in(m.Region) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

func (d *directory) addresses(accept func(region string, ready bool) bool) []string {
	var out []string
	if !d.leaving && accept(d.self.Region, d.ready) {
		out = append(out, d.self.Callers)
	}
	for _, m := range d.peers {
		if !m.Leaving && accept(m.Region, m.Ready) && len(out) < maxAddresses {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}
