package config

// Config is the complete configuration.
type Config struct {
	// Regions by name.
	Regions map[string]Region `json:"regions"`
	// Zones (availability zones) by name.
	Zones map[string]Zone `json:"zones"`
	// Links by name, one for each direction.
	Links map[string]Link `json:"links,omitempty"`
	// Services by name.
	Services map[string]Service `json:"services"`
	// Upstreams by name.
	Upstreams map[string]Upstream `json:"upstreams"`
	// Customers by name.
	Customers map[string]Customer `json:"customers"`
	// Moves by name.
	Moves map[string]Move `json:"moves,omitempty"`
	// Drains by name.
	Drains map[string]Drain `json:"drains,omitempty"`
	// ClientBlocks maps an address block in CIDR notation to the zones nearest
	// to its callers, nearest first.
	ClientBlocks map[string][]string `json:"client_blocks,omitempty"`
}

// Region is a group of zones close to each other.
type Region struct {
	// MaxRequestsPerSecond limits the requests that are sent into the region,
	// from its own entry hosts and those of other regions. Default 0: no limit.
	MaxRequestsPerSecond float64 `json:"max_requests_per_second,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	// Region is the region to which the zone belongs.
	Region string `json:"region"`
	// Slots is the number of quota slots. Each slot is held by one daemon of
	// the zone. Default 4.
	Slots int `json:"slots,omitempty"`
	// Weight is the zone's share of every quota, relative to the other zones.
	// Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Sibling is the zone whose daemons handle this zone's upstreams if it has
	// no ready daemon. Default "": none.
	Sibling string `json:"sibling,omitempty"`
}

// Link is the network capacity from one region to another, shared by all
// traffic.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// BitsPerSecond is the maximum bandwidth used.
	BitsPerSecond float64 `json:"bits_per_second"`
}

// Class is the class of a service's work, by duration.
type Class string

// Classes of work.
const (
	// ClassShort is work whose result callers wait for, such as lookups and
	// postings.
	ClassShort Class = "short"
	// ClassBulk is long-running work, such as reports and rosters. The class is
	// a hint for operators and stand-ins; the fair queue uses the measured cost
	// of requests.
	ClassBulk Class = "bulk"
)

// Service is a set of upstreams that serve the same requests.
type Service struct {
	// Class is the class of the work. Default short.
	Class Class `json:"class,omitempty"`
	// Regions are the regions that may serve it. Default: all.
	Regions []string `json:"regions,omitempty"`
	// TimeoutMs is the total time budget of a request if the caller sets none,
	// and the maximum that a caller may set. Default 10000.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// ExpectedMs is the service time assumed until one has been measured.
	// Default 10.
	ExpectedMs float64 `json:"expected_ms,omitempty"`
	// ExpectedBytes is the expected response size. It is validated, but nothing
	// uses it: link quotas count the bytes that are sent. Default 4096.
	ExpectedBytes float64 `json:"expected_bytes,omitempty"`
	// ShiftCapPerSecond limits the requests per second that start in one region
	// and run in another, for each pair of regions for which no move sets a
	// cap. Default 50.
	ShiftCapPerSecond float64 `json:"shift_cap_per_second,omitempty"`
}

// Upstream is one worker of a service.
type Upstream struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is the IP address and port of the HTTP listener.
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently. Default 4.
	Slots int `json:"slots,omitempty"`
	// Leaving takes the upstream out of use: it receives no new requests, and
	// running requests complete.
	Leaving bool `json:"leaving,omitempty"`
}

// Customer is a tenant. It authenticates with keys, and has a rate and a burst
// that apply to the entire fleet.
type Customer struct {
	// Rate is the limit in requests per second for the entire fleet.
	Rate float64 `json:"rate"`
	// Burst is the burst size in requests for the entire fleet.
	Burst float64 `json:"burst"`
	// Weight is its share of a saturated service, relative to the other
	// customers. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Services are the services that it may call. Default: all.
	Services []string `json:"services,omitempty"`
	// Regions are the regions that may serve it. Default: all.
	Regions []string `json:"regions,omitempty"`
	// ZoneWeights divides the customer's quota among the zones. Default: the
	// weights of the zones.
	ZoneWeights map[string]float64 `json:"zone_weights,omitempty"`
	// Keys by id. Only the digests of keys are stored.
	Keys map[string]Key `json:"keys,omitempty"`
	// MaxStalenessMs rejects requests of the customer if the configuration has
	// not been confirmed for this long. The minimum is MinStalenessMs. Default
	// 0: an isolated zone continues to serve the customer.
	MaxStalenessMs int64 `json:"max_staleness_ms,omitempty"`
}

// Key is the stored form of a customer's key.
type Key struct {
	// SHA256 is the digest of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Move is a planned shift of a service's traffic from one region to another.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Share is the final fraction of the traffic of From that goes to To, 0 to
	// 1.
	Share float64 `json:"share"`
	// CapPerSecond limits the requests per second that moves, drains and
	// spillover of the same (service, from, to) shift together. If several moves
	// set a cap, the lowest applies.
	CapPerSecond float64 `json:"cap_per_second"`
	// RampSeconds is the time in which the shifted fraction rises from 0 to
	// Share. Default 60.
	RampSeconds float64 `json:"ramp_seconds,omitempty"`
	// StartUnixMs is the start of the ramp, set by the client that submits the
	// move.
	StartUnixMs int64 `json:"start_unix_ms,omitempty"`
}

// DrainKind is the kind of target that a drain empties.
type DrainKind string

// Kinds of drain.
const (
	DrainUpstream DrainKind = "upstream"
	DrainZone     DrainKind = "zone"
	DrainRegion   DrainKind = "region"
	DrainHost     DrainKind = "host"
)

// Drain moves the traffic away from an upstream, zone, region or entry host.
type Drain struct {
	Kind   DrainKind `json:"kind"`
	Target string    `json:"target"`
	// CapPerSecond limits the requests per second that the drain sends to other
	// targets. Default 0: limited only by the caps of shifts and links.
	CapPerSecond float64 `json:"cap_per_second,omitempty"`
	// RampSeconds is the time until the target receives no new requests.
	// Default 0.
	RampSeconds float64 `json:"ramp_seconds,omitempty"`
	// StartUnixMs is the start of the ramp.
	StartUnixMs int64 `json:"start_unix_ms,omitempty"`
}
