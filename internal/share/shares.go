package share

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
)

const (
	// evenFraction is the fraction of each rate that is split evenly among the owners, so
	// that a region in which a customer appears for the first time can admit requests
	// before the other owners have learned of the demand there.
	evenFraction = 0.3
	// burstFraction is the fraction of the burst that the buckets hold together. Even with
	// the full burst, the excess while demand moves between regions, before the owners
	// learn of the move, stays within the tolerance that operators were promised (see
	// the tests).
	burstFraction = 1.0
	// minDepth is the minimum depth of a bucket, in requests, so that one request can
	// pass where the host's fraction of the burst is less than one request.
	minDepth = 1.0
	// slackFraction is the fraction of the slack (see SetSlack) that is added to the buckets
	// of all owners together. Each owner sees only some of the customer's callers, and a
	// few requests that arrive together would find a bucket of a few tokens empty. The
	// rest of the slack covers demand that moves between owners before they learn of it.
	// A bucket holds nothing else when a host begins to own it: the earlier owner, or this host
	// before it restarted, may have granted the burst.
	slackFraction = 0.5
	// announceDelay is the time until the other hosts apply announced demand: the
	// network delay between regions and one pass of the control thread.
	announceDelay = 180 * time.Millisecond
	// transferGrace is how long transferred tokens may exceed the depth of the bucket: until the demand that moved
	// with it counts for this host. It covers the time constant of the demand and a heartbeat.
	transferGrace = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller should
	// retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Limiter admits customers' requests up to this host's fractions of their rates. It is
// safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// remoteDemand is the demand at the other hosts, by customer, in requests per second.
	remoteDemand map[string]float64
	// owners is the number of hosts that hold a bucket of the same customer.
	owners int
	// regionFraction is the fraction of the region's hosts to which this host grants; see
	// SetRegionFraction.
	regionFraction float64
	// remoteComplete reports whether the demand at all other hosts is known.
	remoteComplete bool
	// ownersUnheard is set while owners of other regions may grant without hearing of this host, nor it of
	// them; see SetOwnersUnheard.
	ownersUnheard bool
	// slack is the number of requests that a customer may get beyond its rate and burst.
	slack float64
	// leaseHeld reports whether this host may admit requests, and leaseSince is when it
	// first could. Buckets fill from leaseSince on, also those of customers that have not
	// sent a request yet.
	leaseHeld  bool
	leaseSince time.Time
	// owned holds the customers whose buckets this host owns; see SetOwned. nil: all of them.
	owned map[string]ownership
}

// ownership is the ownership of a customer's bucket.
type ownership struct {
	since time.Time
	// unused is set if no other host can have granted anything of the bucket before.
	unused bool
}

type bucket struct {
	demand     demand
	tokens     float64
	refilledAt time.Time
	// received are the tokens that were transferred before this host owned the bucket, and receivedAt is when
	// the last ones were transferred; see transferGrace.
	received   float64
	receivedAt time.Time
	// announced is the demand that was last announced to the other hosts, at
	// announcedAt, and previouslyAnnounced the demand that they knew until then.
	announced, previouslyAnnounced float64
	announcedAt                    time.Time
	// usual is the fraction while all owners are heard.
	usual usualFraction
	// lastRetryAt is the latest retry time that was assigned to a rejected caller.
	lastRetryAt time.Time
}

// New returns a limiter that rejects all requests of customers with a rate until
// SetLease reports that the lease is held.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, remoteDemand: map[string]float64{}, owners: 1, regionFraction: 1}
}

// SetRemoteDemand sets the demand at the other hosts, by customer, and the number of
// owners that a customer's rate is split among: one for each region, including the
// region of this host. complete reports whether the demand at all other hosts is known. Until it
// is, this host uses an even split, since it would otherwise treat unknown demand as
// no demand.
func (l *Limiter) SetRemoteDemand(perSecond map[string]float64, owners int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remoteDemand, l.owners, l.remoteComplete = perSecond, max(owners, 1), complete
}

// SetRegionFraction sets the fraction of the hosts of this region that this host hears. If the region is
// split, each side has an owner of the same bucket, and a part of the region's even split that is in
// proportion to its hosts.
func (l *Limiter) SetRegionFraction(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.regionFraction = f
}

