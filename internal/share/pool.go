package share

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/rendezvous"
)

// Why the hosts of one region share a bucket.
//
// Load pattern: sixty hosts and seventy customers, so that each host sees half a
// request a second of a customer with thirty. An even split leaves each host a bucket
// of about one token, and requests that come in pairs find it empty. One host of each
// region therefore holds the bucket of a customer, and the others ask it by datagram,
// a millisecond there and back.

// ShardOwner picks the host of a region that holds a customer's bucket, by rendezvous:
// hosts that know the same pool agree, and when one leaves only its customers
// move. "" if the pool is empty.
func ShardOwner(customer string, pool []string) string { return rendezvous.Pick(customer, pool) }

const (
	// fallbackPart of a rate is split evenly over all hosts for those whose owner
	// does not answer. It is small, since the owner may be giving out the whole
	// rate to those that reach it.
	fallbackPart = 0.25
	// fallbackDepth is one request for each host and customer.
	fallbackDepth = 1.0
)

// FallbackBucket admits a few requests where the owner of a customer's bucket does not
// answer: it has died and is still heard, or is cut off. It is safe for
// concurrent use.
type FallbackBuckets struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// NewFallbackBucket returns empty buckets.
func NewFallbackBuckets() *FallbackBuckets { return &FallbackBuckets{accounts: map[string]*account{}} }

// Admit takes one request of a customer, at one of so many hosts.
func (s *FallbackBuckets) Admit(now time.Time, c *catalog.Customer, hosts int) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[c.Name]
	if a == nil {
		a = &account{}
		s.accounts[c.Name] = a
	}
	part := fallbackPart / float64(max(hosts, 1))
	a.refill(now, now, part*c.Rate, fallbackDepth)
	v := Decision{Fraction: part}
	if a.tokens >= 1 {
		a.tokens--
		v.Admitted = true
		return v
	}
	v.RetryAfter = minRetryAfter
	return v
}
