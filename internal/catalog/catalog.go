package catalog

import (
	"time"
)

// Kind of a route states whether its requests may run more than once.
type Kind string

// Kinds of route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests may run at most once.
	KindUnsafe Kind = "unsafe"
	// KindDownload requests have large responses and may run more than once.
	KindDownload Kind = "download"
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == KindSafe || k == KindDownload }

// WeightedService is a service of a route and its weight among the route's services.
type WeightedService struct {
	Service string
	// Weight is relative to the route's other services; the sum need not be 100.
	Weight float64
}

// Route maps requests to services and defines how they are handled.
type Route struct {
	Name string
	// Host is the Host header that the route matches, without a port.
	Host string
	// Prefix of the paths that the route matches; begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the caller gets a response; 0: no limit.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value for the caller;
	// 0: not known.
	TargetLatency time.Duration
	// Priority of the route; 0 is the most urgent.
	Priority int
	// Services are the services among which the route's requests are split.
	Services []WeightedService
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity reports whether an upstream that has recently handled an object is
	// faster with further requests for it.
	Affinity bool
	// Regions that may serve the route; empty: all regions.
	Regions []string
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the number of connections that one upstream accepts from all
	// callers together.
	MaxConns int
	// ColdStart is the time for which an upstream is cold after it starts.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream can
	// handle, from all entry hosts together; 0: no limit.
	ColdRate float64
}

// Customer is a tenant.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate in requests per second and Burst in requests, over all entry hosts
	// together. Rate 0: no limit.
	Rate  float64
	Burst float64
	// Regions that may serve the customer; empty: all regions.
	Regions []string
}

// Limits of callers' requests and connections; 0: no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is the configuration from which a Catalog is built.
type Declaration struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// RequiresKeys reports whether requests need the key of a customer, except on public
	// routes. It is false if no customers are declared at all.
	RequiresKeys bool
}

// Catalog is one version of the declared configuration, indexed.
type Catalog struct {
	Version      uint64
	Limits       Limits
	RequiresKeys bool
	services     map[string]*Service
	// byHost holds the routes of each Host header, longest prefix first.
	byHost    map[string][]*Route
	byKey     map[string]*Customer
	customers []*Customer
}
