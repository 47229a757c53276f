package entryhost

import (
	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
)

// Self is what this daemon tells of itself.
type Self struct {
	place.Host
	// Host is the entry host's name; Callers and Peers its addresses.
	Name    string
	Callers string
	Peers   string
}

// directory is who can be named to callers. It is never modified.
type directory struct {
	self    Self
	ready   bool
	leaving bool
	// seesStore says that this host's last call to the store succeeded.
	seesStore bool
	others    []fleet.Member
}

// mostNamed is the number of addresses that callers take from one answer.
const mostNamed = 64

// resolve names the ready hosts of a region; where it has none, those of all
// regions. A body must not leave the caller's region and the regions that may
// serve it, so a host elsewhere is the last choice.
func (d *directory) resolve(region string) []string {
	type test func(region string, ready bool) bool
	for _, wanted := range []test{
		func(r string, ready bool) bool { return r == region && ready },
		func(_ string, ready bool) bool { return ready },
		func(r string, _ bool) bool { return r == region },
		func(string, bool) bool { return true },
	} {
		if named := d.named(wanted); len(named) > 0 {
			return named
		}
	}
	return nil
}

// storeReaders lists the instances of some regions that take callers and reach the store.
func (d *directory) storeReaders(in func(region string) bool) []string {
	var out []string
	if d.ready && d.seesStore && in(d.self.Region) {
		out = append(out, d.self.Instance)
	}
	for _, m := range d.others {
		if m.Ready && m.StoreReachable && !m.Leaving && in(m.Region) {
			out = append(out, m.Instance)
		}
	}
	return out
}

func (d *directory) named(wanted func(region string, ready bool) bool) []string {
	var out []string
	if !d.leaving && wanted(d.self.Region, d.ready) {
		out = append(out, d.self.Callers)
	}
	for _, m := range d.others {
		if !m.Leaving && wanted(m.Region, m.Ready) && len(out) < mostNamed {
			out = append(out, m.CallerAddress)
		}
	}
	return out
}
