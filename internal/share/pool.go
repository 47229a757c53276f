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

// Owner picks the host of a region that holds a customer's bucket, by rendezvous:
// hosts that know the same pool agree, and when one leaves only its customers
// move. "" if the pool is empty.
func Owner(customer string, pool []string) string { return rendezvous.Pick(customer, pool) }

const (
	// sparePart of a rate is split evenly over all hosts for those whose owner
	// does not answer. It is small, since the owner may be giving out the whole
	// rate to those that reach it.
	sparePart = 0.25
	// spareDepth is one request for each host and customer.
	spareDepth = 1.0
)

// Spare admits a few requests where the owner of a customer's bucket does not
// answer: it has died and is still heard, or is cut off. It is safe for
// concurrent use.
type Spare struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// NewSpare returns an empty spare.
func NewSpare() *Spare { return &Spare{accounts: map[string]*account{}} }

// Admit takes one request of a customer, at one of so many hosts.
func (s *Spare) Admit(now time.Time, c *catalog.Customer, hosts int) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[c.Name]
	if a == nil {
		a = &account{}
		s.accounts[c.Name] = a
	}
	part := sparePart / float64(max(hosts, 1))
	a.fill(now, now, part*c.Rate, spareDepth)
	v := Verdict{Part: part}
	if a.tokens >= 1 {
		a.tokens--
		v.Admitted = true
		return v
	}
	v.ComeBack = shortestPause
	return v
}
