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
	// leastDepth lets one request in where a customer's part of the burst is less than
	// one.
	leastDepth = 1.0
	// slackPart of the requests that customers are granted beyond rate and burst is in the
	// buckets of all owners together. Each owner sees a part of the customer's callers, and
	// a few that come together find a bucket of a few tokens empty. The rest is for what
	// demand moves between owners before they hear of it.
	slackPart = 0.5
	// tellingTakes is how long a heartbeat takes to be reckoned with by the
	// others: the way between regions and a turn of the control thread.
	tellingTakes = 180 * time.Millisecond
	// shortest and longest time that a refused caller is told to stay away.
	shortestPause = 100 * time.Millisecond
	longestPause  = 2 * time.Second
)

// Shares admits customers' requests. It is safe for concurrent use.
type Shares struct {
	mu       sync.Mutex
	accounts map[string]*account
	// others is the demand of the other hosts by customer.
	others map[string]float64
	owners int
	// complete says that the demand of all other hosts is known.
	complete bool
	// slack is the number of requests beyond its rate and burst that a customer may get.
	slack float64
	// held says that this host may spend its shares, and heldSince is when it could
	// first. Buckets fill from then on, whether a customer has asked yet or not.
	held      bool
	heldSince time.Time
}

type account struct {
	demand demand
	tokens float64
	at     time.Time
	// told is the demand that the others were told last, at toldAt, and before
	// what they had been told until then.
	told, before float64
	toldAt       time.Time
	// lastBack is the latest time at which a refused caller was told to return.
	lastBack time.Time
}

// New returns shares that admit nothing until Hold is called.
func New() *Shares {
	return &Shares{accounts: map[string]*account{}, others: map[string]float64{}, owners: 1}
}

// SetOthers takes over what the other hosts want, by customer, and how many
// owners a customer's rate is split among, one for each region, this one
// included. complete says that all hosts have told what they want: until then a
// host that has just started keeps to its even part, since it would take the
// demand that it does not know for none.
func (s *Shares) SetOthers(perSecond map[string]float64, owners int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.owners, s.complete = perSecond, max(owners, 1), complete
}

// SetSlack says how many requests beyond its rate and burst operators grant a customer.
func (s *Shares) SetSlack(requests float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slack = requests
}

// Hold says whether this host may spend: its registration stands, so the others
// count it.
func (s *Shares) Hold(now time.Time, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	if held && s.heldSince.IsZero() {
		s.heldSince = now
	}
}

// Verdict on one request.
type Verdict struct {
	Admitted bool
	// ComeBack is when there is likely to be room; set if it is not admitted.
	ComeBack time.Duration
	// Unheld says that this host may not spend at all: its registration has lapsed.
	Unheld bool
	// Part is this host's part of the rate, and Demand the rate that it is
	// asked for, for the log.
	Part   float64
	Demand float64
}

// overPart is how much more than its part a customer asks for that is over its rate.
const overPart = 1.3

// Over tells whether the customer asks for more than its rate.
func (v Verdict) Over(rate float64) bool { return rate > 0 && v.Demand > overPart*v.Part*rate }

// Admit takes one request of a customer.
func (s *Shares) Admit(now time.Time, c *catalog.Customer) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(c.Name)
	a.demand.add(now)
	if c.Rate <= 0 {
		return Verdict{Admitted: true, Part: 1}
	}
	part := s.part(now, c.Name, a)
	v := Verdict{Part: part, Demand: a.demand.perSecond}
	spare := slackPart * s.slack / float64(s.owners)
	rate, depth := part*c.Rate, max(part*c.Burst*depthPart, leastDepth)+spare
	a.fill(now, s.heldSince, rate, depth)
	if s.held && a.tokens >= 1 {
		a.tokens--
		v.Admitted = true
		return v
	}
	v.ComeBack, v.Unheld = a.comeBack(now, rate), !s.held
	return v
}

// Undo gives the token of a request back that certainly did not run.
func (s *Shares) Undo(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[customer]; a != nil {
		a.tokens++
	}
}

// fill brings a bucket to now. One that nobody has asked for yet has been filling since
// a time.
func (a *account) fill(now, since time.Time, rate, depth float64) {
	if a.at.IsZero() {
		a.tokens, a.at = max(depth*startPart, 1), now
		if !since.IsZero() {
			a.at = since
		}
	}
	a.tokens = min(a.tokens+now.Sub(a.at).Seconds()*rate, depth)
	a.at = now
}

// comeBack spreads those that are refused over the tokens that will come: each
// is told a later time than the one before, or they would all return together.
func (a *account) comeBack(now time.Time, rate float64) time.Duration {
	next := now.Add(shortestPause)
	if a.lastBack.After(now) {
		next = a.lastBack
	}
	if rate > 0 {
		next = next.Add(time.Duration(float64(time.Second) / rate))
	}
	if next.Sub(now) > longestPause {
		next = now.Add(longestPause)
	}
	a.lastBack = next
	return next.Sub(now)
}

// part is this host's part of a customer's rate. It goes by the demand that the
// others have been told, not by the one of this moment: where a customer's
// callers appear at all hosts at once, each host would else believe for the
// length of a heartbeat that all of the rate is its own. Six hosts then gave out
// 1.4 times what they may in five seconds.
func (s *Shares) part(now time.Time, customer string, a *account) float64 {
	even := 1 / float64(s.owners)
	own, others := a.known(now), s.others[customer]
	if own+others <= 0 || !s.complete {
		return even
	}
	return evenPart*even + (1-evenPart)*own/(own+others)
}

// known is the demand here that the others know by now.
func (a *account) known(now time.Time) float64 {
	if now.Sub(a.toldAt) < tellingTakes {
		return a.before
	}
	return a.told
}

func (s *Shares) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{}
		s.accounts[name] = a
	}
	return a
}

// Tell returns what each customer asks for at this host, in requests per second,
// to be told to the others now. Customers that ask for next to nothing are left
// out.
func (s *Shares) Tell(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]float64{}
	for name, a := range s.accounts {
		rate := a.demand.rate(now)
		if rate <= leastDemand {
			rate = 0
		} else {
			out[name] = rate
		}
		a.before, a.told, a.toldAt = a.known(now), rate, now
	}
	return out
}

// leastDemand is what is left of one request after four seconds.
const leastDemand = 0.03
