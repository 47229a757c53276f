package share

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
)

const (
	// evenPart of each rate is split evenly among the owners, so that a region in
	// which a customer appears for the first time has something to give before
	// the others have heard of the demand there.
	evenPart = 0.3
	// depthPart of the burst is in the buckets: all of it. What demand moves between
	// regions before they hear of it stays within the tolerance that operators were
	// promised (see the tests).
	depthPart = 1.0
	// startPart of its depth is in a bucket when a host begins to hold shares: it may
	// have spent the rest before it started again.
	startPart = 0.35
	// minDepth lets one request in where a customer's part of the burst is less than
	// one.
	minDepth = 1.0
	// slackPart of the requests that customers are granted beyond rate and burst is in the
	// buckets of all owners together. Each owner sees a part of the customer's callers, and
	// a few that come together find a bucket of a few tokens empty. The rest is for what
	// demand moves between owners before they hear of it.
	slackPart = 0.5
	// announceDelay is how long a heartbeat takes to be reckoned with by the
	// others: the way between regions and a turn of the control thread.
	announceDelay = 180 * time.Millisecond
	// shortest and longest time that a refused caller is told to stay away.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Shares admits customers' requests. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	accounts map[string]*account
	// others is the demand of the other hosts by customer.
	others map[string]float64
	owners int
	// complete says that the demand of all other hosts is known.
	complete bool
	// slack is the number of requests beyond its rate and burst that a customer may get.
	slack float64
	// leaseHeld says that this host may spend its shares, and heldSince is when it could
	// first. Buckets fill from then on, whether a customer has asked yet or not.
	leaseHeld  bool
	leaseSince time.Time
}

type account struct {
	demand demand
	tokens float64
	at     time.Time
	// announced is the demand that the others were told last, at announcedAt, and
	// previouslyAnnounced what they had been told until then.
	announced, previouslyAnnounced float64
	announcedAt                    time.Time
	// lastRetryAt is the latest time at which a refused caller was told to return.
	lastRetryAt time.Time
}

// New returns shares that admit nothing until Hold is called.
func New() *Limiter {
	return &Limiter{accounts: map[string]*account{}, others: map[string]float64{}, owners: 1}
}

// SetOthers takes over what the other hosts want, by customer, and how many
// owners a customer's rate is split among, one for each region, this one
// included. complete says that all hosts have told what they want: until then a
// host that has just started keeps to its even part, since it would take the
// demand that it does not know for none.
func (s *Limiter) SetRemoteDemand(perSecond map[string]float64, owners int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.owners, s.complete = perSecond, max(owners, 1), complete
}

// SetSlack says how many requests beyond its rate and burst operators grant a customer.
func (s *Limiter) SetSlack(requests float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slack = requests
}

// SetLease says whether this host may spend: its registration stands, so the others
// count it.
func (s *Limiter) SetLease(now time.Time, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseHeld = held
	if held && s.leaseSince.IsZero() {
		s.leaseSince = now
	}
}

// Verdict on one request.
type Decision struct {
	Admitted bool
	// RetryAfter is when there is likely to be room; set if it is not admitted.
	RetryAfter time.Duration
	// NoLease says that this host may not spend at all: its registration has lapsed.
	NoLease bool
	// Part is this host's part of the rate, and Demand the rate that it is
	// asked for, for the log.
	Fraction float64
	Demand   float64
}

// overPart is how much more than its part a customer asks for that is over its rate.
const overPart = 1.3

// Over tells whether the customer asks for more than its rate.
func (v Decision) OverRate(rate float64) bool { return rate > 0 && v.Demand > overPart*v.Fraction*rate }

// Admit takes one request of a customer.
func (s *Limiter) Admit(now time.Time, c *catalog.Customer) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(c.Name)
	a.demand.add(now)
	if c.Rate <= 0 {
		return Decision{Admitted: true, Fraction: 1}
	}
	part := s.part(now, c.Name, a)
	v := Decision{Fraction: part, Demand: a.demand.perSecond}
	spare := slackPart * s.slack / float64(s.owners)
	rate, depth := part*c.Rate, max(part*c.Burst*depthPart, minDepth)+spare
	a.refill(now, s.leaseSince, rate, depth)
	if s.leaseHeld && a.tokens >= 1 {
		a.tokens--
		v.Admitted = true
		return v
	}
	v.RetryAfter, v.NoLease = a.retryAfter(now, rate), !s.leaseHeld
	return v
}

// Refund gives the token of a request back that certainly did not run.
func (s *Limiter) Refund(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[customer]; a != nil {
		a.tokens++
	}
}

// refill brings a bucket to now. One that nobody has asked for yet has been filling since
// a time.
func (a *account) refill(now, since time.Time, rate, depth float64) {
	if a.at.IsZero() {
		a.tokens, a.at = max(depth*startPart, 1), now
		if !since.IsZero() {
			a.at = since
		}
	}
	a.tokens = min(a.tokens+now.Sub(a.at).Seconds()*rate, depth)
	a.at = now
}

// retryAfter spreads those that are refused over the tokens that will come: each
// is told a later time than the one before, or they would all return together.
func (a *account) retryAfter(now time.Time, rate float64) time.Duration {
	next := now.Add(minRetryAfter)
	if a.lastRetryAt.After(now) {
		next = a.lastRetryAt
	}
	if rate > 0 {
		next = next.Add(time.Duration(float64(time.Second) / rate))
	}
	if next.Sub(now) > maxRetryAfter {
		next = now.Add(maxRetryAfter)
	}
	a.lastRetryAt = next
	return next.Sub(now)
}

// part is this host's part of a customer's rate. It goes by the demand that the
// others have been told, not by the one of this moment: where a customer's
// callers appear at all hosts at once, each host would else believe for the
// length of a heartbeat that all of the rate is its own, and together they would
// admit more than the rate.
func (s *Limiter) part(now time.Time, customer string, a *account) float64 {
	even := 1 / float64(s.owners)
	own, others := a.announcedDemand(now), s.others[customer]
	if own+others <= 0 || !s.complete {
		return even
	}
	return evenPart*even + (1-evenPart)*own/(own+others)
}

// announcedDemand is the demand here that the others know by now.
func (a *account) announcedDemand(now time.Time) float64 {
	if now.Sub(a.announcedAt) < announceDelay {
		return a.previouslyAnnounced
	}
	return a.announced
}

func (s *Limiter) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{}
		s.accounts[name] = a
	}
	return a
}

// AnnounceDemand returns what each customer asks for at this host, in requests per second,
// to be told to the others now. Customers that ask for next to nothing are left
// out.
func (s *Limiter) AnnounceDemand(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]float64{}
	for name, a := range s.accounts {
		rate := a.demand.rate(now)
		if rate <= minDemand {
			rate = 0
		} else {
			out[name] = rate
		}
		a.previouslyAnnounced, a.announced, a.announcedAt = a.announcedDemand(now), rate, now
	}
	return out
}

// minDemand is what is left of one request after four seconds.
const minDemand = 0.03
