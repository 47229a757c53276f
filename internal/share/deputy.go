package share

import (
	"math"
	"sync"
	"time"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/rendezvous"
)

// Load that this answers: callers within their rate while the owner of their customer's bucket is
// slow, frozen, starved of processor time or dead, and its heartbeats have not timed out yet. A
// host that does not get a response queries the next hosts in the order of the rendezvous hash.
// They pool the requests of all hosts, so that a customer with many hosts and few requests at
// each of them finds a token. What a deputy admits is taken off the bucket of the owner, once that
// receives packets again, and off the deputy's own bucket, which is the next owner's if the
// owner has died.

// MaxDeputies is the number of hosts after the owner that admit requests while it is silent.
const MaxDeputies = 2

const (
	// deputyFraction is the fraction of the region's rate that a deputy admits.
	deputyFraction = 0.5
	// deputyPeriod is the time within which the heartbeats of a dead owner time out, and for
	// which a deputy's bucket lasts at deputyFraction.
	deputyPeriod = 1300 * time.Millisecond
	// deputyRefill is the fraction of the region's rate with which a deputy's bucket refills. It is
	// below deputyFraction, so that an owner that stays silent to some hosts only, and grants
	// the full rate to others, is soon not exceeded further.
	deputyRefill = 0.1
	// deputyMargin is the number of requests that are added to a deputy's bucket, for requests
	// that arrive together.
	deputyMargin = 2.0
)

// EvenFraction returns the fraction of each rate that an owner has if the rates are split evenly.
func (l *Limiter) EvenFraction() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.even()
}

// ShardHolders returns the owner of a customer's bucket and its deputies, in this order.
func ShardHolders(customer string, pool []string) []string {
	return rendezvous.Rank(customer, pool, 1+MaxDeputies)
}

// DeputyBuckets admit requests of customers at a deputy of their owner. They are safe for
// concurrent use.
type DeputyBuckets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewDeputyBuckets returns buckets without any customer.
func NewDeputyBuckets() *DeputyBuckets { return &DeputyBuckets{buckets: map[string]*bucket{}} }

// Admit decides on one request of a customer. fraction is the fraction of the rate that the
// owner last had; one that is not a number counts as 0.
func (d *DeputyBuckets) Admit(now time.Time, c *catalog.Customer, fraction float64) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	fraction = validFraction(fraction)
	rate := fraction * c.Rate
	depth := rate*deputyFraction*deputyPeriod.Seconds() + deputyMargin
	b := d.buckets[c.Name]
	if b == nil {
		b = &bucket{tokens: depth, refilledAt: now}
		d.buckets[c.Name] = b
	}
	b.refill(now, deputyRefill*rate, depth)
	v := Decision{Fraction: fraction}
	if b.tokens >= 1 {
		b.tokens--
		v.Admitted = true
		return v
	}
	v.RetryAfter = minRetryAfter
	return v
}

// Charge takes requests that a deputy has admitted off the customer's bucket. The debt is
// at most one depth of the bucket.
func (l *Limiter) Charge(now time.Time, c *catalog.Customer, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	_, depth := l.refill(now, c, b, l.fraction(now, c.Name, b))
	b.tokens = max(b.tokens-max(requests, 0), -depth)
}

// validFraction limits a fraction that a peer has sent. One that is not a number would make the tokens of
// a bucket not a number for good, and all requests be refused.
func validFraction(fraction float64) float64 {
	if math.IsNaN(fraction) {
		return 0
	}
	return min(max(fraction, 0), 1)
}