// SetOwnersUnheard sets whether hosts of other regions are registered whose heartbeats do not arrive. Their
// demand may have changed, and they may not know of the demand here. A customer whose demand exceeds the part of
// its rate that this host usually has then gets that part at most.
func (l *Limiter) SetOwnersUnheard(unheard bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownersUnheard = unheard
}

// SetSlack sets the number of requests that operators grant each customer beyond its
// rate and burst.
func (l *Limiter) SetSlack(requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slack = requests
}

// SetLease sets whether this host may admit requests. It may while its registration is
// valid, because the other hosts then count it among the owners.
func (l *Limiter) SetLease(now time.Time, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseHeld = held
	if held && l.leaseSince.IsZero() {
		l.leaseSince = now
	}
}

// SetOwned sets the customers whose buckets this host owns, by name. Until it is first called, this host
// owns all of them. The bucket of a customer that it did not own before holds at most what it holds at
// the start, because the earlier owner may have granted the burst, and what that one transfers. A value
// of true means that there can have been no earlier owner; such a bucket is full.
func (l *Limiter) SetOwned(now time.Time, unused map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]ownership, len(unused))
	for name, isUnused := range unused {
		o, owned := l.owned[name]
		if !owned {
			o = ownership{now, isUnused}
		}
		next[name] = o
	}
	l.owned = next
}

// Release takes the tokens of a customer's bucket, which the next owner gets. It is called while this
// host still owns the bucket. If the lease has ended, that is what the bucket held when it was last used,
// because another host may have had the rate since.
func (l *Limiter) Release(now time.Time, c *catalog.Customer) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseSince.IsZero() {
		return 0
	}
	b := l.bucket(c.Name)
	if l.leaseHeld {
		l.refill(now, c, b, l.fraction(now, c.Name, b))
	}
	released := max(b.tokens, 0)
	b.tokens -= released
	return released
}

// Receive adds the tokens that the earlier owner of a customer's bucket has released. This host may not
// know yet that it is the next owner.
func (l *Limiter) Receive(now time.Time, c *catalog.Customer, tokens float64) {
	if !(tokens > 0) { // also not a number
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	l.refill(now, c, b, l.fraction(now, c.Name, b))
	_, depth := l.bounds(c, 1)
	b.receivedAt = now
	if _, owned := l.owned[c.Name]; !owned && l.owned != nil {
		b.received = min(b.received+tokens, depth)
		return
	}
	b.tokens = min(b.tokens+tokens, depth)
}

// bounds returns the rate per second and the depth of a bucket that has a fraction of the customer's rate.
func (l *Limiter) bounds(c *catalog.Customer, fraction float64) (rate, depth float64) {
	return fraction * c.Rate, max(fraction*c.Burst*burstFraction, minDepth) + l.ownSlack()
}

// ownSlack returns the part of the slack that is added to the buckets of this host.
func (l *Limiter) ownSlack() float64 { return slackFraction * l.slack / float64(l.owners) }

// Decision is the result of admission control for one request.
type Decision struct {
	Admitted bool
	// RetryAfter is the time until a token is likely to be available; set only if the
	// request is rejected.
	RetryAfter time.Duration
	// NoLease reports that this host may not admit requests at all, because its
	// registration is not valid.
	NoLease bool
	// Fraction is this host's fraction of the customer's rate, and Demand the rate of
	// the customer's requests at this host, in requests per second. Both serve OverRate
	// and the log.
	Fraction float64
	Demand   float64
}

// overRateFactor is the factor by which the demand at this host must exceed this host's
// fraction of the rate for the customer to count as over its rate.
const overRateFactor = 1.3

// OverRate reports whether the customer sends more than its rate.
func (d Decision) OverRate(rate float64) bool {
	return rate > 0 && d.Demand > overRateFactor*d.Fraction*rate
}

// Admit decides on one request of a customer.
func (l *Limiter) Admit(now time.Time, c *catalog.Customer) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(c.Name)
	b.demand.add(now)
	if c.Rate <= 0 {
		return Decision{Admitted: true, Fraction: 1}
	}
	fraction := l.fraction(now, c.Name, b)
	d := Decision{Fraction: fraction, Demand: b.demand.perSecond}
	if !l.leaseHeld {
		rate, _ := l.bounds(c, fraction)
		d.RetryAfter, d.NoLease = b.retryAfter(now, rate), true
		return d
	}
	rate, _ := l.refill(now, c, b, fraction)
	if b.tokens >= 1 {
		b.tokens--
		d.Admitted = true
		return d
	}
	d.RetryAfter = b.retryAfter(now, rate)
	return d
}

