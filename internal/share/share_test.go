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

// slack is what today's operators grant customers beyond rate and burst, in requests.
const slack = 20.0

// fleet plays hosts that tell each other their demand with a delay.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*share.Limiter
	demand []map[string]float64
	// cut lists the hosts that hear nobody and are heard by nobody.
	cut map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, uint64(n))), now: time.Unix(1000, 0), cut: map[int]bool{}}
	for range n {
		s := share.New()
		s.SetLease(f.now, true)
		s.SetSlack(slack)
		f.hosts = append(f.hosts, s)
		f.demand = append(f.demand, map[string]float64{})
	}
	f.exchange()
	return f
}

// restart has all hosts begin anew at a time.
func (f *fleet) restart(at time.Time) {
	f.now = at
	for i := range f.hosts {
		f.hosts[i] = share.New()
		f.hosts[i].SetLease(at, true)
		f.hosts[i].SetSlack(slack)
	}
	f.exchange()
}

// exchange is a round of heartbeats. Whoever is cut off keeps what it knew.
func (f *fleet) exchange() {
	for i, s := range f.hosts {
		if !f.cut[i] {
			f.demand[i] = s.AnnounceDemand(f.now)
		}
	}
	for i, s := range f.hosts {
		if f.cut[i] {
			continue
		}
		others := map[string]float64{}
		for j := range f.hosts {
			if j == i {
				continue
			}
			for customer, rate := range f.demand[j] {
				others[customer] += rate
			}
		}
		s.SetRemoteDemand(others, len(f.hosts), true)
	}
}

// play sends requests at a rate for a time, spread over hosts by weight, and
// returns when each was admitted.
func (f *fleet) play(c *catalog.Customer, perSecond float64, d time.Duration, weights []float64) (admitted []time.Time, asked int) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	const step = 5 * time.Millisecond
	beat := time.Duration(0)
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if beat += step; beat >= 250*time.Millisecond {
			beat = 0
			f.exchange()
		}
		for expected := perSecond * step.Seconds(); f.rng.Float64() < expected; expected-- {
			x, host := f.rng.Float64()*sum, 0
			for x > weights[host] {
				x -= weights[host]
				host++
			}
			asked++
			if f.hosts[host].Admit(f.now, c).Admitted {
				admitted = append(admitted, f.now)
			}
		}
	}
	return admitted, asked
}

// worst is the most that was admitted in any span of five seconds.
func worst(times []time.Time) int {
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > 5*time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func even(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
	}
	return w
}

// One customer sends seven times its rate, and its callers move from host to
// host every second and a half. Over all hosts together it must not get more
// than its rate and burst, with the tolerance that operators were promised.
func TestHotCustomerStaysWithinItsRate(t *testing.T) {
	for _, hosts := range []int{1, 3, 10} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(hosts)
			c := &catalog.Customer{Name: "hot", Rate: 60, Burst: 60}
			var all []time.Time
			for i := range 12 {
				weights := even(hosts)
				weights[i%hosts] = 10
				admitted, _ := f.play(c, 7*c.Rate, 1500*time.Millisecond, weights)
				all = append(all, admitted...)
			}
			t.Logf("most in five seconds: %d, allowed %d", worst(all), 5*60+60)
			g.Expect(worst(all)).To(BeNumerically("<=", (5*60+60)*1.1+20))
			g.Expect(len(all)).To(BeNumerically(">=", int(0.9*18*60)), "most of the rate is used")
		})
	}
}

// A zone is cut off while a customer sends too much on both sides. Each side
// keeps the part that it had, so the sum does not grow.
func TestCutOffHostsKeepTheirPart(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(6)
	c := &catalog.Customer{Name: "hot", Rate: 100, Burst: 50}
	all, _ := f.play(c, 500, 4*time.Second, even(6))
	f.cut[0], f.cut[1], f.cut[2] = true, true, true
	during, _ := f.play(c, 500, 8*time.Second, even(6))
	f.cut = map[int]bool{}
	after, _ := f.play(c, 500, 4*time.Second, even(6))
	t.Logf("most in five seconds: %d before, %d during, %d after the cut", worst(all), worst(during), worst(after))
	all = append(append(all, during...), after...)
	g.Expect(worst(all)).To(BeNumerically("<=", (5*100+50)*1.1+20))
}

// A provider's parents all come in through one host. With an even split nine
// tenths of a customer within its rate would be refused.
func TestUnevenCallersAreServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(10)
	c := &catalog.Customer{Name: "one-sided", Rate: 60, Burst: 60}
	weights := even(10)
	weights[3] = 60
	f.play(c, 36, 5*time.Second, weights)
	admitted, asked := f.play(c, 36, 20*time.Second, weights)
	refused := 1 - float64(len(admitted))/float64(asked)
	t.Logf("refused %.2f%% of a customer at 60%% of its rate", 100*refused)
	g.Expect(refused).To(BeNumerically("<", 0.02))
}

