package config

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"balsambarrow/internal/jsonc"
)

// MaxSlots limits the total number of slots of all zones; see docs/CAPACITY.md.
const MaxSlots = 4096

// MinStalenessMs is the lowest limit that a customer may set on the age of the
// configuration. It exceeds the age that a confirmation reaches in normal
// operation: 2.1 s, or 3.1 s with a slow store (docs/measurements/config.md).
const MinStalenessMs = 5000

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Parse parses a document, applies defaults and validates the result. The error
// is a jsonc.Faults value with every fault found; name appears in each.
func Parse(name string, text []byte) (*Config, error) {
	doc, err := jsonc.Parse(name, text)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	faults, decoded := doc.DecodeFaults(c)
	if !decoded {
		return nil, faults
	}
	c.applyDefaults()
	v := &validator{config: c, doc: doc, faults: faults}
	v.checkAll()
	if len(v.faults) > 0 {
		return nil, v.faults
	}
	return c, nil
}

// validator collects faults. It visits names in sorted order, so that the same
// document always produces the same list.
type validator struct {
	config *Config
	doc    *jsonc.Document
	faults jsonc.Faults
}

func (v *validator) checkAll() {
	v.checkZones()
	v.checkLinks()
	v.checkServices()
	v.checkUpstreams()
	v.checkCustomers()
	v.checkMoves()
	v.checkDrains()
	v.checkClientBlocks()
}

// check records a fault at a path unless ok is true.
func (v *validator) check(ok bool, path, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, v.doc.FaultAt(path, fmt.Sprintf(format, args...)))
	}
}

// pointer returns the JSON pointer with the given tokens.
func pointer(tokens ...string) string {
	result := ""
	for _, token := range tokens {
		result += "/" + jsonc.EscapeToken(token)
	}
	return result
}

func (v *validator) checkName(section, name string) {
	v.check(namePattern.MatchString(name), pointer(section, name),
		"name %q: want lower-case letters, digits and hyphens, 63 at most", name)
}

func (v *validator) checkReference(exists bool, kind, name string, tokens ...string) {
	v.check(exists, pointer(tokens...), "unknown %s %q", kind, name)
}

func (v *validator) checkZones() {
	for _, name := range sortedNames(v.config.Regions) {
		v.checkName("regions", name)
		v.check(v.config.Regions[name].MaxRequestsPerSecond >= 0,
			pointer("regions", name, "max_requests_per_second"), "want 0 or more")
	}
	slots := 0
	for _, name := range sortedNames(v.config.Zones) {
		z := v.config.Zones[name]
		v.checkName("zones", name)
		v.checkReference(hasKey(v.config.Regions, z.Region), "region", z.Region, "zones", name, "region")
		v.check(z.Slots > 0, pointer("zones", name, "slots"), "want a positive number")
		v.check(z.Weight > 0, pointer("zones", name, "weight"), "want a positive number")
		if z.Sibling != "" {
			v.checkReference(hasKey(v.config.Zones, z.Sibling) && z.Sibling != name, "zone", z.Sibling, "zones", name, "sibling")
		}
		slots += max(z.Slots, 0)
	}
	v.check(slots <= MaxSlots, "/zones", "%d slots in all, at most %d", slots, MaxSlots)
}

func (v *validator) checkLinks() {
	type pair struct{ from, to string }
	linkNames := map[pair]string{}
	for _, name := range sortedNames(v.config.Links) {
		l := v.config.Links[name]
		v.checkName("links", name)
		v.checkReference(hasKey(v.config.Regions, l.From), "region", l.From, "links", name, "from")
		v.checkReference(hasKey(v.config.Regions, l.To), "region", l.To, "links", name, "to")
		v.check(l.From != l.To, pointer("links", name), "from and to are the same region")
		v.check(l.BitsPerSecond > 0, pointer("links", name, "bits_per_second"), "want a positive number")
		other, dup := linkNames[pair{l.From, l.To}]
		v.check(!dup, pointer("links", name), "link %q has the same direction", other)
		linkNames[pair{l.From, l.To}] = name
	}
}

func (v *validator) checkServices() {
	for _, name := range sortedNames(v.config.Services) {
		s := v.config.Services[name]
		v.checkName("services", name)
		v.check(s.Class == ClassShort || s.Class == ClassBulk,
			pointer("services", name, "class"), "want short or bulk")
		v.check(s.TimeoutMs > 0, pointer("services", name, "timeout_ms"), "want a positive number of milliseconds")
		v.check(s.ExpectedMs > 0, pointer("services", name, "expected_ms"), "want a positive number of milliseconds")
		v.check(s.ExpectedBytes > 0, pointer("services", name, "expected_bytes"), "want a positive number of bytes")
		v.check(s.ShiftCapPerSecond > 0, pointer("services", name, "shift_cap_per_second"), "want a positive number of requests per second")
		v.checkRegionNames(s.Regions, "services", name)
	}
}

func (v *validator) checkRegionNames(names []string, section, name string) {
	for i, r := range names {
		v.checkReference(hasKey(v.config.Regions, r), "region", r, section, name, "regions", strconv.Itoa(i))
	}
}