// refill adds the tokens up to now to a bucket that has a fraction of the customer's rate, and
// returns the bucket's rate per second and its depth. A bucket that has not been used before has
// been filling since this host began to hold rate shares.
func (l *Limiter) refill(now time.Time, c *catalog.Customer, b *bucket, fraction float64) (rate, depth float64) {
	rate, depth = l.bounds(c, fraction)
	if usual := b.usual.known(l.even()) * c.Rate; l.ownersUnheard && b.demand.rate(now) > usual {
		rate = min(rate, usual)
	}
	o, owned := l.owned[c.Name]
	initial := max(l.ownSlack(), minDepth)
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = initial, now
		if !l.leaseSince.IsZero() {
			b.refilledAt = l.leaseSince
		}
		if o.unused {
			b.tokens = depth
		}
	}
	if !owned && l.owned != nil {
		// The owner has the rate. What deputies have granted is repaid.
		b.refill(now, rate, max(b.tokens, 0))
		return rate, depth
	}
	if b.refilledAt.Before(o.since) && !o.unused {
		b.refill(o.since, rate, max(b.tokens, 0))
		b.tokens = min(b.tokens, initial)
	}
	b.tokens, b.received = b.tokens+b.received, 0
	if b.receivedAt.IsZero() || now.Sub(b.receivedAt) >= transferGrace {
		b.tokens = min(b.tokens, depth)
	}
	b.refill(now, rate, max(b.tokens, depth))
	return rate, depth
}

// Refund returns the token of an admitted request that certainly did not run.
func (l *Limiter) Refund(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[customer]; b != nil {
		b.tokens++
	}
}

// refill adds the tokens up to now.
func (b *bucket) refill(now time.Time, rate, depth float64) {
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, depth)
	b.refilledAt = now
}

// retryAfter spreads the retries of rejected callers over the tokens that will become
// available: each caller gets a later time than the one before it. Otherwise all of
// them would retry at the same time.
func (b *bucket) retryAfter(now time.Time, rate float64) time.Duration {
	next := now.Add(minRetryAfter)
	if b.lastRetryAt.After(now) {
		next = b.lastRetryAt
	}
	if rate > 0 {
		next = next.Add(time.Duration(float64(time.Second) / rate))
	}
	if next.Sub(now) > maxRetryAfter {
		next = now.Add(maxRetryAfter)
	}
	b.lastRetryAt = next
	return next.Sub(now)
}

// fraction returns this host's fraction of a customer's rate. It uses the demand that has
// been announced to the other hosts, not the current demand. If a customer's callers
// appeared at all hosts at once, each host would otherwise claim the full rate for the
// length of a heartbeat interval, and together they would admit more than the rate.
func (l *Limiter) fraction(now time.Time, customer string, b *bucket) float64 {
	even := l.even()
	fraction := even
	if own, others := b.announcedDemand(now), l.remoteDemand[customer]; own+others > 0 && l.remoteComplete {
		fraction = evenFraction*even + (1-evenFraction)*own/(own+others)
	}
	if !l.ownersUnheard {
		b.usual.observe(now, fraction)
	}
	return fraction
}

// even returns this host's fraction of each rate if the rates are split evenly.
func (l *Limiter) even() float64 { return l.regionFraction / float64(l.owners) }

// announcedDemand returns the demand at this host that the other hosts know by now.
func (b *bucket) announcedDemand(now time.Time) float64 {
	if now.Sub(b.announcedAt) < announceDelay {
		return b.previouslyAnnounced
	}
	return b.announced
}

func (l *Limiter) bucket(name string) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{}
		l.buckets[name] = b
	}
	return b
}

// AnnounceDemand returns the demand of each customer at this host, in requests per
// second, which the caller sends to the other hosts now. Customers with negligible
// demand are omitted.
func (l *Limiter) AnnounceDemand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := map[string]float64{}
	for name, b := range l.buckets {
		rate := b.demand.rate(now)
		if rate <= minDemand {
			rate = 0
		} else {
			demands[name] = rate
		}
		b.previouslyAnnounced, b.announced, b.announcedAt = b.announcedDemand(now), rate, now
	}
	return demands
}

// minDemand is the minimum demand that is announced, in requests per second. The demand
// of a single request falls below it after four seconds.
const minDemand = 0.03
