package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/share"
)

// slack is the number of requests that operators grant customers beyond rate and burst.
const slack = 20.0

// simulation runs hosts that exchange their demand with a delay.
type simulation struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*share.Limiter
	demand []map[string]float64
	// partitioned is the set of hosts that neither send nor receive heartbeats.
	partitioned map[int]bool
}

func newSimulation(n int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(7, uint64(n))), now: time.Unix(1000, 0), partitioned: map[int]bool{}}
	for range n {
		s := share.New()
		s.SetLease(sim.now, true)
		s.SetSlack(slack)
		sim.hosts = append(sim.hosts, s)
		sim.demand = append(sim.demand, map[string]float64{})
	}
	sim.exchangeHeartbeats()
	return sim
}

// restart replaces all hosts by newly started ones at the given time.
func (sim *simulation) restart(at time.Time) {
	sim.now = at
	for i := range sim.hosts {
		sim.hosts[i] = share.New()
		sim.hosts[i].SetLease(at, true)
		sim.hosts[i].SetSlack(slack)
	}
	sim.exchangeHeartbeats()
}

// exchangeHeartbeats simulates a round of heartbeats. Partitioned hosts keep their last
// known state.
func (sim *simulation) exchangeHeartbeats() {
	for i, s := range sim.hosts {
		if !sim.partitioned[i] {
			sim.demand[i] = s.AnnounceDemand(sim.now)
		}
	}
	for i, s := range sim.hosts {
		if sim.partitioned[i] {
			continue
		}
		others := map[string]float64{}
		for j := range sim.hosts {
			if j == i {
				continue
			}
			for customer, rate := range sim.demand[j] {
				others[customer] += rate
			}
		}
		s.SetRemoteDemand(others, len(sim.hosts), true)
	}
}

// send sends requests at a rate for the duration d, spread over the hosts by weight.
// It returns the times of the admitted requests and the number of all requests.
func (sim *simulation) send(c *catalog.Customer, perSecond float64, d time.Duration, weights []float64) (admitted []time.Time, sent int) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	const step = 5 * time.Millisecond
	sinceHeartbeat := time.Duration(0)
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(step) {
		if sinceHeartbeat += step; sinceHeartbeat >= 250*time.Millisecond {
			sinceHeartbeat = 0
			sim.exchangeHeartbeats()
		}
		for expected := perSecond * step.Seconds(); sim.rng.Float64() < expected; expected-- {
			x, host := sim.rng.Float64()*sum, 0
			for x > weights[host] {
				x -= weights[host]
				host++
			}
			sent++
			if sim.hosts[host].Admit(sim.now, c).Admitted {
				admitted = append(admitted, sim.now)
			}
		}
	}
	return admitted, sent
}

// maxInFiveSeconds returns the largest number of requests admitted within any five seconds.
func maxInFiveSeconds(times []time.Time) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > 5*time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func evenWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// Guards against a customer that gets more than its rate and burst, plus the promised
// tolerance, over all hosts together. It sends seven times its rate, and its callers
// move from host to host every 1.5 seconds.
func TestHotCustomerStaysWithinItsRate(t *testing.T) {
	for _, hosts := range []int{1, 3, 10} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(hosts)
			c := &catalog.Customer{Name: "hot", Rate: 60, Burst: 60}
			var all []time.Time
			for i := range 12 {
				weights := evenWeights(hosts)
				weights[i%hosts] = 10
				admitted, _ := sim.send(c, 7*c.Rate, 1500*time.Millisecond, weights)
				all = append(all, admitted...)
			}
			t.Logf("most in five seconds: %d, allowed %d", maxInFiveSeconds(all), 5*60+60)
			g.Expect(maxInFiveSeconds(all)).To(BeNumerically("<=", (5*60+60)*1.1+20))
			g.Expect(len(all)).To(BeNumerically(">=", int(0.9*18*60)), "most of the rate is used")
		})
	}
}

