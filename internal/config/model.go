package config

// Config is the whole configuration.
type Config struct {
	// Regions by name.
	Regions map[string]Region `json:"regions"`
	// Zones (availability zones) by name.
	Zones map[string]Zone `json:"zones"`
	// Links by name; one for each direction.
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
	// ClientBlocks maps an address block in CIDR notation to the zones
	// nearest to its callers, nearest first.
	ClientBlocks map[string][]string `json:"client_blocks,omitempty"`
}

// Region is a group of zones near each other.
type Region struct {
	// MaxRequestsPerSecond bounds what steering sends into the region from
	// other regions and its own. 0, the default: no bound.
	MaxRequestsPerSecond float64 `json:"max_requests_per_second,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	// Region the zone belongs to.
	Region string `json:"region"`
	// Slots is the number of quota slots; each is held by one daemon of the
	// zone. Default 4.
	Slots int `json:"slots,omitempty"`
	// Weight is the zone's part in every quota, relative to the others.
	// Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Sibling names the zone whose daemons handle this zone's upstreams when
	// it has no ready daemon. Default "": none.
	Sibling string `json:"sibling,omitempty"`
}

// Link is the capacity from one region to another, for all traffic together.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// BitsPerSecond bounds the traffic.
	BitsPerSecond float64 `json:"bits_per_second"`
}

// Class says how long a service's work takes, for the fair queue.
type Class string

// Classes of work.
const (
	// ClassShort is work that callers wait for: lookups, postings.
	ClassShort Class = "short"
	// ClassBulk is long work: reports, rosters. It is a hint for people and
	// stand-ins; the queue goes by the cost that it has measured.
	ClassBulk Class = "bulk"
)

// Service is a set of upstreams that answer the same requests.
type Service struct {
	// Class of the work. Default short.
	Class Class `json:"class,omitempty"`
	// Regions that may serve it. Default: all.
	Regions []string `json:"regions,omitempty"`
	// TimeoutMs is the whole budget where the caller names none, and the
	// most that a caller may name. Default 10000.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// ExpectedMs is the service time assumed before any is measured. Default 10.
	ExpectedMs float64 `json:"expected_ms,omitempty"`
	// ExpectedBytes is the answer size assumed for link quotas before any is
	// measured. Default 4096.
	ExpectedBytes float64 `json:"expected_bytes,omitempty"`
	// ShiftCapPerSecond bounds the requests per second that start in one
	// region and run in another, for each pair of regions, where no move
	// names a cap. Default 50.
	ShiftCapPerSecond float64 `json:"shift_cap_per_second,omitempty"`
}

// Upstream is one worker of a service.
type Upstream struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is IP:port of its HTTP listener.
	Address string `json:"address"`
	// Slots is how many requests it runs at once. Default 4.
	Slots int `json:"slots,omitempty"`
	// Leaving takes it out of use: no new work, running work finishes.
	Leaving bool `json:"leaving,omitempty"`
}

// Customer is a tenant: it shows keys and has a rate and a burst over the
// whole fleet.
type Customer struct {
	// Rate in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst in requests over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is its share of a full service, relative to others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Services it may call. Default: all.
	Services []string `json:"services,omitempty"`
	// Regions that may serve it. Default: all.
	Regions []string `json:"regions,omitempty"`
	// ZoneWeights cuts its quota over zones. Default: the zones' weights.
	ZoneWeights map[string]float64 `json:"zone_weights,omitempty"`
	// Keys by id. Only hashes are kept.
	Keys map[string]Key `json:"keys,omitempty"`
	// MaxStalenessMs refuses the customer where the configuration has not
	// been confirmed for so long, at least MinStalenessMs. Default 0: a
	// cut-off zone goes on serving.
	MaxStalenessMs int64 `json:"max_staleness_ms,omitempty"`
}

// Key is what is kept of a customer's key.
type Key struct {
	// SHA256 of the key in lower-case hexadecimal.
	SHA256 string `json:"sha256"`
}

// Move is a planned shift of a service's traffic between regions.
type Move struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// Share of the traffic of From that goes to To in the end, 0 to 1.
	Share float64 `json:"share"`
	// CapPerSecond bounds the requests shifted per second by this and by
	// spill of (service, from, to) together.
	CapPerSecond float64 `json:"cap_per_second"`
	// RampSeconds is the time from 0 to Share. Default 60.
	RampSeconds float64 `json:"ramp_seconds,omitempty"`
	// StartUnixMs is the start of the ramp. Set by whoever submits the move.
	StartUnixMs int64 `json:"start_unix_ms,omitempty"`
}

// DrainKind says what a drain empties.
type DrainKind string

// Kinds of drain.
const (
	DrainUpstream DrainKind = "upstream"
	DrainZone     DrainKind = "zone"
	DrainRegion   DrainKind = "region"
	DrainHost     DrainKind = "host"
)

// Drain empties an upstream, zone, region or entry host.
type Drain struct {
	Kind   DrainKind `json:"kind"`
	Target string    `json:"target"`
	// CapPerSecond bounds the requests that the drain sends elsewhere.
	// Default 0: bounded only by the caps of moves and links.
	CapPerSecond float64 `json:"cap_per_second,omitempty"`
	// RampSeconds is the time until the target gets nothing new. Default 0.
	RampSeconds float64 `json:"ramp_seconds,omitempty"`
	// StartUnixMs is the start of the ramp.
	StartUnixMs int64 `json:"start_unix_ms,omitempty"`
}
