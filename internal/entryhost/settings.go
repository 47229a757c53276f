package entryhost

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/jsonc"
	"balsambarrow/internal/settings"
)

// Settings is the daemon's settings file, JSON with comments.
type Settings struct {
	// Host names the entry host. Required.
	Host string `json:"host"`
	// Zone is the availability zone that it stands in. Required; a name of Zones.
	Zone string `json:"zone"`
	// Zones gives the region of each availability zone. Required.
	Zones map[string]string `json:"zones"`
	// Listen holds the addresses of the listeners, IP:port.
	Listen Listen `json:"listen"`
	// Store is the address of the platform's store, IP:port. Required.
	Store string `json:"store"`
	// Capacity is what the host has. Default: not known, then all hosts of the
	// fleet count as alike.
	Capacity Capacity `json:"capacity"`
	// Bounds are the times and amounts that were promised to users.
	Bounds Bounds `json:"bounds"`
	// TraceFile receives one JSON span a line; "-" is standard output. Default
	// "": no spans are written.
	TraceFile string `json:"trace_file"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// Listen holds one address per listener.
type Listen struct {
	// Callers serves requests over HTTP. Required.
	Callers string `json:"callers"`
	// Readiness answers whether the daemon is ready. Required.
	Readiness string `json:"readiness"`
	// Directory tells callers where to connect. Required.
	Directory string `json:"directory"`
	// Peers receives heartbeats, as datagrams. Required.
	Peers string `json:"peers"`
	// Metrics serves counters and histograms. Default "": not served.
	Metrics string `json:"metrics"`
}

// Capacity is what a host has; see package standby for what it decides.
type Capacity struct {
	// CPUShare of a core, and CPUCores, how many times as fast as the usual one
	// that core is.
	CPUShare float64 `json:"cpu_share"`
	CPUCores float64 `json:"cpu_cores"`
	// LinkMbps is the rate of the host's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory that the process may use, in MB. Default 0: not known.
	MemoryMB float64 `json:"memory_mb"`
	// Descriptors is the number of files and connections that the process may
	// have open. Default 0: not known, then callers' connections are not bounded.
	Descriptors int `json:"descriptors"`
}

// Bounds are what was promised to users. Times are strings with a unit.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL. Default 6s.
	Grace Duration `json:"grace"`
	// Revoke is the time after which a key that was withdrawn must not work
	// anywhere. Default 0: a host that is cut off goes on accepting keys.
	Revoke Duration `json:"revoke"`
	// StrictRevocation says that Revoke binds also hosts that are cut off from
	// the store. Default false.
	StrictRevocation bool `json:"strict_revocation"`
	// RetryRatio, RetrySlack and RetryWindow bound the tries again of a service
	// over the fleet: in any window, the ratio of its requests and the slack.
	// Defaults 0.1, 0 and 10s.
	RetryRatio  float64  `json:"retry_ratio"`
	RetrySlack  float64  `json:"retry_slack"`
	RetryWindow Duration `json:"retry_window"`
	// RateSlack is the number of requests beyond its rate and burst that a customer may
	// get. Default 0.
	RateSlack float64 `json:"rate_slack"`
	// MaxShift bounds the part of a region's requests that may change the
	// region in which they run, from one two seconds to the next. Default 0:
	// without bound.
	MaxShift float64 `json:"max_shift"`
}

// Duration is spelled "1500ms" or "2.5s".
type Duration string

// Value returns the duration; 0 for "". A checked settings file has no other
// spelling.
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
)

// LoadSettings reads and checks a settings file. A file that cannot be used
// gives a jsonc.Faults error.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings checks the text of a settings file; name appears in its faults.
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
	require(s.Listen.Metrics == "" || settings.IsAddress(s.Listen.Metrics), "/listen/metrics", "want an IP address and a port, or nothing")
	for _, d := range []struct {
		path string
		text Duration
	}{
		{"/bounds/grace", s.Bounds.Grace},
		{"/bounds/revoke", s.Bounds.Revoke},
		{"/bounds/retry_window", s.Bounds.RetryWindow},
	} {
		_, err := time.ParseDuration(string(d.text))
		require(d.text == "" || err == nil, d.path, `want a time such as "2.5s"`)
	}
	require(s.Capacity.CPUShare >= 0, "/capacity/cpu_share", "want zero or more")
	require(s.Capacity.CPUCores >= 0, "/capacity/cpu_cores", "want zero or more")
	require(s.Capacity.LinkMbps >= 0, "/capacity/link_mbps", "want zero or more")
	require(s.Capacity.MemoryMB >= 0, "/capacity/memory_mb", "want zero or more")
	require(s.Capacity.Descriptors >= 0, "/capacity/descriptors", "want zero or more")
	require(s.Bounds.RetryWindow.Value() > 0, "/bounds/retry_window", "want more than nothing")
	require(s.Bounds.RetryRatio >= 0, "/bounds/retry_ratio", "want zero or more")
	require(s.Bounds.RateSlack >= 0, "/bounds/rate_slack", "want zero or more")
	require(s.Bounds.MaxShift >= 0 && s.Bounds.MaxShift <= 1, "/bounds/max_shift", "want a part, 0 to 1")
	require(s.Bounds.RetrySlack >= 0, "/bounds/retry_slack", "want zero or more")
	require(settings.IsLogLevel(s.LogLevel), "/log_level", "want debug, info, warn or error")
	return faults
}
