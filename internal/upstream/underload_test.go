package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// short is the length of the simulated scenarios here; the figures of
// docs/UNDER-LOAD.md come from longer ones.
const shortRun = 4 * time.Second

// faultEnds is the same where a fault is judged from 5 s on.
const faultRun = 7 * time.Second

// both runs a check for one service of each deployment.
func forEachDeployment(t *testing.T, check func(t *testing.T, g *WithT, d deployment)) {
	for _, d := range []deployment{lookups.oneRegion(), balances.oneRegion()} {
		t.Run(d.name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			check(t, NewWithT(t), d)
		})
	}
}

// Three times more is asked for than the upstreams can do. Callers must get
// as many answers as the upstreams can give, nobody who was let in may wait in
// vain, and the customers share alike. FIFO serves by who asks most.
func TestOverload(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		now := simulate(d.overload(3, shortRun), seed, newPoolDiscipline)
		base := simulate(d.overload(3, shortRun), seed, newFIFODiscipline(leastRunning))
		t.Logf("base %s\nnow %s", base, now)
		g.Expect(now.goodput()).To(BeNumerically(">=", 0.95))
		g.Expect(now.missedFraction()).To(BeNumerically("<", 0.01))
		g.Expect(now.worstCustomerShare()).To(BeNumerically(">=", 0.95))
		g.Expect(base.worstCustomerShare()).To(BeNumerically("<", 0.7))
	})
}

// The same overload goes on. Once a queue has stood for two seconds it serves
// nobody more by being long: those who are let in must not wait for most of
// their budget any more.
func TestStandingQueueStaysShort(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		sc := d.overload(3, faultRun)
		sc.measureFrom = 5 * time.Second
		o := simulate(sc, seed, newPoolDiscipline)
		t.Logf("now %s", o)
		g.Expect(o.p50(0)).To(BeNumerically("<", 200*time.Millisecond))
		g.Expect(o.goodput()).To(BeNumerically(">=", 0.95))
	})
}

// A refused caller comes back when it was told to; by then the overload has
// ended. It must be served nine times in ten.
func TestRefusedCallersAreServedOnRetry(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		o := simulate(d.overloadThenHalfLoad(3, 3*time.Second, 0.05), seed, newPoolDiscipline)
		g.Expect(o.returned).To(BeNumerically(">", 100))
		g.Expect(fraction(o.returnedServed, o.returned)).To(BeNumerically(">=", 0.9))
	})
}

// An auction day: everybody sends ten times as much for two seconds. More must
// be served than with FIFO, and nothing that was let in may come too late.
func TestBurst(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		now := simulate(d.burst(faultRun), seed, newPoolDiscipline)
		base := simulate(d.burst(faultRun), seed, newFIFODiscipline(leastRunning))
		t.Logf("base %s\nnow %s", base, now)
		g.Expect(now.goodput()).To(BeNumerically(">", base.goodput()))
		g.Expect(now.worstCustomerShare()).To(BeNumerically(">", base.worstCustomerShare()))
		g.Expect(now.missedFraction()).To(BeNumerically("<", 0.01))
	})
}

// The largest customer sends five times its rate, all of it by one key in the
// second case. The other customers, and its own other keys, must not notice.
func TestHotCustomerAndHotKey(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		calm := simulate(d.scenario("calm", 0.7, shortRun), seed, newPoolDiscipline)
		hot := simulate(d.hotCustomer(shortRun), seed, newPoolDiscipline)
		t.Logf("customer %s", hot)
		g.Expect(hot.worstCustomerShare()).To(BeNumerically(">=", 0.95))
		g.Expect(hot.p99WithinShare()).To(BeNumerically("<", 2*calm.p99WithinShare()))
		key := simulate(d.hotKey(shortRun), seed, newPoolDiscipline)
		t.Logf("key %s", key)
		g.Expect(key.worstOtherKey()).To(BeNumerically(">=", 0.95))
		g.Expect(key.missedFraction()).To(BeNumerically("<", 0.01))
	})
}

// An upstream becomes ten times slower while its health endpoint says fine;
// another fails at once and so always looks least loaded. From three seconds
// on each may hold 2% of the traffic, and callers get their answers.
func TestUnhealthyUpstreamIsEjected(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		for _, sc := range []scenario{d.slowUpstream(faultRun), d.failingUpstream(faultRun)} {
			o := simulate(sc, seed, newPoolDiscipline)
			t.Logf("%s %s", sc.name, o)
			g.Expect(o.faultyFraction()).To(BeNumerically("<", 0.02))
			g.Expect(o.goodput()).To(BeNumerically(">=", 0.95))
			g.Expect(o.failed).To(BeZero())
		}
	})
}

// A quarter of the upstreams have one slot where the configuration says three
// or four, and shed the rest. Callers must get the answers that the others
// have room for.
func TestSheddingUpstreams(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		o := simulate(d.sheddingUpstreams(faultRun), seed, newPoolDiscipline)
		base := simulate(d.sheddingUpstreams(faultRun), seed, newFIFODiscipline(leastRunning))
		t.Logf("base %s\nnow %s", base, o)
		g.Expect(o.goodput()).To(BeNumerically(">=", 0.95))
		g.Expect(base.goodput()).To(BeNumerically("<", 0.9))
	})
}

// Two-second reports come to the same upstreams as five-millisecond lookups
// and could hold every slot. The lookups' p99 must stay within 1.5 times what
// it is without them.
func TestLongReportsAmongLookups(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		const long = 15 * time.Second
		without := simulate(d.lookupsAndReports(long, false), seed, newPoolDiscipline)
		with := simulate(d.lookupsAndReports(long, true), seed, newPoolDiscipline)
		t.Logf("without %s\nwith %s", without, with)
		g.Expect(with.p99(0)).To(BeNumerically("<", without.p99(0)*3/2))
		g.Expect(with.missedFraction()).To(BeNumerically("<", 0.01))
	})
}

// Half of the upstreams have just been replaced: their first requests take
// four times as long, which leaves little more room than is asked for. Nobody
// may be refused for it, nor an upstream be taken for sick.
func TestColdCaches(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		o := simulate(d.coldCaches(shortRun), seed, newPoolDiscipline)
		base := simulate(d.coldCaches(shortRun), seed, newFIFODiscipline(leastRunning))
		t.Logf("base %s\nnow %s", base, o)
		g.Expect(o.refusedCount).To(BeZero())
		g.Expect(o.missedDeadline).To(BeZero())
		g.Expect(o.goodput()).To(BeNumerically(">=", 0.99))
	})
}
