package upstream

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsambarrow/internal/wire"
)

// requestOf asks for room for a call. What tells kinds of work apart is method
// and first path segment: enough to know reports from lookups, few enough
// that each is seen often. avoid names the upstream to try last.
func newRequest(call *wire.Call, avoid string) Request {
	segment, _, _ := strings.Cut(strings.TrimPrefix(call.Path, "/"), "/")
	return Request{
		Service: call.Service, Customer: call.Customer, Deadline: call.Deadline,
		Key:  xxhash.Sum64String(call.KeyDigest),
		Kind: xxhash.Sum64String(call.Method + " " + segment),
		Safe: call.Safe(), Avoid: avoid,
	}
}
