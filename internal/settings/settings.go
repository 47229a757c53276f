package settings

import (
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

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

// Upper bounds. Beyond them a field is a mistake: a duration would overflow,
// and a limit would no longer protect the host's memory.
const (
	maxDurationMs  = 24 * 60 * 60 * 1000
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
	maxRunning     = 1_000_000
)

// Settings is the daemon's settings file. Every duration is in milliseconds.
type Settings struct {
	// Host names the entry host, as the platform's host list does. Required.
	Host string `json:"host"`
	// Zone is the availability zone the host stands in. Required.
	Zone string `json:"zone"`
	// Listen holds the addresses of the four listeners.
	Listen Listen `json:"listen"`
	// Platform says how the platform's store and host list are reached.
	Platform Platform `json:"platform"`
	// TLS protects the peers and relay listeners.
	TLS TLS `json:"tls"`
	// Limits bounds what callers may send.
	Limits Limits `json:"limits"`
	// ShutdownTimeoutMs bounds a planned stop. Default 60000.
	ShutdownTimeoutMs int64 `json:"shutdown_bound_ms"`
	// TraceFile receives one JSON span a line; "-" is standard output.
	// Default "": no spans are written.
	TraceFile string `json:"trace_file"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// Listen holds one IP address and port per listener. Port 0 lets the system
// pick. Default for each: 127.0.0.1:0.
type Listen struct {
	// Callers serves lookups and the request path over HTTP.
	Callers string `json:"callers"`
	// Operators serves configuration, fleet status, health and metrics over HTTP.
	Operators string `json:"operators"`
	// Peers serves control messages between daemons over drpc.
	Peers string `json:"peers"`
	// Relay serves requests passed on by other daemons over HTTP.
	Relay string `json:"relay"`
}

// Platform says how the platform's store and host list are reached.
type Platform struct {
	// URL is the base address, http or https, by IP number. Required.
	URL string `json:"url"`
	// TimeoutMs bounds one call. Default 2000.
	TimeoutMs int64 `json:"timeout_ms"`
}

// TLS names the files that authenticate daemons to each other. All three are
// read again when they change.
type TLS struct {
	// CertFile and KeyFile are this daemon's certificate and key (PEM).
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the authority that signed every daemon's certificate (PEM).
	CAFile string `json:"ca_file"`
	// Plain allows unauthenticated TCP between daemons. Default false: then
	// the three files are required.
	Plain bool `json:"plain"`
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxHeaderBytes bounds one request's header. Default 16384.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes bounds one request's body. Default 64 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxRunning bounds the requests that run at this host at once. From nine
	// tenths of it callers are sent elsewhere. Default 4096.
	MaxRunning int `json:"max_running"`
}

// PlatformTimeout is the bound of one platform call.
func (s *Settings) PlatformTimeout() time.Duration {
	return time.Duration(s.Platform.TimeoutMs) * time.Millisecond
}

// ShutdownTimeout is the bound of a planned stop.
func (s *Settings) ShutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownTimeoutMs) * time.Millisecond
}

// Load reads and checks a settings file. A file that cannot be used gives a
// jsonc.Faults error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse checks the text of a settings file; name appears in its faults.
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
	require(within(s.Platform.TimeoutMs, maxDurationMs), "/platform/timeout_ms", "want a positive number of milliseconds, a day at most")
	require(within(s.ShutdownTimeoutMs, maxDurationMs), "/shutdown_bound_ms", "want a positive number of milliseconds, a day at most")
	require(within(int64(s.Limits.MaxHeaderBytes), maxHeaderBytes), "/limits/max_header_bytes", "want a positive number of bytes, a megabyte at most")
	require(within(s.Limits.MaxBodyBytes, maxBodyBytes), "/limits/max_body_bytes", "want a positive number of bytes, a gigabyte at most")
	require(within(int64(s.Limits.MaxRunning), maxRunning), "/limits/max_running", "want a positive number of requests, a million at most")
	require(IsLogLevel(s.LogLevel), "/log_level", "want debug, info, warn or error")
	if !s.TLS.Plain {
		require(s.TLS.CertFile != "", "/tls/cert_file", "required unless /tls/plain is true")
		require(s.TLS.KeyFile != "", "/tls/key_file", "required unless /tls/plain is true")
		require(s.TLS.CAFile != "", "/tls/ca_file", "required unless /tls/plain is true")
	}
	return faults
}

func within(value, most int64) bool { return value > 0 && value <= most }

// IsAddress tells whether s is an IP address and a port.
func IsAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// isWildcard tells an address that listens everywhere. The daemon tells callers
// and peers its addresses: nobody could reach it by this one.
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

// IsLogLevel tells whether s is a level of the log.
func IsLogLevel(s string) bool {
	switch s {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}
