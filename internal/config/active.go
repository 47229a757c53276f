package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 of a customer's key.
type Digest [sha256.Size]byte

// DigestOf hashes a key as it came from a caller.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String is the hexadecimal form, as in a configuration.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads the hexadecimal form.
func ParseDigest(s string) (Digest, bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != sha256.Size {
		return Digest{}, false
	}
	return Digest(raw), true
}

// KeyOwner names whose key a digest is.
type KeyOwner struct {
	Customer string
	KeyID    string
}

// Active is one version of the configuration with its indexes. It is
// immutable, and shared by all threads.
type Active struct {
	// Version is the number the store gave; 0 means none yet.
	Version uint64
	// Config must not be modified.
	Config *Config
	// TotalSlots is the number of quota slots over all zones.
	TotalSlots int
	keys       map[Digest]KeyOwner
}

// NewActive indexes a valid configuration.
func NewActive(version uint64, c *Config) *Active {
	a := &Active{Version: version, Config: c, keys: map[Digest]KeyOwner{}}
	for _, z := range c.Zones {
		a.TotalSlots += z.Slots
	}
	for name, cu := range c.Customers {
		for id, k := range cu.Keys {
			if d, ok := ParseDigest(k.SHA256); ok {
				a.keys[d] = KeyOwner{Customer: name, KeyID: id}
			}
		}
	}
	return a
}

// Owner tells whose key has this digest. A withdrawn key has no owner.
func (a *Active) Owner(d Digest) (KeyOwner, bool) {
	o, ok := a.keys[d]
	return o, ok
}

// Allows tells whether a customer may call a service.
func (a *Active) Allows(customer, service string) bool {
	c, ok := a.Config.Customers[customer]
	if !ok {
		return false
	}
	return len(c.Services) == 0 || contains(c.Services, service)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Region returns the region of a zone, "" if unknown.
func (a *Active) Region(zone string) string { return a.Config.Zones[zone].Region }
