package catalog

import (
	"time"
)

// Kind says what may be repeated.
type Kind string

// Kinds of route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests may run once at most.
	KindUnsafe Kind = "unsafe"
	// KindDownload requests have large answers and may run more than once.
	KindDownload Kind = "download"
)

// Idempotent tells whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == KindSafe || k == KindDownload }

// Part is one service of a route and its weight among the route's parts.
type WeightedService struct {
	Service string
	// Weight is relative to the other parts; the sum need not be 100.
	Weight float64
}

// Route says which requests go to which service, and how they are treated.
type Route struct {
	Name string
	// Host is the Host header that the route belongs to.
	Host string
	// Prefix of the path; begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; 0: no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full use; 0: unknown.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Parts are the services, with the share that each is to get.
	Services []WeightedService
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity says that an upstream which has handled an object lately is
	// faster with it.
	Affinity bool
	// Regions that may serve the route; empty: all.
	Regions []string
}

// Service is what operators declare of a service.
type Service struct {
	Name string
	// HealthPath of the status check.
	HealthPath string
	// MaxConns is the number of connections one upstream accepts from all
	// callers together.
	MaxConns int
	// ColdFor is how long an upstream stays cold after it starts.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream
	// bears, from all entry hosts together; 0: no bound.
	ColdRate float64
}

// Customer is a tenant.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate in requests per second and Burst in requests, over all entry hosts
	// together. Rate 0: no limit.
	Rate  float64
	Burst float64
	// Regions that may serve the customer; empty: all.
	Regions []string
}

// Limits bounds what callers may send; 0 means no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is a catalog before it is indexed.
type Declaration struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// Keyed says that requests carry customers' keys. It is false where the
	// declaration names no customers at all.
	RequiresKeys bool
}

// Catalog is one version of what operators declared, indexed.
type Catalog struct {
	Version      uint64
	Limits       Limits
	RequiresKeys bool
	services     map[string]*Service
	// byHost holds the routes of each host, longest prefix first.
	byHost    map[string][]*Route
	byKey     map[string]*Customer
	customers []*Customer
}
