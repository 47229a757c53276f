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

// MaxSlots bounds the slots of all zones together; see docs/CAPACITY.md.
const MaxSlots = 4096

// MinStalenessMs is the smallest bound a customer may set on the age of the
// configuration: above the age that a confirmation reaches while nothing is
// wrong (2.1 s, and 3.1 s with a slow store; docs/measurements/config.md).
const MinStalenessMs = 5000

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Parse reads a document, applies defaults and validates it. The error is a
// jsonc.Faults value with every fault found; name appears in each.
func Parse(name string, text []byte) (*Config, error) {
	doc, err := jsonc.Parse(name, text)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	faults, filled := doc.DecodeFaults(c)
	if !filled {
		return nil, faults
	}
	c.applyDefaults()
	v := &validator{config: c, doc: doc, faults: faults}
	v.run()
	if len(v.faults) > 0 {
		return nil, v.faults
	}
	return c, nil
}

// validator collects faults. Names are visited in order, so that the same
// document always gives the same list.
type validator struct {
	config *Config
	doc    *jsonc.Document
	faults jsonc.Faults
}

func (v *validator) run() {
	v.zones()
	v.links()
	v.services()
	v.upstreams()
	v.customers()
	v.moves()
	v.drains()
	v.blocks()
}

func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, v.doc.FaultAt(path, fmt.Sprintf(format, args...)))
	}
}

func path(steps ...string) string {
	p := ""
	for _, s := range steps {
		p += "/" + jsonc.EscapeToken(s)
	}
	return p
}

func (v *validator) name(section, name string) {
	v.require(namePattern.MatchString(name), path(section, name),
		"name %q: want lower-case letters, digits and hyphens, 63 at most", name)
}

func (v *validator) known(exists bool, kind, name string, at ...string) {
	v.require(exists, path(at...), "unknown %s %q", kind, name)
}

func (v *validator) zones() {
	for _, name := range sorted(v.config.Regions) {
		v.name("regions", name)
		v.require(v.config.Regions[name].MaxRequestsPerSecond >= 0,
			path("regions", name, "max_requests_per_second"), "want 0 or more")
	}
	slots := 0
	for _, name := range sorted(v.config.Zones) {
		z := v.config.Zones[name]
		v.name("zones", name)
		v.known(has(v.config.Regions, z.Region), "region", z.Region, "zones", name, "region")
		v.require(z.Slots > 0, path("zones", name, "slots"), "want a positive number")
		v.require(z.Weight > 0, path("zones", name, "weight"), "want a positive number")
		if z.Sibling != "" {
			v.known(has(v.config.Zones, z.Sibling) && z.Sibling != name, "zone", z.Sibling, "zones", name, "sibling")
		}
		slots += max(z.Slots, 0)
	}
	v.require(slots <= MaxSlots, "/zones", "%d slots in all, at most %d", slots, MaxSlots)
}

func (v *validator) links() {
	type pair struct{ from, to string }
	seen := map[pair]string{}
	for _, name := range sorted(v.config.Links) {
		l := v.config.Links[name]
		v.name("links", name)
		v.known(has(v.config.Regions, l.From), "region", l.From, "links", name, "from")
		v.known(has(v.config.Regions, l.To), "region", l.To, "links", name, "to")
		v.require(l.From != l.To, path("links", name), "from and to are the same region")
		v.require(l.BitsPerSecond > 0, path("links", name, "bits_per_second"), "want a positive number")
		other, dup := seen[pair{l.From, l.To}]
		v.require(!dup, path("links", name), "link %q has the same direction", other)
		seen[pair{l.From, l.To}] = name
	}
}

func (v *validator) services() {
	for _, name := range sorted(v.config.Services) {
		s := v.config.Services[name]
		v.name("services", name)
		v.require(s.Class == ClassShort || s.Class == ClassBulk,
			path("services", name, "class"), "want short or bulk")
		v.require(s.TimeoutMs > 0, path("services", name, "timeout_ms"), "want a positive number of milliseconds")
		v.require(s.ExpectedMs > 0, path("services", name, "expected_ms"), "want a positive number of milliseconds")
		v.require(s.ExpectedBytes > 0, path("services", name, "expected_bytes"), "want a positive number of bytes")
		v.require(s.ShiftCapPerSecond > 0, path("services", name, "shift_cap_per_second"), "want a positive number of requests per second")
		v.regions(s.Regions, "services", name)
	}
}

func (v *validator) regions(names []string, section, name string) {
	for i, r := range names {
		v.known(has(v.config.Regions, r), "region", r, section, name, "regions", strconv.Itoa(i))
	}
}