func (v *validator) checkUpstreams() {
	upstreamByAddress := map[string]string{}
	for _, name := range sortedNames(v.config.Upstreams) {
		u := v.config.Upstreams[name]
		v.checkName("upstreams", name)
		v.checkReference(hasKey(v.config.Services, u.Service), "service", u.Service, "upstreams", name, "service")
		v.checkReference(hasKey(v.config.Zones, u.Zone), "zone", u.Zone, "upstreams", name, "zone")
		_, err := netip.ParseAddrPort(u.Address)
		v.check(err == nil, pointer("upstreams", name, "address"), "want an IP address and a port")
		v.check(u.Slots > 0, pointer("upstreams", name, "slots"), "want a positive number")
		other, dup := upstreamByAddress[u.Address]
		v.check(!dup, pointer("upstreams", name, "address"), "upstream %q has the same address", other)
		upstreamByAddress[u.Address] = name
	}
}

func (v *validator) checkCustomers() {
	customerByDigest := map[string]string{}
	for _, name := range sortedNames(v.config.Customers) {
		c := v.config.Customers[name]
		v.checkName("customers", name)
		v.check(c.Rate > 0, pointer("customers", name, "rate"), "want a positive number of requests per second")
		v.check(c.Burst >= 1, pointer("customers", name, "burst"), "want at least 1 request")
		v.check(c.Weight > 0, pointer("customers", name, "weight"), "want a positive number")
		v.check(c.MaxStalenessMs == 0 || c.MaxStalenessMs >= MinStalenessMs,
			pointer("customers", name, "max_staleness_ms"), "want 0 or at least %d milliseconds", MinStalenessMs)
		v.checkRegionNames(c.Regions, "customers", name)
		for i, s := range c.Services {
			v.checkReference(hasKey(v.config.Services, s), "service", s, "customers", name, "services", strconv.Itoa(i))
		}
		v.checkZoneWeights(name, c)
		v.checkKeys(name, c, customerByDigest)
	}
}

func (v *validator) checkZoneWeights(name string, c Customer) {
	sum := 0.0
	for _, z := range sortedNames(c.ZoneWeights) {
		v.checkReference(hasKey(v.config.Zones, z), "zone", z, "customers", name, "zone_weights", z)
		v.check(c.ZoneWeights[z] >= 0, pointer("customers", name, "zone_weights", z), "want 0 or more")
		sum += c.ZoneWeights[z]
	}
	v.check(len(c.ZoneWeights) == 0 || sum > 0, pointer("customers", name, "zone_weights"), "want one weight above 0")
}

func (v *validator) checkKeys(customer string, c Customer, customerByDigest map[string]string) {
	for _, id := range sortedNames(c.Keys) {
		prefix := pointer("customers", customer, "keys", id)
		digest := c.Keys[id].SHA256
		v.check(digestPattern.MatchString(digest), prefix+"/sha256", "want 64 lower-case hexadecimal digits")
		other, dup := customerByDigest[digest]
		v.check(!dup, prefix+"/sha256", "customer %q has the same key", other)
		customerByDigest[digest] = customer
	}
}

func (v *validator) checkMoves() {
	for _, name := range sortedNames(v.config.Moves) {
		m := v.config.Moves[name]
		v.checkName("moves", name)
		v.checkReference(hasKey(v.config.Services, m.Service), "service", m.Service, "moves", name, "service")
		v.checkReference(hasKey(v.config.Regions, m.From), "region", m.From, "moves", name, "from")
		v.checkReference(hasKey(v.config.Regions, m.To), "region", m.To, "moves", name, "to")
		v.check(m.From != m.To, pointer("moves", name), "from and to are the same region")
		v.check(m.Share >= 0 && m.Share <= 1, pointer("moves", name, "share"), "want 0 to 1")
		v.check(m.CapPerSecond > 0, pointer("moves", name, "cap_per_second"), "want a positive number of requests per second")
		v.check(m.RampSeconds > 0, pointer("moves", name, "ramp_seconds"), "want a positive number of seconds")
	}
}

func (v *validator) checkDrains() {
	for _, name := range sortedNames(v.config.Drains) {
		d := v.config.Drains[name]
		v.checkName("drains", name)
		v.check(d.CapPerSecond >= 0, pointer("drains", name, "cap_per_second"), "want 0 or more")
		v.check(d.RampSeconds >= 0, pointer("drains", name, "ramp_seconds"), "want 0 or more")
		switch d.Kind {
		case DrainUpstream:
			v.checkReference(hasKey(v.config.Upstreams, d.Target), "upstream", d.Target, "drains", name, "target")
		case DrainZone:
			v.checkReference(hasKey(v.config.Zones, d.Target), "zone", d.Target, "drains", name, "target")
		case DrainRegion:
			v.checkReference(hasKey(v.config.Regions, d.Target), "region", d.Target, "drains", name, "target")
		case DrainHost:
			v.check(d.Target != "", pointer("drains", name, "target"), "required")
		default:
			v.check(false, pointer("drains", name, "kind"), "want upstream, zone, region or host")
		}
	}
}

func (v *validator) checkClientBlocks() {
	for _, block := range sortedNames(v.config.ClientBlocks) {
		_, err := netip.ParsePrefix(block)
		v.check(err == nil, pointer("client_blocks", block), "want an address block in CIDR notation")
		for i, z := range v.config.ClientBlocks[block] {
			v.checkReference(hasKey(v.config.Zones, z), "zone", z, "client_blocks", block, strconv.Itoa(i))
		}
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func hasKey[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	return ok
}
