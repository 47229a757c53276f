package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/share"
)

const (
	// holderCount is the number of hosts that hold buckets.
	holderCount = 10
	// heartbeatTimeout is the time from which a host no longer counts one that it does not hear.
	heartbeatTimeout = 1300 * time.Millisecond
	queryTimeout     = 40 * time.Millisecond
	// anyHost is the sender for a host that responds to nobody.
	anyHost = -1
)

// regionHost is a host of a simulated region.
type regionHost struct {
	limiter   *share.Limiter
	deputies  *share.DeputyBuckets
	requester *share.Requester
	fallback  *share.FallbackBuckets
	// charges are the requests that deputies have charged while the host was silent.
	charges int
}

// fault is a fault of the owner of a bucket.
type fault struct {
	// silent reports whether a host does not respond to another, by the time since the start.
	silent func(at time.Duration, from, to int) bool
	// lost is set if packets to a silent host are lost, and not received when it resumes.
	lost bool
}

// region simulates the hosts of a region whose holders do not always respond.
type region struct {
	t     *testing.T
	rng   *rand.Rand
	start time.Time
	hosts []*regionHost
	fault fault
	// deputiesOff simulates hosts that only use their fallback buckets.
	deputiesOff bool
	// timeouts is the number of queries that were not answered.
	timeouts int
}

func newRegion(hosts int, f fault) *region {
	r := &region{rng: rand.New(rand.NewPCG(11, uint64(hosts))), start: time.Unix(1000, 0), fault: f}
	for range hosts {
		h := &regionHost{limiter: share.New(), deputies: share.NewDeputyBuckets(), requester: share.NewRequester(), fallback: share.NewFallbackBuckets()}
		h.limiter.SetRemoteDemand(nil, 1, true)
		h.limiter.SetSlack(slack)
		h.limiter.SetLease(r.start.Add(-10*time.Second), true)
		r.hosts = append(r.hosts, h)
	}
	return r
}

// hears reports whether a host has heard another within heartbeatTimeout.
func (r *region) hears(at time.Duration, from, to int) bool {
	for ago := time.Duration(0); ago <= heartbeatTimeout; ago += 100 * time.Millisecond {
		if !r.fault.silent(at-ago, from, to) {
			return true
		}
	}
	return false
}

// ranked returns the owner of a customer's bucket and its deputies in the view of a host.
func (r *region) ranked(c *catalog.Customer, at time.Duration, view int) []int {
	var pool []string
	for i := range holderCount {
		if i == view || r.hears(at, view, i) {
			pool = append(pool, strconv.Itoa(i))
		}
	}
	var ranked []int
	for _, name := range share.ShardHolders(c.Name, pool) {
		i, _ := strconv.Atoi(name)
		ranked = append(ranked, i)
	}
	return ranked
}

// asHolder decides at a holder, as entry hosts do.
func (r *region) asHolder(c *catalog.Customer, at time.Duration, holder int, fraction float64) share.Decision {
	now, h := r.start.Add(at), r.hosts[holder]
	if h.charges > 0 && !r.fault.silent(at, anyHost, holder) {
		h.limiter.Charge(now, c, float64(h.charges))
		h.charges = 0
	}
	owner := r.ranked(c, at, holder)[0]
	if owner == holder || r.deputiesOff {
		return h.limiter.Admit(now, c)
	}
	d := h.deputies.Admit(now, c, max(fraction, h.limiter.EvenFraction()))
	if d.Admitted {
		h.limiter.Charge(now, c, 1)
		if !r.fault.lost || !r.fault.silent(at, holder, owner) {
			r.hosts[owner].charges++
		}
	}
	return d
}

// admit decides on a request that arrives at a host.
func (r *region) admit(c *catalog.Customer, at time.Duration, host int) bool {
	ranked := r.ranked(c, at, host)
	if ranked[0] == host {
		return r.asHolder(c, at, host, 0).Admitted
	}
	var holders []share.Holder
	for _, i := range ranked {
		holder := share.Holder{Instance: strconv.Itoa(i), Address: strconv.Itoa(i)}
		if i == host {
			holder.Address = ""
		}
		holders = append(holders, holder)
	}
	if r.deputiesOff {
		if !r.fault.silent(at, host, ranked[0]) {
			return r.asHolder(c, at, ranked[0], 0).Admitted
		}
		r.timeouts++
		return r.hosts[host].fallback.Admit(r.start.Add(at), c, len(r.hosts), 0, false).Admitted
	}
	ask := func(rank int, h share.Holder, fraction float64) (share.Decision, bool) {
		if r.fault.silent(at, host, ranked[rank]) {
			r.timeouts++
			return share.Decision{}, false
		}
		r.hosts[host].requester.Silence.Heard(h.Address)
		return r.asHolder(c, at, ranked[rank], fraction), true
	}
	return r.hosts[host].requester.Admit(r.start.Add(at), c, holders, queryTimeout, 3*queryTimeout, len(r.hosts), ask).Admitted
}

