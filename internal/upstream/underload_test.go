package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// shortRun is the duration of most simulated scenarios in these tests. The
// figures in docs/UNDER-LOAD.md are from longer runs.
const shortRun = 4 * time.Second

// faultRun is the duration of scenarios whose results are measured from 5 s
// on.
const faultRun = 7 * time.Second

// forEachDeployment runs a check for the short service of each deployment.
func forEachDeployment(t *testing.T, check func(t *testing.T, g *WithT, d deployment)) {
	for _, d := range []deployment{lookups.oneRegion(), balances.oneRegion()} {
		t.Run(d.name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			check(t, NewWithT(t), d)
		})
	}
}

// At three times the capacity, callers must receive as many responses as the
// upstreams can give, admitted requests must meet their deadlines, and
// customers must receive equal shares. FIFO serves customers in proportion to
// their requests.
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

// During a longer overload, a queue that has been non-empty for two seconds
// gains no throughput from its length. Admitted requests must then no longer
// wait for most of their budget.
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

// Callers refused during an overload retry at the announced time, when the
// overload has ended. At least 90% of the retries must be served.
func TestRefusedCallersAreServedOnRetry(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		o := simulate(d.overloadThenHalfLoad(3, 3*time.Second, 0.05), seed, newPoolDiscipline)
		g.Expect(o.returned).To(BeNumerically(">", 100))
		g.Expect(fraction(o.returnedServed, o.returned)).To(BeNumerically(">=", 0.9))
	})
}

// All customers send ten times their usual rate for two seconds, as on
// auction days. More requests must be served than with FIFO, and admitted
// requests must meet their deadlines.
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

// The largest customer sends five times its rate, in the second case mostly
// with one key. The other customers, and its own other keys, must not be
// affected.
func TestHotCustomerAndHotKey(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		normal := simulate(d.scenario("70% load", 0.7, shortRun), seed, newPoolDiscipline)
		hot := simulate(d.hotCustomer(shortRun), seed, newPoolDiscipline)
		t.Logf("customer %s", hot)
		g.Expect(hot.worstCustomerShare()).To(BeNumerically(">=", 0.95))
		g.Expect(hot.p99WithinShare()).To(BeNumerically("<", 2*normal.p99WithinShare()))
		key := simulate(d.hotKey(shortRun), seed, newPoolDiscipline)
		t.Logf("key %s", key)
		g.Expect(key.worstOtherKey()).To(BeNumerically(">=", 0.95))
		g.Expect(key.missedFraction()).To(BeNumerically("<", 0.01))
	})
}

// One upstream becomes ten times slower while its health endpoint reports
// success; in the second scenario one fails immediately and therefore always
// has the lowest load. Three seconds later each must receive less than 2% of
// the traffic, and callers must receive their responses.
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

// A quarter of the upstreams have one slot where three or four are
// configured, and shed all further requests. Callers must receive the
// responses that the other upstreams have capacity for.
func TestSheddingUpstreams(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, g *WithT, d deployment) {
		o := simulate(d.sheddingUpstreams(faultRun), seed, newPoolDiscipline)
		base := simulate(d.sheddingUpstreams(faultRun), seed, newFIFODiscipline(leastRunning))
		t.Logf("base %s\nnow %s", base, o)
		g.Expect(o.goodput()).To(BeNumerically(">=", 0.95))
		g.Expect(base.goodput()).To(BeNumerically("<", 0.9))
	})
}

// Two-second reports share the upstreams with five-millisecond lookups and
// could hold every slot. The p99 latency of lookups must stay below 1.5 times
// its value without reports.
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

// Half of the upstreams have been replaced, and their first requests take
// four times as long, which leaves little spare capacity. No request may be
// refused and no upstream ejected because of that.
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
