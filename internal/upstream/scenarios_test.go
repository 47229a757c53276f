package upstream

import (
	"fmt"
	"time"
)

// oneRegion reduces a deployment to the two zones of one region, which makes
// the tests faster. Zones hardly affect each other in these scenarios.
func (d deployment) oneRegion() deployment {
	d.zones, d.machines = 2, (d.machines+2)/3
	return d
}

// deployment describes one service of an organisation.
type deployment struct {
	name     string
	zones    int
	machines int
	meanTime time.Duration
	timeout  time.Duration
	rates    []float64
}

var (
	lookups  = deployment{"cooperative lookup", 6, 20, 5 * time.Millisecond, 2 * time.Second, []float64{120, 80, 60, 60, 40, 40, 40, 30}}
	postings = deployment{"cooperative posting", 6, 12, 10 * time.Millisecond, 5 * time.Second, lookups.rates}
	balances = deployment{"association balance", 6, 14, 5 * time.Millisecond, 2 * time.Second, []float64{120, 80, 60, 60, 40, 40, 40, 30}}
	reports  = deployment{"reports", 6, 12, 200 * time.Millisecond, time.Minute, lookups.rates}
)

const (
	reportTimeout  = 60 * time.Second
	reportMeanTime = 2 * time.Second
)

// scenario returns a steady load of the service.
func (d deployment) scenario(name string, load float64, end time.Duration) scenario {
	return scenario{
		name: name, zones: d.zones, machines: d.machines, rates: d.rates, end: end, measureFrom: time.Second, keys: 4,
		slots:      func(i int) int { return 3 + (i/d.zones)%2 },
		kinds:      []kindOfWork{{meanTime: d.meanTime, timeout: d.timeout, load: load}},
		loadFactor: func(int, time.Duration) float64 { return 1 },
	}
}

func (d deployment) burst(end time.Duration) scenario {
	sc := d.scenario("burst of 10x for 2 s", 0.5, end)
	sc.loadFactor = func(_ int, t time.Duration) float64 {
		if t >= 2*time.Second && t < 4*time.Second {
			return 10
		}
		return 1
	}
	return sc
}

func (d deployment) hotCustomer(end time.Duration) scenario {
	sc := d.scenario("customer at 5x its rate", 0.7, end)
	sc.loadFactor = func(customer int, _ time.Duration) float64 {
		if customer == 0 {
			return 5
		}
		return 1
	}
	return sc
}

func (d deployment) hotKey(end time.Duration) scenario {
	sc := d.hotCustomer(end)
	sc.name, sc.hotKey, sc.keys = "one key sends 5/6 of that", true, 20
	return sc
}

func (d deployment) slowUpstream(end time.Duration) scenario {
	return d.faultyUpstream("upstream 10x slower", end, func(m *machine) { m.slowdown = 10 })
}

func (d deployment) failingUpstream(end time.Duration) scenario {
	return d.faultyUpstream("upstream fails at once", end, func(m *machine) { m.fails = true })
}

// faultyUpstream applies a fault to machine 0 after 2 s and measures from 5 s
// on.
func (d deployment) faultyUpstream(name string, end time.Duration, fault func(*machine)) scenario {
	sc := d.scenario(name, 0.6, end)
	sc.measureFrom, sc.faultyMachine, sc.maxHandlers = 5*time.Second, true, 3
	sc.fault = func(m *machine, t time.Duration) {
		if m.index == 0 && t >= 2*time.Second {
			fault(m)
		}
	}
	return sc
}

func (d deployment) falseLoadReports(end time.Duration) scenario {
	sc := d.scenario("load reports 5 s old, one always idle", 0.7, end)
	sc.faultyMachine = true
	sc.fault = func(m *machine, _ time.Duration) { m.reportsIdle = m.index == 0 }
	return sc
}

func (d deployment) sheddingUpstreams(end time.Duration) scenario {
	sc := d.scenario("a quarter of the upstreams have one slot", 0.6, end)
	sc.fault = func(m *machine, t time.Duration) {
		if m.index%4 == 0 && t >= 2*time.Second {
			m.slots = 1
		}
	}
	sc.measureFrom, sc.maxHandlers = 5*time.Second, 3
	return sc
}

func (d deployment) lookupsAndReports(end time.Duration, withReports bool) scenario {
	sc := d.scenario("lookups alone at 35%", 0.35, end)
	sc.measureFrom = 5 * time.Second
	if withReports {
		sc.name = "the same and 35% reports of 2 s"
		sc.kinds = append(sc.kinds, kindOfWork{meanTime: reportMeanTime, timeout: reportTimeout, load: 0.35})
	}
	return sc
}

func (d deployment) overload(times float64, end time.Duration) scenario {
	sc := d.scenario(fmt.Sprintf("overload %gx", times), times, end)
	sc.loadEnds = end
	sc.end = end
	return sc
}

// overloadThenHalfLoad is an overload after which retryFraction of the
// refused callers retry at the announced time.
func (d deployment) overloadThenHalfLoad(times float64, end time.Duration, retryFraction float64) scenario {
	sc := d.scenario("overload, then half load", times, end+min(62*time.Second, 8*end))
	sc.loadEnds, sc.retryFraction = end, retryFraction
	sc.loadFactor = func(_ int, t time.Duration) float64 {
		if t >= end {
			return 0.5 / times
		}
		return 1
	}
	return sc
}

func (d deployment) coldCaches(end time.Duration) scenario {
	sc := d.scenario("half of the caches cold", 0.6, end)
	sc.fault = func(m *machine, t time.Duration) {
		if (m.index/d.zones)%2 == 1 && t == time.Second {
			m.coldRequests = 200
		}
	}
	return sc
}
