package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a customer's key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key as sent by a caller.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the hexadecimal form, as used in a configuration.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the hexadecimal form.
func ParseDigest(s string) (Digest, bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}, false
	}
	return Digest(raw), true
}

// KeyOwner is the customer and the key id to which a digest belongs.
type KeyOwner struct {
	Customer string
	KeyID    string
}

// Active is one version of the configuration with its indexes. It is immutable
// and safe for concurrent use.
type Active struct {
	// Version is the number assigned by the store. 0 means that no
	// configuration has been loaded yet.
	Version uint64
	// Config must not be modified.
	Config *Config
	// TotalSlots is the number of quota slots of all zones.
	TotalSlots int
	keyOwners  map[Digest]KeyOwner
}

// NewActive builds the indexes of a valid configuration.
func NewActive(version uint64, c *Config) *Active {
	a := &Active{Version: version, Config: c, keyOwners: map[Digest]KeyOwner{}}
	for _, z := range c.Zones {
		a.TotalSlots += z.Slots
	}
	for name, cu := range c.Customers {
		for id, k := range cu.Keys {
			if d, ok := ParseDigest(k.SHA256); ok {
				a.keyOwners[d] = KeyOwner{Customer: name, KeyID: id}
			}
		}
	}
	return a
}

// Owner returns the owner of the key with this digest. A withdrawn key has no
// owner.
func (a *Active) Owner(d Digest) (KeyOwner, bool) {
	o, ok := a.keyOwners[d]
	return o, ok
}

// Allows reports whether a customer may call a service.
func (a *Active) Allows(customer, service string) bool {
	c, ok := a.Config.Customers[customer]
	if !ok {
		return false
	}
	return len(c.Services) == 0 || hasName(c.Services, service)
}

func hasName(names []string, s string) bool {
	for _, x := range names {
		if x == s {
			return true
		}
	}
	return false
}

// Region returns the region of a zone, or "" if the zone is unknown.
func (a *Active) Region(zone string) string { return a.Config.Zones[zone].Region }
