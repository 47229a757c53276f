package follow

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/catalog"
)

// Digest is one number for what the store holds that a host goes by: the version
// of the configuration, the evacuated zones and the upstreams, without the marks
// by which these show that they live; or the registrations of entry hosts. Two hosts with the same digest know the
// same, in whatever order they learned it. The zero value is that of an empty
// store. It is not safe for concurrent use.
type Digest struct {
	entries map[string]uint64
	sum     uint64
}

// Sum is never 0 once something is known.
func (d *Digest) Sum() uint64 {
	if len(d.entries) == 0 {
		return 0
	}
	return d.sum | 1
}

// SetVersion notes the version of the configuration in force.
func (d *Digest) SetVersion(version uint64) { d.set("version", fmt.Sprint(version)) }

// SetZone notes whether a zone is evacuated.
func (d *Digest) SetZone(zone string, evacuated bool) {
	if evacuated {
		d.set("zone/"+zone, "")
		return
	}
	d.remove("zone/" + zone)
}

// SetUpstream notes an upstream's entry.
func (d *Digest) SetUpstream(u catalog.Upstream) {
	d.set("upstream/"+u.ID, fmt.Sprint(u.Service, " ", u.Address, " ", u.Zone, " ", u.Slots, " ", u.State, " ", u.ColdRemaining > 0, " ", u.StartedMs))
}

// SetHost notes an entry host's registration.
func (d *Digest) SetHost(key string, registration []byte) { d.set("host/"+key, string(registration)) }

// RemoveHost notes that a host has no registration.
func (d *Digest) RemoveHost(key string) { d.remove("host/" + key) }

// RemoveUpstream notes that an upstream has no entry.
func (d *Digest) RemoveUpstream(id string) { d.remove("upstream/" + id) }

func (d *Digest) set(key, value string) {
	d.remove(key)
	if d.entries == nil {
		d.entries = map[string]uint64{}
	}
	x := xxhash.Sum64String(key + "=" + value)
	d.entries[key] = x
	d.sum ^= x
}

func (d *Digest) remove(key string) {
	d.sum ^= d.entries[key]
	delete(d.entries, key)
}