// run sends requests at a rate to random hosts. It returns the times of the admitted requests and
// the numbers of the sent and the refused ones.
func (r *region) run(c *catalog.Customer, perSecond float64, from, to time.Duration) (admitted []time.Time, sent, refused int) {
	for at := from; at < to; at += time.Duration(r.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		host := r.rng.IntN(len(r.hosts))
		for r.fault.silent(at, anyHost, host) {
			host = r.rng.IntN(len(r.hosts)) // callers do not reach it
		}
		sent++
		if r.admit(c, at, host) {
			admitted = append(admitted, r.start.Add(at))
		} else {
			refused++
		}
	}
	return admitted, sent, refused
}

// The faults begin after faultStart and end after faultEnd.
const (
	faultStart = 6 * time.Second
	faultEnd   = 10 * time.Second
	// allKilled names the fault in which no holder is left until heartbeats time out.
	allKilled = "killed with all deputies"
)

// faults returns the faults of the owner of a customer's bucket, by name.
func faults(c *catalog.Customer) map[string]fault {
	healthy := newRegion(holderCount, fault{silent: func(time.Duration, int, int) bool { return false }})
	ranked := healthy.ranked(c, 0, 0)
	owner := ranked[0]
	between := func(at time.Duration) bool { return at >= faultStart && at < faultEnd }
	killed := func(hosts ...int) fault {
		return fault{lost: true, silent: func(at time.Duration, _, to int) bool { return slices.Contains(hosts, to) && at >= faultStart }}
	}
	return map[string]fault{
		"frozen":                       {silent: func(at time.Duration, _, to int) bool { return to == owner && between(at) }},
		"killed":                       killed(owner),
		"killed with its first deputy": killed(ranked[:2]...),
		allKilled:                      killed(ranked...),
		"cut off from half of the hosts": {lost: true, silent: func(at time.Duration, from, to int) bool {
			cut := func(i int) bool { return i%2 == 1 && !slices.Contains(ranked, i) }
			return between(at) && (to == owner && cut(from) || from == owner && cut(to))
		}},
		"heard, but too slow for half of the hosts": {silent: func(at time.Duration, from, to int) bool {
			return to == owner && between(at) && from%2 == 1 && at%(500*time.Millisecond) > 100*time.Millisecond
		}},
	}
}

// Guards against a customer that gets more than its rate because the owner of its bucket is
// silent: it sends 7.5 times its rate.
func TestSilentOwnerKeepsTheBound(t *testing.T) {
	eachFault(t, func(g Gomega, c *catalog.Customer, name string, r, old *region) {
		with, _, _ := r.run(c, 7.5*c.Rate, 0, 15*time.Second)
		without, _, _ := old.run(c, 7.5*c.Rate, 0, 15*time.Second)
		allowed := (5*c.Rate+c.Burst)*1.1 + slack
		r.t.Logf("most in 5 s: %d, without deputies %d, allowed %.0f", maxInFiveSeconds(with), maxInFiveSeconds(without), allowed)
		g.Expect(maxInFiveSeconds(with)).To(BeNumerically("<=", allowed))
	})
}

// Guards against refusals of a customer at half of its rate while the owner of its bucket is
// silent, and against requests that each wait for it.
func TestSilentOwnerCausesNoRefusalsWithinTheRate(t *testing.T) {
	eachFault(t, func(g Gomega, c *catalog.Customer, name string, r, old *region) {
		var sent, refused [2]int
		for i, region := range []*region{r, old} {
			region.run(c, c.Rate/2, 0, faultStart)
			_, sent[i], refused[i] = region.run(c, c.Rate/2, faultStart, faultEnd+time.Second)
		}
		r.t.Logf("refused: %d of %d, without deputies %d of %d; requests that waited: %d, without deputies %d",
			refused[0], sent[0], refused[1], sent[1], r.timeouts, old.timeouts)
		if name == allKilled {
			g.Expect(refused[0]).To(BeNumerically("<=", sent[0]/10))
			return
		}
		g.Expect(refused[0]).To(BeNumerically("<=", sent[0]/100))
	})
}

// eachFault runs a check for each fault, on a region and on one without deputies.
func eachFault(t *testing.T, check func(g Gomega, c *catalog.Customer, name string, r, old *region)) {
	for _, hosts := range []int{10, 70} {
		for _, rate := range []float64{24, 60} {
			c := &catalog.Customer{Name: "c", Rate: rate, Burst: rate}
			for name, f := range faults(c) {
				t.Run(fmt.Sprintf("%d hosts, %.0f per second, %s", hosts, rate, name), func(t *testing.T) {
					r, old := newRegion(hosts, f), newRegion(hosts, f)
					r.t, old.deputiesOff = t, true
					check(NewWithT(t), c, name, r, old)
				})
			}
		}
	}
}

// Guards against callers that are refused for good because of one message with a fraction that is not a number.
func TestFractionThatIsNotANumberDoesNotSpoilBuckets(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := &catalog.Customer{Name: "c", Rate: 100, Burst: 100}
	deputies := share.NewDeputyBuckets()
	for _, fraction := range []float64{1, math.NaN(), 1} {
		g.Expect(deputies.Admit(now, c, fraction).Admitted).To(BeTrue(), "%v", fraction)
		now = now.Add(time.Second)
	}
}