// Guards against a customer that gets more than its rate during a partition, while it
// exceeds its rate on both sides. Each side keeps the fraction that it had, so the sum
// does not grow.
func TestPartitionedHostsKeepTheirFraction(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(6)
	c := &catalog.Customer{Name: "hot", Rate: 100, Burst: 50}
	all, _ := sim.send(c, 500, 4*time.Second, evenWeights(6))
	sim.partitioned[0], sim.partitioned[1], sim.partitioned[2] = true, true, true
	during, _ := sim.send(c, 500, 8*time.Second, evenWeights(6))
	sim.partitioned = map[int]bool{}
	after, _ := sim.send(c, 500, 4*time.Second, evenWeights(6))
	t.Logf("most in five seconds: %d before, %d during, %d after the partition", maxInFiveSeconds(all), maxInFiveSeconds(during), maxInFiveSeconds(after))
	all = append(append(all, during...), after...)
	g.Expect(maxInFiveSeconds(all)).To(BeNumerically("<=", (5*100+50)*1.1+20))
}

// Guards against rejections within the rate of a customer whose callers almost all
// enter through one host: an even split would reject nine tenths of its requests.
func TestUnevenlySpreadCallersAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(10)
	c := &catalog.Customer{Name: "one-sided", Rate: 60, Burst: 60}
	weights := evenWeights(10)
	weights[3] = 60
	sim.send(c, 36, 5*time.Second, weights)
	admitted, sent := sim.send(c, 36, 20*time.Second, weights)
	rejected := 1 - float64(len(admitted))/float64(sent)
	t.Logf("rejected %.2f%% of the requests of a customer at 60%% of its rate", 100*rejected)
	g.Expect(rejected).To(BeNumerically("<", 0.02))
}

// Guards against a restarted host that admits a customer's full rate while the customer
// exceeds its rate, because the host has not learned of the demand at other hosts yet.
func TestRestartedHostUsesTheEvenSplit(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	now, admitted := time.Unix(1000, 0), 0
	s.SetLease(now, true)
	s.SetSlack(slack)
	s.SetRemoteDemand(nil, 3, false)
	c := &catalog.Customer{Name: "hot", Rate: 30, Burst: 30}
	for range 2000 {
		now = now.Add(time.Millisecond)
		if now.UnixMilli()%250 == 0 {
			s.AnnounceDemand(now)
		}
		if s.Admit(now, c).Admitted {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 2*30/3+5))
}

// Guards against requests that are admitted by a host whose registration has expired:
// the other hosts no longer count it among the owners.
func TestNothingIsAdmittedWithoutLease(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	c := &catalog.Customer{Name: "a", Rate: 10, Burst: 10}
	now := time.Unix(1000, 0)
	v := s.Admit(now, c)
	g.Expect(v.Admitted).To(BeFalse())
	g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(v.NoLease).To(BeTrue(), "the rejection is not due to the customer's rate")
	s.SetLease(now, true)
	g.Expect(s.Admit(now.Add(time.Second), c).Admitted).To(BeTrue())
	g.Expect(s.Admit(now, &catalog.Customer{Name: "free"}).Admitted).To(BeTrue())
}

// Guards against rejected callers that all retry at the same time and are rejected
// together again, because all got the same retry time.
func TestRetryTimesAreSpread(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	now := time.Unix(1000, 0)
	s.SetLease(now, true)
	c := &catalog.Customer{Name: "a", Rate: 20, Burst: 1}
	var last time.Duration
	for range 10 {
		v := s.Admit(now, c)
		if v.Admitted {
			continue
		}
		g.Expect(v.RetryAfter).To(BeNumerically(">", last))
		last = v.RetryAfter
	}
}

// Guards against rejections within the rate of a customer that sends half a request per
// second to each of sixty hosts. With a bucket per host a quarter of the requests is
// rejected. With a bucket for each of three regions almost none is, and the fleet does not
// admit more in total.
func TestHostsOfARegionShareABucket(t *testing.T) {
	rejectedFraction := func(buckets int) float64 {
		sim := newSimulation(buckets)
		c := &catalog.Customer{Name: "thin", Rate: 45, Burst: 45}
		sim.send(c, 28, 5*time.Second, evenWeights(buckets))
		admitted, sent := sim.send(c, 28, 20*time.Second, evenWeights(buckets))
		return 1 - float64(len(admitted))/float64(sent)
	}
	g := NewWithT(t)
	perHost, perRegion := rejectedFraction(60), rejectedFraction(3)
	t.Logf("rejected: %.1f%% with 60 buckets, %.2f%% with 3", 100*perHost, 100*perRegion)
	g.Expect(perRegion).To(BeNumerically("<", 0.01))
	g.Expect(perHost).To(BeNumerically(">", 5*perRegion))
}

