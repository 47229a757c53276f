package share

import (
	"sync"
	"time"

	"balsambarrow/internal/catalog"
)

// Holder is a host that holds a customer's bucket or is a deputy of the one that does.
type Holder struct {
	Instance string
	// Address is where the host receives packets; empty for this host.
	Address string
}

// Ask requests one token from a holder, rank 0 being the owner. fraction is the fraction of the
// rate that the owner last had, 0 if it is not known. ok is false if there was no response within
// the timeout.
type Ask func(rank int, h Holder, fraction float64) (d Decision, ok bool)

// Requester decides, at a host that does not own a customer's bucket, which holders to ask. It is
// safe for concurrent use.
type Requester struct {
	Silence  *Silence
	fallback *FallbackBuckets

	mu    sync.Mutex
	views map[string]*ownerView
}

// ownerView is what a host knows of a customer from the owner of its bucket.
type ownerView struct {
	// fraction and demand are those of the owner's last decision.
	fraction, demand float64
	// granted is the moving average of the requests that the owner has granted to this host,
	// and grantedRate its value before the last of them, at grantedAt.
	granted     demand
	grantedRate float64
	grantedAt   time.Time
}

// grantMemory is how long the rate of the requests that the owner has granted is used.
const grantMemory = 5 * time.Second

// NewRequester returns a requester that has not asked any holder yet.
func NewRequester() *Requester {
	return &Requester{Silence: NewSilence(), fallback: NewFallbackBuckets(), views: map[string]*ownerView{}}
}

// Admit decides on one request of a customer. holders are the owner and its deputies in the order
// of ShardHolders, and timeout is how long each of them may take to respond; the request waits for
// no more than maxWait in total. hosts is the number of entry hosts.
func (r *Requester) Admit(now time.Time, c *catalog.Customer, holders []Holder, timeout, maxWait time.Duration, hosts int, ask Ask) Decision {
	fraction := r.fraction(c.Name)
	waited := time.Duration(0)
	for rank, h := range holders {
		if h.Address != "" && (waited+timeout > maxWait || !r.Silence.MayQuery(now.Add(waited), h.Address)) {
			continue
		}
		if d, ok := ask(rank, h, fraction); ok {
			if rank == 0 {
				r.noteOwner(now, c.Name, d)
			}
			return d
		}
		if h.Address != "" {
			waited += timeout
			r.Silence.TimedOut(now.Add(waited), h.Address)
		}
	}
	return r.Fallback(now.Add(waited), c, hosts)
}

// Fallback decides on one request of a customer without any holder.
func (r *Requester) Fallback(now time.Time, c *catalog.Customer, hosts int) Decision {
	recent, overRate := r.allowance(now, c)
	return r.fallback.Admit(now, c, hosts, recent, overRate)
}

// noteOwner records a decision of the owner.
func (r *Requester) noteOwner(now time.Time, customer string, d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[customer]
	if v == nil {
		v = &ownerView{}
		r.views[customer] = v
	}
	v.fraction, v.demand = d.Fraction, d.Demand
	if d.Admitted {
		v.grantedRate, v.grantedAt = v.granted.rate(now), now
		v.granted.add(now)
	}
}

func (r *Requester) fraction(customer string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[customer]; v != nil {
		return v.fraction
	}
	return 0
}

// allowance returns the number of requests that this host may admit within deputyPeriod without
// a holder: as many as the owner has granted to it, but over all hosts of the region no more
// than deputyFraction of the region's rate. overRate reports whether the owner last saw the
// customer above its rate.
func (r *Requester) allowance(now time.Time, c *catalog.Customer) (recent float64, overRate bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[c.Name]
	if v == nil {
		return 0, false
	}
	regionRate := v.fraction * c.Rate
	overRate = v.demand > overRateFactor*regionRate
	if now.Sub(v.grantedAt) > grantMemory {
		return 0, overRate
	}
	scale := 1.0
	if limit := deputyFraction * regionRate; v.demand > limit {
		scale = limit / v.demand
	}
	return v.grantedRate * scale * deputyPeriod.Seconds(), overRate
}
