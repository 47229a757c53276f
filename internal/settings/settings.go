package settings

import (
	"net/netip"
	"net/url"
	"time"

	"balsambarrow/internal/jsonc"
)

// Defaults of the optional fields.
const (
	DefaultListen          = "127.0.0.1:0"
	DefaultPlatformTimeout = 2 * time.Second
	DefaultShutdownTimeout = 60 * time.Second
	DefaultMaxHeaderBytes  = 16 << 10
	DefaultMaxBodyBytes    = 64 << 20
	DefaultMaxRunning      = 4096
)

// Upper bounds. Larger values are rejected as mistakes: a duration could overflow,
// and a limit would no longer protect the host's memory.
const (
	maxDurationMs  = 24 * 60 * 60 * 1000
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
	maxRunning     = 1_000_000
)

// Settings is the content of the daemon's settings file. Durations are in
// milliseconds.
type Settings struct {
	// Host is the name of the entry host in the platform's host list. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required.
	Zone string `json:"zone"`
	// Listen holds the addresses of the four listeners.
	Listen Listen `json:"listen"`
	// Platform configures the connection to the platform's store and host list.
	Platform Platform `json:"platform"`
	// TLS configures mutual TLS of the peers and relay listeners.
	TLS TLS `json:"tls"`
	// Limits bounds the requests of callers.
	Limits Limits `json:"limits"`
	// ShutdownTimeoutMs bounds a graceful shutdown. Default 60000.
	ShutdownTimeoutMs int64 `json:"shutdown_bound_ms"`
	// TraceFile is the file to which spans are written, as JSON with one span per
	// line. "-" is standard output. Default "": no spans are written.
	TraceFile string `json:"trace_file"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// Listen holds one IP address and port per listener. With port 0 the system picks a
// free port. Default for each: 127.0.0.1:0.
type Listen struct {
	// Callers serves lookups and callers' requests over HTTP.
	Callers string `json:"callers"`
	// Operators serves configuration, fleet status, health and metrics over HTTP.
	Operators string `json:"operators"`
	// Peers serves control messages of other daemons over drpc.
	Peers string `json:"peers"`
	// Relay serves requests forwarded by other daemons over HTTP.
	Relay string `json:"relay"`
}

// Platform configures the connection to the platform's store and host list.
type Platform struct {
	// URL is the base URL, http or https, with an IP address as host. Required.
	URL string `json:"url"`
	// TimeoutMs is the timeout of one call. Default 2000.
	TimeoutMs int64 `json:"timeout_ms"`
}

// TLS names the files by which daemons authenticate each other. They are read again
// when they change.
type TLS struct {
	// CertFile and KeyFile are this daemon's certificate and key (PEM).
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile is the certificate of the CA that signs all daemons' certificates (PEM).
	CAFile string `json:"ca_file"`
	// Plain allows unauthenticated plaintext TCP between daemons. Default false; the
	// three files are then required.
	Plain bool `json:"plain"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes bounds the body of a request. Default 64 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxRunning bounds the concurrent requests at this host. From nine tenths of
	// the limit on, callers are directed to other hosts. Default 4096.
	MaxRunning int `json:"max_running"`
}

// PlatformTimeout returns the timeout of one call to the platform.
func (s *Settings) PlatformTimeout() time.Duration {
	return time.Duration(s.Platform.TimeoutMs) * time.Millisecond
}

// ShutdownTimeout returns the timeout of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownTimeoutMs) * time.Millisecond
}

// Load reads and validates a settings file. The error of an invalid file is a
// jsonc.Faults value.
func Load(path string) (*Settings, error) {
	text, err := jsonc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates the text of a settings file. name is the file name in its
// faults.
func Parse(name string, text []byte) (*Settings, error) {
	return jsonc.Read(name, text, (*Settings).applyDefaults, (*Settings).faults)
}

func (s *Settings) applyDefaults() {
	for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers, &s.Listen.Relay} {
		setDefault(addr, DefaultListen)
	}
	setDefault(&s.LogLevel, "info")
	setDefault(&s.Platform.TimeoutMs, DefaultPlatformTimeout.Milliseconds())
	setDefault(&s.ShutdownTimeoutMs, DefaultShutdownTimeout.Milliseconds())
	setDefault(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.MaxRunning, DefaultMaxRunning)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
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
	require(s.Zone != "", "/zone", "required")
	for _, l := range []struct{ path, address string }{
		{"/listen/callers", s.Listen.Callers},
		{"/listen/operators", s.Listen.Operators},
		{"/listen/peers", s.Listen.Peers},
		{"/listen/relay", s.Listen.Relay},
	} {
		require(IsAddress(l.address), l.path, "want an IP address and a port")
		require(!isWildcard(l.address), l.path, "want the address that others reach, not a wildcard")
	}
	require(isPlatformURL(s.Platform.URL), "/platform/url", "want http://IP:PORT or https://IP:PORT")
	require(inRange(s.Platform.TimeoutMs, maxDurationMs), "/platform/timeout_ms", "want a positive number of milliseconds, a day at most")
	require(inRange(s.ShutdownTimeoutMs, maxDurationMs), "/shutdown_bound_ms", "want a positive number of milliseconds, a day at most")
	require(inRange(int64(s.Limits.MaxHeaderBytes), maxHeaderBytes), "/limits/max_header_bytes", "want a positive number of bytes, a megabyte at most")
	require(inRange(s.Limits.MaxBodyBytes, maxBodyBytes), "/limits/max_body_bytes", "want a positive number of bytes, a gigabyte at most")
	require(inRange(int64(s.Limits.MaxRunning), maxRunning), "/limits/max_running", "want a positive number of requests, a million at most")
	require(IsLogLevel(s.LogLevel), "/log_level", "want debug, info, warn or error")
	if !s.TLS.Plain {
		require(s.TLS.CertFile != "", "/tls/cert_file", "required unless /tls/plain is true")
		require(s.TLS.KeyFile != "", "/tls/key_file", "required unless /tls/plain is true")
		require(s.TLS.CAFile != "", "/tls/ca_file", "required unless /tls/plain is true")
	}
	return faults
}

func inRange(value, limit int64) bool { return value > 0 && value <= limit }

// IsAddress reports whether s consists of an IP address and a port.
func IsAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// isWildcard reports whether s is an unspecified address such as 0.0.0.0. The daemon
// advertises its listen addresses to callers and peers, who cannot connect to an
// unspecified address.
func isWildcard(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Addr().IsUnspecified()
}

func isPlatformURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	return IsAddress(u.Host)
}

// IsLogLevel reports whether s is the name of a log level.
func IsLogLevel(s string) bool {
	switch s {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
