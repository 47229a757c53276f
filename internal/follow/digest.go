package follow

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/catalog"
)

// Digest is an order-independent hash of a set of store entries. One digest covers
// the configuration version, the evacuated zones and the upstream registrations
// without their liveness fields (sequence number and revision). Another covers the
// registrations of entry hosts. Two hosts with equal digests hold the same state,
// in whatever order they received the entries. The zero value is the digest of an
// empty store. Digest is not safe for concurrent use.
//
// Hosts of different builds compare their digests, so the hashed strings must not
// change.
type Digest struct {
	entries map[string]uint64
	sum     uint64
}

// Sum returns the digest. It is 0 only while the digest has no entries.
func (d *Digest) Sum() uint64 {
	if len(d.entries) == 0 {
		return 0
	}
	return d.sum | 1
}

// SetVersion records the version of the active configuration.
func (d *Digest) SetVersion(version uint64) { d.set("version", fmt.Sprint(version)) }

// SetRefused records the revision of a newer configuration that this host could not use; 0 if there is
// none.
func (d *Digest) SetRefused(revision uint64) {
	if revision == 0 {
		d.remove("refused")
		return
	}
	d.set("refused", fmt.Sprint(revision))
}

// SetZone records whether a zone is evacuated.
func (d *Digest) SetZone(zone string, evacuated bool) {
	if evacuated {
		d.set("zone/"+zone, "")
		return
	}
	d.remove("zone/" + zone)
}

// SetUpstream records the registration of an upstream.
func (d *Digest) SetUpstream(u catalog.Upstream) {
	d.set("upstream/"+u.ID, fmt.Sprint(u.Service, " ", u.Address, " ", u.Zone, " ", u.Slots, " ", u.State, " ", u.ColdRemaining > 0, " ", u.StartedMs))
}

// SetHost records the registration of an entry host.
func (d *Digest) SetHost(key string, registration []byte) { d.set("host/"+key, string(registration)) }

// RemoveHost removes the registration of an entry host.
func (d *Digest) RemoveHost(key string) { d.remove("host/" + key) }

// RemoveUpstream removes the registration of an upstream.
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