func TestShardOwnerIsConsistent(t *testing.T) {
	g := NewWithT(t)
	pool := []string{"a", "b", "c", "d"}
	g.Expect(share.ShardOwner("x", nil)).To(BeEmpty())
	for i := range 50 {
		customer := fmt.Sprint("c", i)
		owner := share.ShardOwner(customer, pool)
		g.Expect(share.ShardOwner(customer, []string{"d", "c", "b", "a"})).To(Equal(owner))
		if owner != "d" {
			g.Expect(share.ShardOwner(customer, pool[:3])).To(Equal(owner), "only the customers of the removed host move")
		}
	}
}

// Guards against a customer that gets more than the fallback fraction of its rate when
// the owner of its bucket has failed and all hosts use their fallback buckets.
func TestFallbackAdmitsAFractionOfTheRate(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "hot", Rate: 100, Burst: 100}
	now, admitted := time.Unix(1000, 0), 0
	fallbacks := []*share.FallbackBuckets{share.NewFallbackBuckets(), share.NewFallbackBuckets(), share.NewFallbackBuckets(), share.NewFallbackBuckets()}
	for range 5000 {
		now = now.Add(time.Millisecond)
		for _, s := range fallbacks {
			if s.Admit(now, c, len(fallbacks), 0, false).Admitted {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 5*25+len(fallbacks)))
}

// Guards against rejections within the burst of a customer that sends its full burst at
// once, through one host, after a low load, as a canteen does at noon. A fifth of the
// requests was rejected when the buckets held only part of the burst.
func TestFullBurstIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	c := &catalog.Customer{Name: "canteen", Rate: 30, Burst: 60}
	oneHost := []float64{1, 0, 0}
	sim.send(c, 20, 10*time.Second, oneHost)
	admitted, sent := sim.send(c, 30+50, time.Second, oneHost)
	t.Logf("%d of %d admitted", len(admitted), sent)
	g.Expect(len(admitted)).To(BeNumerically(">=", sent*95/100))
}

// Guards against rejections within the rate in the first seconds of a customer's
// traffic: a bucket fills from the time the host holds its lease, not from the first
// request.
func TestBucketFillsBeforeTheFirstRequest(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	start := time.Unix(1000, 0)
	s.SetLease(start, true)
	c := &catalog.Customer{Name: "early", Rate: 40, Burst: 40}
	admitted := func(now time.Time) (n int) {
		for range 100 {
			if s.Admit(now, c).Admitted {
				n++
			}
		}
		return n
	}
	g.Expect(admitted(start.Add(10 * time.Second))).To(BeNumerically(">=", 40))
	restarted := share.New()
	restarted.SetLease(start, true)
	s = restarted
	g.Expect(admitted(start)).To(BeNumerically("<=", 15), "a host that has just started may have spent tokens before its restart")
}

// Guards against rejections within the rate of small customers: each region sees a third
// of the callers, a few requests arrive together, and a third of a small burst is too
// few tokens for them.
func TestSmallCustomersAreAdmittedWithinTheirRate(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	c := &catalog.Customer{Name: "small", Rate: 12, Burst: 12}
	sim.send(c, 9, 5*time.Second, evenWeights(3))
	admitted, sent := sim.send(c, 9, 60*time.Second, evenWeights(3))
	rejected := 1 - float64(len(admitted))/float64(sent)
	t.Logf("rejected %.2f%% at three quarters of the rate", 100*rejected)
	g.Expect(rejected).To(BeNumerically("<", 0.01))
	hot, _ := sim.send(c, 90, 20*time.Second, evenWeights(3))
	g.Expect(maxInFiveSeconds(append(admitted, hot...))).To(BeNumerically("<=", (5*12+12)*1.1+20))
}

// Guards against a customer that gets more than its rate because all owners of its
// buckets restart while it exceeds its rate, twice within one window.
func TestRestartsOfAllOwnersStayWithinTheTolerance(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "hot", Rate: 60, Burst: 60}
	sim := newSimulation(3)
	all, _ := sim.send(c, 400, 6*time.Second, evenWeights(3))
	for range 2 {
		at := sim.now.Add(time.Second)
		sim = newSimulation(3)
		sim.restart(at)
		admitted, _ := sim.send(c, 400, 1500*time.Millisecond, evenWeights(3))
		all = append(all, admitted...)
	}
	t.Logf("most in five seconds: %d", maxInFiveSeconds(all))
	g.Expect(maxInFiveSeconds(all)).To(BeNumerically("<=", (5*60+60)*1.1+20))
}
