package entryhost

import (
	"fmt"
	"time"

	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/settings"
	"balsambarrow/internal/suspect"
)

// Settings is the daemon's settings file, in JSON with comments.
type Settings struct {
	// Host is the name of the entry host. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required; must be a key of Zones.
	Zone string `json:"zone"`
	// Zones maps each availability zone to its region. Required.
	Zones map[string]string `json:"zones"`
	// Listen holds the addresses of the listeners, as IP:port.
	Listen Listen `json:"listen"`
	// Store is the address of the platform's store, as IP:port. Required.
	Store string `json:"store"`
	// Capacity is the capacity of the host. Default: unknown; then all hosts of the fleet count
	// as equal.
	Capacity Capacity `json:"capacity"`
	// Bounds are the times and limits that were promised to users.
	Bounds Bounds `json:"bounds"`
	// Agreement lists the parts of the platform's service agreement that are in force, by the
	// platform's names. Unknown names are ignored.
	Agreement []string `json:"agreement"`
	// Overload switches the features for deployments with more demand than room.
	Overload Overload `json:"overload"`
	// Memory bounds what callers make the host and its upstreams hold.
	Memory Memory `json:"memory"`
	// TrustedRequests are the fingerprints of requests that are not refused although upstreams have
	// ended under them. Default none.
	TrustedRequests []string `json:"trusted_requests"`
	// TraceFile receives one JSON span per line; "-" is standard output. Default "": no spans
	// are written.
	TraceFile string `json:"trace_file"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// Listen holds one address per listener.
type Listen struct {
	// Callers serves callers' requests over HTTP. Required.
	Callers string `json:"callers"`
	// Readiness serves the readiness check. Required.
	Readiness string `json:"readiness"`
	// Directory serves the addresses of the hosts to which callers should connect. Required.
	Directory string `json:"directory"`
	// Peers receives datagrams of peers. Required.
	Peers string `json:"peers"`
	// Tunnels connects other entry hosts to upstreams while their own links are down; only other
	// entry hosts may reach it. Default "": not served.
	Tunnels string `json:"tunnels"`
	// Metrics serves counters and histograms. Default "": not served.
	Metrics string `json:"metrics"`
}

// Capacity is the capacity of a host; package standby uses it to select the active hosts.
type Capacity struct {
	// CPUShare is the share of a core that the host has, and CPUCores the speed of that core
	// relative to the usual core.
	CPUShare float64 `json:"cpu_share"`
	CPUCores float64 `json:"cpu_cores"`
	// LinkMbps is the rate of the host's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory that the process may use, in MB. Default 0: unknown.
	MemoryMB float64 `json:"memory_mb"`
	// Descriptors is the number of files and connections that the process may have open.
	// Default 0: unknown; then callers' connections are not limited.
	Descriptors int `json:"descriptors"`
}

// Bounds are the times and limits that were promised to users. Times are strings with a unit.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL. Default 6s.
	Grace Duration `json:"grace"`
	// Revoke is the time after which a withdrawn API key must not work on any host. Default 0:
	// a host that is partitioned from the store goes on accepting keys.
	Revoke Duration `json:"revoke"`
	// StrictRevocation makes Revoke apply to hosts that are partitioned from the store too.
	// Default false.
	StrictRevocation bool `json:"strict_revocation"`
	// RetryRatio, RetrySlack and RetryWindow bound the retries to a service over the whole
	// fleet. In any window, the number of retries is at most RetryRatio times the number of
	// requests, plus RetrySlack. Defaults 0.1, 0 and 10s.
	RetryRatio  float64  `json:"retry_ratio"`
	RetrySlack  float64  `json:"retry_slack"`
	RetryWindow Duration `json:"retry_window"`
	// RateSlack is the number of requests that a customer may be granted beyond its rate and
	// burst. Default 0.
	RateSlack float64 `json:"rate_slack"`
	// MaxShift bounds the fraction of a region's requests that may run in another region than
	// before, from one two-second interval to the next. Default 0: not bounded.
	MaxShift float64 `json:"max_shift"`
	// UpstreamHeartbeat is how often an upstream writes its registration. Default 2s.
	UpstreamHeartbeat Duration `json:"upstream_heartbeat"`
}

// Duration is a duration such as "1500ms" or "2.5s".
type Duration string

// Value returns the duration, or 0 for "". A validated settings file holds no text that does
// not parse.
func (d Duration) Value() time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return 0
	}
	return v
}

// Defaults of the optional fields.
const (
	defaultGrace       = "6s"
	defaultRetryRatio  = 0.1
	defaultRetryWindow = "10s"
	defaultHeartbeat   = "2s"
)

// LoadSettings reads and validates a settings file. An invalid file gives an error of type
// jsonc.Faults.
func LoadSettings(path string) (*Settings, error) {
	text, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(path, text)
}

// ParseSettings validates the text of a settings file; name appears in its faults.
func ParseSettings(name string, text []byte) (*Settings, error) {
	return jsonc.Read(name, text, (*Settings).applyDefaults, (*Settings).faults)
}

func (s *Settings) applyDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Bounds.Grace == "" {
		s.Bounds.Grace = defaultGrace
	}
	if s.Bounds.RetryRatio == 0 {
		s.Bounds.RetryRatio = defaultRetryRatio
	}
	if s.Bounds.RetryWindow == "" {
		s.Bounds.RetryWindow = defaultRetryWindow
	}
	if s.Bounds.UpstreamHeartbeat == "" {
		s.Bounds.UpstreamHeartbeat = defaultHeartbeat
	}
	s.Overload.applyDefaults()
	s.Memory.applyDefaults()
}

func (s *Settings) faults(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	require := func(ok bool, path, problem string) {
		if !ok {
			faults = append(faults, doc.FaultAt(path, problem))
		}
	}
	require(s.Host != "", "/host", "required")
	require(s.Zones[s.Zone] != "", "/zone", "want a name of /zones")
	for _, a := range []struct{ path, address string }{
		{"/listen/callers", s.Listen.Callers},
		{"/listen/readiness", s.Listen.Readiness},
		{"/listen/directory", s.Listen.Directory},
		{"/listen/peers", s.Listen.Peers},
		{"/store", s.Store},
	} {
		require(settings.IsAddress(a.address), a.path, "want an IP address and a port")
	}
	require(s.Listen.Tunnels == "" || settings.IsAddress(s.Listen.Tunnels), "/listen/tunnels", "want an IP address and a port, or nothing")
	require(s.Listen.Metrics == "" || settings.IsAddress(s.Listen.Metrics), "/listen/metrics", "want an IP address and a port, or nothing")
	require(s.Capacity.CPUShare >= 0, "/capacity/cpu_share", "want zero or more")
	require(s.Capacity.CPUCores >= 0, "/capacity/cpu_cores", "want zero or more")
	require(s.Capacity.LinkMbps >= 0, "/capacity/link_mbps", "want zero or more")
	require(s.Capacity.MemoryMB >= 0, "/capacity/memory_mb", "want zero or more")
	require(s.Capacity.Descriptors >= 0, "/capacity/descriptors", "want zero or more")
	faults = append(faults, s.Bounds.faults(doc)...)
	faults = append(faults, s.Overload.faults(doc)...)
	faults = append(faults, s.Memory.faults(doc)...)
	for i, text := range s.TrustedRequests {
		_, err := suspect.ParseFingerprint(text)
		require(err == nil, fmt.Sprint("/trusted_requests/", i), "want the 16 hexadecimal digits of a request in the log")
	}
	require(settings.IsLogLevel(s.LogLevel), "/log_level", "want debug, info, warn or error")
	return faults
}

func (b *Bounds) faults(doc *jsonc.Document) jsonc.Faults {
	var faults jsonc.Faults
	require := func(ok bool, path, problem string) {
		if !ok {
			faults = append(faults, doc.FaultAt(path, problem))
		}
	}
	for _, d := range []struct {
		path string
		text Duration
	}{
		{"/bounds/grace", b.Grace},
		{"/bounds/revoke", b.Revoke},
		{"/bounds/retry_window", b.RetryWindow},
		{"/bounds/upstream_heartbeat", b.UpstreamHeartbeat},
	} {
		_, err := time.ParseDuration(string(d.text))
		require(d.text == "" || err == nil, d.path, `want a time such as "2.5s"`)
	}
	require(b.RetryWindow.Value() > 0, "/bounds/retry_window", "want more than zero")
	require(b.UpstreamHeartbeat.Value() > 0, "/bounds/upstream_heartbeat", "want more than zero")
	require(b.Grace.Value() > 0, "/bounds/grace", "want more than zero")
	require(b.Revoke.Value() >= 0, "/bounds/revoke", "want zero or more")
	require(b.RetryRatio >= 0, "/bounds/retry_ratio", "want zero or more")
	require(b.RateSlack >= 0, "/bounds/rate_slack", "want zero or more")
	require(b.MaxShift >= 0 && b.MaxShift <= 1, "/bounds/max_shift", "want a fraction, 0 to 1")
	require(b.RetrySlack >= 0, "/bounds/retry_slack", "want zero or more")
	return faults
}
