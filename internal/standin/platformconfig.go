package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// The routes, service and customers of a PlatformConfig.
const (
	// CallerHost is the host name that both routes match.
	CallerHost = "x.example"
	// ReadPath is the path prefix of the route whose requests may be retried, PostPath of
	// the route whose requests must not run twice.
	ReadPath = "/read/"
	PostPath = "/post/"
	// Service is the name of the only service.
	Service = "s"
	// UnlimitedCustomer has no rate limit. RateLimitedCustomer has RateLimit requests per
	// second with a burst of RateBurst, and RateLimitedKey is its API key.
	UnlimitedCustomer   = "calm"
	RateLimitedCustomer = "hot"
	RateLimitedKey      = "hot"
	RateLimit           = 30
	RateBurst           = 30
)

// RouteTimeout is the time limit of the routes of a PlatformConfig.
const RouteTimeout = 2 * time.Second

// PlatformConfig is a configuration in the format of the users' platform: a route for
// reads and one for postings, a customer without a rate limit and one with RateLimit.
type PlatformConfig struct {
	Version int
	// Keys are the API keys of UnlimitedCustomer.
	Keys []string
	// Burst is the burst of RateLimitedCustomer; 0 means RateBurst.
	Burst int
}

// platformTable is a table in the platform's encoding.
type platformTable struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Encode returns the configuration's value in the store.
func (d PlatformConfig) Encode() []byte {
	burst := d.Burst
	if burst == 0 {
		burst = RateBurst
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", d.Version),
		"routes": platformTable{
			[]string{"name", "host", "prefix", "kind", "timeout", "target-latency", "max-attempts", "session-affinity", "service"},
			[][]any{
				{"read", CallerHost, ReadPath, "safe", RouteTimeout.String(), "300ms", 2, true, Service},
				{"post", CallerHost, PostPath, "unsafe", RouteTimeout.String(), "300ms", 2, true, Service},
			},
		},
		"services": platformTable{[]string{"name", "health-check-path", "cold-start", "cold-per-s"}, [][]any{{Service, "/health", "1s", 50}}},
		"limits":   map[string]any{},
		"tenants": platformTable{[]string{"name", "api-keys", "rate-per-s", "burst"}, [][]any{
			{UnlimitedCustomer, d.Keys, 0, 0}, {RateLimitedCustomer, []string{RateLimitedKey}, RateLimit, burst},
		}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// Zones maps each zone of a stand-in deployment to its region.
var Zones = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// EntryHostSettings are the settings of one entry host of a stand-in deployment.
type EntryHostSettings struct {
	Name string
	Zone string
	// CallerAddress, DirectoryAddress and PeerAddress are listening addresses; with port 0 the
	// system picks the port, which is also the default of PeerAddress.
	CallerAddress    string
	DirectoryAddress string
	PeerAddress      string
	// MetricsAddress is the listening address for metrics; "" serves none.
	MetricsAddress string
	// StoreAddress is the address of the store.
	StoreAddress string
	// LinkMbps is the declared speed of the host's link; 0 declares none.
	LinkMbps        int
	GracePeriod     time.Duration
	RevocationDelay time.Duration
	// SharesRoom makes the hosts share the room of upstreams, and queue requests that find none.
	SharesRoom bool
	// RetryRatio is the ratio of retries to requests; 0 means 0.2.
	RetryRatio float64
}

// Encode returns the text of the settings file.
func (h EntryHostSettings) Encode() []byte {
	if h.PeerAddress == "" {
		h.PeerAddress = "127.0.0.1:0"
	}
	if h.RetryRatio == 0 {
		h.RetryRatio = 0.2
	}
	overload := "auto"
	if h.SharesRoom {
		overload = "on"
	}
	text, err := json.MarshalIndent(map[string]any{
		"host": h.Name, "zone": h.Zone, "zones": Zones,
		"listen": map[string]string{
			"callers": h.CallerAddress, "readiness": "127.0.0.1:0", "directory": h.DirectoryAddress, "peers": h.PeerAddress, "tunnels": "127.0.0.1:0",
			"metrics": h.MetricsAddress,
		},
		"store": h.StoreAddress, "capacity": map[string]int{"link_mbps": h.LinkMbps},
		"bounds": map[string]any{
			"grace": h.GracePeriod.String(), "revoke": h.RevocationDelay.String(), "strict_revocation": true,
			"retry_ratio": h.RetryRatio, "retry_slack": 60, "retry_window": "10s",
		},
		"overload": map[string]string{"sharing": overload, "queue": overload},
	}, "", "  ")
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return text
}
