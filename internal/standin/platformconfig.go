package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// The customers and the service of a Declaration.
const (
	// CallerHost is the host name of both routes.
	CallerHost = "x.example"
	// ReadPath may be asked for again, PostPath may not.
	ReadPath = "/read/"
	PostPath = "/post/"
	// Service has all upstreams.
	Service = "s"
	// UnlimitedCustomer has no rate, HotCustomer has one and a burst; HotKey is its key.
	UnlimitedCustomer   = "calm"
	RateLimitedCustomer = "hot"
	RateLimitedKey      = "hot"
	RateLimit           = 30
	RateBurst           = 30
)

// PlatformConfig is what operators of the users' platform declare: a route for reads
// and one for postings, a customer without a rate and one with HotRate.
type PlatformConfig struct {
	Version int
	// Keys of the customer without a rate.
	Keys []string
}

// columns is a table as the platform spells it.
type platformTable struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Encode is the declaration's value in the store.
func (d PlatformConfig) Encode() []byte {
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", d.Version),
		"routes": platformTable{
			[]string{"name", "host", "prefix", "kind", "timeout", "target-latency", "max-attempts", "session-affinity", "service"},
			[][]any{
				{"read", CallerHost, ReadPath, "safe", "2000ms", "300ms", 2, true, Service},
				{"post", CallerHost, PostPath, "unsafe", "2000ms", "300ms", 2, true, Service},
			},
		},
		"services": platformTable{[]string{"name", "health-check-path", "cold-start", "cold-per-s"}, [][]any{{Service, "/health", "1s", 50}}},
		"limits":   map[string]any{},
		"tenants": platformTable{[]string{"name", "api-keys", "rate-per-s", "burst"}, [][]any{
			{UnlimitedCustomer, d.Keys, 0, 0}, {RateLimitedCustomer, []string{RateLimitedKey}, RateLimit, RateBurst},
		}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// Zones gives the region of each zone of a stand-in deployment.
var Zones = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// EntryHostSettings is the settings of one entry host of a stand-in deployment.
type EntryHostSettings struct {
	Name string
	Zone string
	// CallerAddress and Directory are its listeners; port 0 lets the system pick.
	CallerAddress    string
	DirectoryAddress string
	// StoreAddress is the address of the store.
	StoreAddress string
	// LinkMbps is the speed of its link; 0: it does not say.
	LinkMbps        int
	GracePeriod     time.Duration
	RevocationDelay time.Duration
}

// Encode is the text of its settings file.
func (h EntryHostSettings) Encode() []byte {
	text, err := json.MarshalIndent(map[string]any{
		"host": h.Name, "zone": h.Zone, "zones": Zones,
		"listen": map[string]string{
			"callers": h.CallerAddress, "readiness": "127.0.0.1:0", "directory": h.DirectoryAddress, "peers": "127.0.0.1:0",
		},
		"store": h.StoreAddress, "capacity": map[string]int{"link_mbps": h.LinkMbps},
		"bounds": map[string]any{
			"grace": h.GracePeriod.String(), "revoke": h.RevocationDelay.String(), "strict_revocation": true,
			"retry_ratio": 0.2, "retry_slack": 60, "retry_window": "10s",
		},
	}, "", "  ")
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return text
}
