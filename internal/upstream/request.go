package upstream

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/wire"
)

// newRequest returns the request for a slot for a call. Kinds of requests are
// distinguished by method and first path segment: that separates reports from
// lookups, and each kind is seen often enough to estimate its service time.
// avoid names the upstream to use only as a last resort.
func newRequest(call *wire.Call, avoid string) Request {
	segment, _, _ := strings.Cut(strings.TrimPrefix(call.Path, "/"), "/")
	return Request{
		Service: call.Service, Customer: call.Customer, Deadline: call.Deadline,
		Key:  xxhash.Sum64String(call.KeyDigest),
		Kind: xxhash.Sum64String(call.Method + " " + segment),
		Safe: call.Safe(), Avoid: avoid,
	}
}
