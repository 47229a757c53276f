package upstream

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const seed = 20260

// TestMeasureUnderLoad prints the tables of docs/UNDER-LOAD.md. It judges
// nothing; underload_test.go does.
func TestMeasureUnderLoad(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("measures only with BALSAM_MEASURE=1")
	}
	for _, d := range []deployment{lookups, balances, postings} {
		heading(d)
		for _, c := range patterns(d) {
			measure(c.sc, c.base)
		}
		measureReturns(d, 0.05)
		measureReturns(d, 1)
	}
	heading(reports)
	measure(reports.scenario("70% load", 0.7, 10*time.Minute), leastRunning)
	measure(reports.hotCustomer(10*time.Minute), leastRunning)
	measure(reports.overload(3, 10*time.Minute), leastRunning)
}

type comparison struct {
	sc   scenario
	base choice
}

func patterns(d deployment) []comparison {
	const few = 10 * time.Second
	return []comparison{
		{d.scenario("70% load", 0.7, few), leastRunning},
		{d.burst(few), leastRunning},
		{d.hotCustomer(few), leastRunning},
		{d.hotKey(few), leastRunning},
		{d.slow(few), roundRobin},
		{d.failsFast(few), leastRunning},
		{d.shedding(few), leastRunning},
		{d.lyingReports(few), leastReported},
		{d.scenario("70% load, base without limit", 0.7, few), unlimited},
		{d.withReports(time.Minute, false), leastRunning},
		{d.withReports(time.Minute, true), leastRunning},
		{d.overload(1.5, time.Minute), leastRunning},
		{d.overload(3, time.Minute), leastRunning},
		{d.overload(3, time.Minute), unbounded},
		{d.cold(few), leastRunning},
	}
}

var baseNames = map[choice]string{
	roundRobin: "FIFO, round robin", leastRunning: "FIFO, least running", leastReported: "FIFO, least reported",
	unlimited: "round robin, no limit", unbounded: "FIFO without bound",
}

func heading(d deployment) {
	fmt.Printf("\n### %s: %d upstreams in %d zones, %v each, budget %v, seed %d\n\n", d.name, d.machines, d.zones, d.mean, d.timeout, seed)
	fmt.Println("| pattern | | goodput | p50 / p99 ms by kind | p99 ms within share | worst customer | worst other key | refused | too late | failed | share of the faulty |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
}

func measure(sc scenario, base choice) {
	fmt.Printf("| %s | %s | %s |\n", sc.name, baseNames[base], simulate(sc, seed, newNaive(base)))
	fmt.Printf("| | now | %s |\n", simulate(sc, seed, newFair))
}

func measureReturns(d deployment, comeBack float64) {
	o := simulate(d.overloadThenCalm(3, 10*time.Second, comeBack), seed, newFair)
	median, most := o.told()
	fmt.Printf("\nOverload 3x for 10 s, then half load, %.0f%% of the refused come back when told (median %v, most %v): "+
		"%d after the overload, %.1f%% of them served.\n",
		100*comeBack, median.Round(time.Millisecond), most.Round(time.Millisecond), o.back, 100*part(o.backOK, o.back))
}
