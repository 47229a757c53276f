package share

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/rendezvous"
)

// The hosts of one region share a bucket for each customer because one bucket per host
// would be too small: with sixty hosts, each host sees half a request per second of a
// customer that sends thirty, and an even split leaves each host a bucket of about one
// token. Requests that arrive in pairs would find that bucket empty. The owner of the
// bucket is queried by datagram, with a round-trip time of about a millisecond.

// ShardOwner returns the host of a region that holds a customer's bucket, chosen by
// rendezvous hashing: hosts that know the same pool agree on the owner, and when a host
// leaves only its own customers move. The result is empty if the pool is empty.
func ShardOwner(customer string, pool []string) string { return rendezvous.Pick(customer, pool) }

const (
	// fallbackFraction is the fraction of a customer's rate that is split evenly over all
	// hosts for use while the owner and its deputies do not respond. It is small because the
	// owner may be granting the full rate to the hosts that reach it.
	fallbackFraction = 0.25
	// fallbackBurst is the burst of one customer at one host, in requests.
	fallbackBurst = 1.0
	// fallbackRenewal is the fraction of the requests beyond fallbackBurst that is renewed each
	// second.
	fallbackRenewal = 0.2
)

// FallbackBuckets admit a few requests of each customer while neither the owner of the
// customer's bucket nor a deputy responds, because they have failed and their heartbeats have
// not timed out yet, or because of a partition. They are safe for concurrent use.
type FallbackBuckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewFallbackBuckets returns buckets without any customer.
func NewFallbackBuckets() *FallbackBuckets { return &FallbackBuckets{buckets: map[string]*bucket{}} }

// Admit decides on one request of a customer. hosts is the number of entry hosts that
// the fallback rate is split among. recent is the number of requests beyond the fallback burst
// that the host may admit, from the rate at which the owner has granted requests to it. A
// customer that was over its rate begins without the fallback burst: over many hosts, that is
// more than operators were promised.
func (f *FallbackBuckets) Admit(now time.Time, c *catalog.Customer, hosts int, recent float64, overRate bool) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	depth := fallbackBurst + recent
	b := f.buckets[c.Name]
	if b == nil {
		b = &bucket{tokens: depth, refilledAt: now}
		if overRate {
			b.tokens = recent
		}
		f.buckets[c.Name] = b
	}
	fraction := fallbackFraction / float64(max(hosts, 1))
	b.refill(now, fraction*c.Rate+recent*fallbackRenewal, depth)
	d := Decision{Fraction: fraction}
	if b.tokens >= 1 {
		b.tokens--
		d.Admitted = true
		return d
	}
	d.RetryAfter = minRetryAfter
	return d
}