// A host starts again while its customer sends too much. It has not heard of the
// others' demand yet, so it must not take all of the rate for its own.
func TestRestartedHostKeepsToItsEvenPart(t *testing.T) {
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

// A host whose registration has lapsed is not counted by the others any more, so
// it must not spend.
func TestNothingIsSpentWithoutRegistration(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	c := &catalog.Customer{Name: "a", Rate: 10, Burst: 10}
	now := time.Unix(1000, 0)
	v := s.Admit(now, c)
	g.Expect(v.Admitted).To(BeFalse())
	g.Expect(v.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(v.NoLease).To(BeTrue(), "it says nothing about the customer")
	s.SetLease(now, true)
	g.Expect(s.Admit(now.Add(time.Second), c).Admitted).To(BeTrue())
	g.Expect(s.Admit(now, &catalog.Customer{Name: "free"}).Admitted).To(BeTrue())
}

// Everyone who is refused returns when told. If all were told the same time,
// they would be refused together again.
func TestRefusedReturnOneByOne(t *testing.T) {
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

// Sixty hosts serve a customer that is within its rate, half a request a second
// at each. With a bucket at each host a quarter is refused; with one for each of
// three regions next to nothing is, and no more is given out.
func TestRegionsShareABucket(t *testing.T) {
	refused := func(buckets int) float64 {
		f := newFleet(buckets)
		c := &catalog.Customer{Name: "thin", Rate: 45, Burst: 45}
		f.play(c, 28, 5*time.Second, even(buckets))
		admitted, asked := f.play(c, 28, 20*time.Second, even(buckets))
		return 1 - float64(len(admitted))/float64(asked)
	}
	g := NewWithT(t)
	apart, pooled := refused(60), refused(3)
	t.Logf("refused: %.1f%% with 60 buckets, %.2f%% with 3", 100*apart, 100*pooled)
	g.Expect(pooled).To(BeNumerically("<", 0.01))
	g.Expect(apart).To(BeNumerically(">", 5*pooled))
}

func TestOwnersAgreeAndStay(t *testing.T) {
	g := NewWithT(t)
	pool := []string{"a", "b", "c", "d"}
	g.Expect(share.ShardOwner("x", nil)).To(BeEmpty())
	for i := range 50 {
		customer := fmt.Sprint("c", i)
		owner := share.ShardOwner(customer, pool)
		g.Expect(share.ShardOwner(customer, []string{"d", "c", "b", "a"})).To(Equal(owner))
		if owner != "d" {
			g.Expect(share.ShardOwner(customer, pool[:3])).To(Equal(owner), "only the customers of the host that left move")
		}
	}
}

// The owner of a bucket has died and is still heard. All hosts fall back on the
// spare: together they give out a part of the rate only.
func TestSpareIsAPartOfTheRate(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "hot", Rate: 100, Burst: 100}
	now, admitted := time.Unix(1000, 0), 0
	spares := []*share.FallbackBuckets{share.NewFallbackBuckets(), share.NewFallbackBuckets(), share.NewFallbackBuckets(), share.NewFallbackBuckets()}
	for range 5000 {
		now = now.Add(time.Millisecond)
		for _, s := range spares {
			if s.Admit(now, c, len(spares)).Admitted {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 5*25+len(spares)))
}

// A customer is silent and then sends its burst at once, at one host, as a canteen
// does at noon. All of it is its due; a fifth was refused while part of the burst was
// held back.
func TestWholeBurstIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	c := &catalog.Customer{Name: "canteen", Rate: 30, Burst: 60}
	alone := []float64{1, 0, 0}
	f.play(c, 20, 10*time.Second, alone)
	admitted, asked := f.play(c, 30+50, time.Second, alone)
	t.Logf("%d of %d served", len(admitted), asked)
	g.Expect(len(admitted)).To(BeNumerically(">=", asked*95/100))
}

// Guards against refusals inside the rate in the first seconds of traffic: hosts have
// held their buckets for some time when the first callers of a customer come.
func TestBucketFillsBeforeTheFirstCaller(t *testing.T) {
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
	again := share.New()
	again.SetLease(start, true)
	s = again
	g.Expect(admitted(start)).To(BeNumerically("<=", 15), "a host that has just started may have spent before")
}

// Guards against refusals inside the rate of small customers: each region sees a third of
// their callers, a few come together, and a third of a small burst is less than that.
func TestSmallCustomersAreServedWithinTheirRate(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(3)
	c := &catalog.Customer{Name: "small", Rate: 12, Burst: 12}
	f.play(c, 9, 5*time.Second, even(3))
	admitted, asked := f.play(c, 9, 60*time.Second, even(3))
	refused := 1 - float64(len(admitted))/float64(asked)
	t.Logf("refused %.2f%% at three quarters of the rate", 100*refused)
	g.Expect(refused).To(BeNumerically("<", 0.01))
	hot, _ := f.play(c, 90, 20*time.Second, even(3))
	g.Expect(worst(append(admitted, hot...))).To(BeNumerically("<=", (5*12+12)*1.1+20))
}

// Guards against a customer that gets more than its rate because all owners of its
// buckets start again while it sends too much, twice within one window.
func TestStartsOfAllOwnersStayWithinTheTolerance(t *testing.T) {
	g := NewWithT(t)
	c := &catalog.Customer{Name: "hot", Rate: 60, Burst: 60}
	f := newFleet(3)
	all, _ := f.play(c, 400, 6*time.Second, even(3))
	for range 2 {
		at := f.now.Add(time.Second)
		f = newFleet(3)
		f.restart(at)
		admitted, _ := f.play(c, 400, 1500*time.Millisecond, even(3))
		all = append(all, admitted...)
	}
	t.Logf("most in five seconds: %d", worst(all))
	g.Expect(worst(all)).To(BeNumerically("<=", (5*60+60)*1.1+20))
}