func (v *validator) upstreams() {
	taken := map[string]string{}
	for _, name := range sorted(v.config.Upstreams) {
		u := v.config.Upstreams[name]
		v.name("upstreams", name)
		v.known(has(v.config.Services, u.Service), "service", u.Service, "upstreams", name, "service")
		v.known(has(v.config.Zones, u.Zone), "zone", u.Zone, "upstreams", name, "zone")
		_, err := netip.ParseAddrPort(u.Address)
		v.require(err == nil, path("upstreams", name, "address"), "want an IP address and a port")
		v.require(u.Slots > 0, path("upstreams", name, "slots"), "want a positive number")
		other, dup := taken[u.Address]
		v.require(!dup, path("upstreams", name, "address"), "upstream %q has the same address", other)
		taken[u.Address] = name
	}
}

func (v *validator) customers() {
	owners := map[string]string{}
	for _, name := range sorted(v.config.Customers) {
		c := v.config.Customers[name]
		v.name("customers", name)
		v.require(c.Rate > 0, path("customers", name, "rate"), "want a positive number of requests per second")
		v.require(c.Burst >= 1, path("customers", name, "burst"), "want at least 1 request")
		v.require(c.Weight > 0, path("customers", name, "weight"), "want a positive number")
		v.require(c.MaxStalenessMs == 0 || c.MaxStalenessMs >= MinStalenessMs,
			path("customers", name, "max_staleness_ms"), "want 0 or at least %d milliseconds", MinStalenessMs)
		v.regions(c.Regions, "customers", name)
		for i, s := range c.Services {
			v.known(has(v.config.Services, s), "service", s, "customers", name, "services", strconv.Itoa(i))
		}
		v.zoneWeights(name, c)
		v.keys(name, c, owners)
	}
}

func (v *validator) zoneWeights(name string, c Customer) {
	sum := 0.0
	for _, z := range sorted(c.ZoneWeights) {
		v.known(has(v.config.Zones, z), "zone", z, "customers", name, "zone_weights", z)
		v.require(c.ZoneWeights[z] >= 0, path("customers", name, "zone_weights", z), "want 0 or more")
		sum += c.ZoneWeights[z]
	}
	v.require(len(c.ZoneWeights) == 0 || sum > 0, path("customers", name, "zone_weights"), "want one weight above 0")
}

func (v *validator) keys(customer string, c Customer, owners map[string]string) {
	for _, id := range sorted(c.Keys) {
		at := path("customers", customer, "keys", id)
		hash := c.Keys[id].SHA256
		v.require(hashPattern.MatchString(hash), at+"/sha256", "want 64 lower-case hexadecimal digits")
		other, dup := owners[hash]
		v.require(!dup, at+"/sha256", "customer %q has the same key", other)
		owners[hash] = customer
	}
}

func (v *validator) moves() {
	for _, name := range sorted(v.config.Moves) {
		m := v.config.Moves[name]
		v.name("moves", name)
		v.known(has(v.config.Services, m.Service), "service", m.Service, "moves", name, "service")
		v.known(has(v.config.Regions, m.From), "region", m.From, "moves", name, "from")
		v.known(has(v.config.Regions, m.To), "region", m.To, "moves", name, "to")
		v.require(m.From != m.To, path("moves", name), "from and to are the same region")
		v.require(m.Share >= 0 && m.Share <= 1, path("moves", name, "share"), "want 0 to 1")
		v.require(m.CapPerSecond > 0, path("moves", name, "cap_per_second"), "want a positive number of requests per second")
		v.require(m.RampSeconds > 0, path("moves", name, "ramp_seconds"), "want a positive number of seconds")
	}
}

func (v *validator) drains() {
	for _, name := range sorted(v.config.Drains) {
		d := v.config.Drains[name]
		v.name("drains", name)
		v.require(d.CapPerSecond >= 0, path("drains", name, "cap_per_second"), "want 0 or more")
		v.require(d.RampSeconds >= 0, path("drains", name, "ramp_seconds"), "want 0 or more")
		switch d.Kind {
		case DrainUpstream:
			v.known(has(v.config.Upstreams, d.Target), "upstream", d.Target, "drains", name, "target")
		case DrainZone:
			v.known(has(v.config.Zones, d.Target), "zone", d.Target, "drains", name, "target")
		case DrainRegion:
			v.known(has(v.config.Regions, d.Target), "region", d.Target, "drains", name, "target")
		case DrainHost:
			v.require(d.Target != "", path("drains", name, "target"), "required")
		default:
			v.require(false, path("drains", name, "kind"), "want upstream, zone, region or host")
		}
	}
}

func (v *validator) blocks() {
	for _, block := range sorted(v.config.ClientBlocks) {
		_, err := netip.ParsePrefix(block)
		v.require(err == nil, path("client_blocks", block), "want an address block in CIDR notation")
		for i, z := range v.config.ClientBlocks[block] {
			v.known(has(v.config.Zones, z), "zone", z, "client_blocks", block, strconv.Itoa(i))
		}
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func has[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	return ok
}
