// Package traffic defines the metadata that requests and responses carry, and the
// Codec that reads it from and writes it to HTTP headers.
package traffic

import (
	"net/http"
	"time"
)

// Request is the metadata of a caller's request, besides method, target and body.
type Request struct {
	// ID identifies this attempt of the caller; upstreams echo it in the response.
	ID string
	// Object is the affinity key, shared by all requests about one object.
	Object string
	// TimeBudget is how long the caller waits for the response; 0 if not specified.
	TimeBudget time.Duration
	// APIKey identifies and authenticates the customer.
	APIKey string
}

// Forward is the metadata that the entry host adds to a request to an upstream.
type Forward struct {
	// TimeLimit is how long the upstream may take to respond.
	TimeLimit TimeLimit
	// ExpectedInstance is the intended upstream; any other upstream rejects the request.
	ExpectedInstance string
	// Customer is the tenant name; "" for a public route.
	Customer string
	// DropAPIKey removes the caller's API key from the forwarded header.
	DropAPIKey bool
}

// Load is the load that an upstream reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at the upstream at present, relative to the usual time; 0 if
	// not reported.
	Slowdown float64
}

// RateLimit is what a response announces about the rate limit of its upstream.
type RateLimit struct {
	// Limited is set if the upstream accepts only PerSecond requests per second from all
	// entry hosts together.
	Limited   bool
	PerSecond float64
}

// Response is the metadata of an upstream's response, besides status and body.
type Response struct {
	// ID of the request that this response belongs to.
	ID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream certainly did not run the request.
	NotRun bool
	// Statement is what the upstream states about the execution, as it was received; "" if it states nothing.
	Statement string
	// Contradicts is set if the upstream states that it did not run the request, with a status that says that it did.
	Contradicts bool
	// Misdirected is set if the address now belongs to another upstream.
	Misdirected bool
	// Encoded is set if the body has a content encoding that the upstream did not apply.
	Encoded bool
	// Load is valid only if HasLoad is set.
	Load    Load
	HasLoad bool
	// LoadError is a *header.ValueError if the reported slowdown cannot be used.
	LoadError error
	// ColdFor is how long the upstream stays cold; 0 if not reported.
	ColdFor time.Duration
	// KeepAlive is how long the upstream keeps the connection open; 0 if not reported.
	KeepAlive time.Duration
	// Instance is the upstream that responded, if reported.
	Instance string
	// RateLimit is valid only if RateLimitError is nil.
	RateLimit RateLimit
	// RateLimitError is a *header.ValueError if the announced rate limit cannot be used.
	RateLimitError error
	// Leaving is set if the upstream is about to stop.
	Leaving bool
	// LeavingError is a *header.ValueError if the announcement cannot be used.
	LeavingError error
	// RetryAfter is how long the upstream wants no requests from this host after it has
	// rejected one; 0 if it does not say.
	RetryAfter time.Duration
	// RetryAfterError is a *header.ValueError if that time cannot be used.
	RetryAfterError error
}

// Codec maps the request and response metadata to HTTP headers.
type Codec interface {
	// ParseRequest reads the metadata of a caller's request.
	ParseRequest(r *http.Request) Request
	// ForwardHeader derives the header for an upstream from the caller's header.
	ForwardHeader(from http.Header, f Forward) http.Header
	// SetTimeLimit replaces the time limit in the header for an upstream.
	SetTimeLimit(h http.Header, l TimeLimit)
	// ParseResponse reads the metadata of an upstream's response.
	ParseResponse(r *http.Response) Response
	// ReplaceStatus removes from the header of an upstream's response what is true only with its own status.
	ReplaceStatus(h http.Header)
	// SetRetryAfter sets the delay after which the caller of a rejected request should
	// retry.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}
