// Package traffic holds what a request and an answer say to the entry host,
// apart from how the wire spells it.
package traffic

import (
	"net/http"
	"time"
)

// Request is what a caller says besides method, target and body.
type Request struct {
	// ID of this attempt of the caller; upstreams echo it.
	ID string
	// Object is the affinity key: requests about one object share it.
	Object string
	// TimeBudget is how long the caller will wait; 0: not said.
	TimeBudget time.Duration
	// Key is the customer's.
	APIKey string
}

// Forward is what the entry host says to an upstream.
type Forward struct {
	// Remaining is the time that the upstream may use.
	Remaining time.Duration
	// Instance is the upstream that is meant: any other one refuses.
	ExpectedInstance string
	// Customer is the tenant's name; "" for a public route.
	Customer string
	// DropKey says that the caller's key must not be passed on.
	DropAPIKey bool
}

// Load is what an upstream said of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what an upstream's answer says besides status and body.
type Response struct {
	// ID of the request that is answered.
	ID string
	// Signed says that the answer bears the upstream's signature.
	Signed bool
	// NotRun says that the upstream certainly did not run the request.
	NotRun bool
	// Misdirected says that another upstream has the address now.
	Misdirected bool
	// Encoded says that the body is not as the upstream wrote it.
	Encoded bool
	// Load, if Told is set.
	Load    Load
	HasLoad bool
	// ColdFor is how long the upstream stays cold; 0 if it does not say.
	ColdFor time.Duration
	// KeepFor is how long the upstream keeps the connection; 0: not said.
	KeepAlive time.Duration
	// Instance that answered, where it says so.
	Instance string
}

// Codec reads and writes these on the wire.
type Codec interface {
	// Request reads what the caller says.
	ParseRequest(r *http.Request) Request
	// Forward makes the header for an upstream from the caller's.
	ForwardHeader(from http.Header, f Forward) http.Header
	// Answer reads what the upstream says.
	ParseResponse(r *http.Response) Response
	// Refusal adds to a refusal when to come back.
	SetRetryAfter(h http.Header, comeBack time.Duration)
}
