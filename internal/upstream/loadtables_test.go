package upstream

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const seed = 20260

// TestMeasureUnderLoad prints the tables of docs/UNDER-LOAD.md. It checks
// nothing; the checks are in underload_test.go.
func TestMeasureUnderLoad(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("measures only with BALSAM_MEASURE=1")
	}
	for _, d := range []deployment{lookups, balances, postings} {
		printHeading(d)
		for _, c := range comparisons(d) {
			printComparison(c.scenario, c.baseline)
		}
		printRetries(d, 0.05)
		printRetries(d, 1)
	}
	printHeading(reports)
	printComparison(reports.scenario("70% load", 0.7, 10*time.Minute), leastRunning)
	printComparison(reports.hotCustomer(10*time.Minute), leastRunning)
	printComparison(reports.overload(3, 10*time.Minute), leastRunning)
}

type comparison struct {
	scenario scenario
	baseline balancing
}

func comparisons(d deployment) []comparison {
	const short = 10 * time.Second
	return []comparison{
		{d.scenario("70% load", 0.7, short), leastRunning},
		{d.burst(short), leastRunning},
		{d.hotCustomer(short), leastRunning},
		{d.hotKey(short), leastRunning},
		{d.slowUpstream(short), roundRobin},
		{d.failingUpstream(short), leastRunning},
		{d.sheddingUpstreams(short), leastRunning},
		{d.falseLoadReports(short), leastReported},
		{d.scenario("70% load, base without limit", 0.7, short), roundRobinUnlimited},
		{d.lookupsAndReports(time.Minute, false), leastRunning},
		{d.lookupsAndReports(time.Minute, true), leastRunning},
		{d.overload(1.5, time.Minute), leastRunning},
		{d.overload(3, time.Minute), leastRunning},
		{d.overload(3, time.Minute), leastRunningUnbounded},
		{d.coldCaches(short), leastRunning},
	}
}

var baselineNames = map[balancing]string{
	roundRobin: "FIFO, round robin", leastRunning: "FIFO, least running", leastReported: "FIFO, least reported",
	roundRobinUnlimited: "round robin, no limit", leastRunningUnbounded: "FIFO without bound",
}

func printHeading(d deployment) {
	fmt.Printf("\n### %s: %d upstreams in %d zones, %v each, budget %v, seed %d\n\n", d.name, d.machines, d.zones, d.meanTime, d.timeout, seed)
	fmt.Println("| pattern | | goodput | p50 / p99 ms by kind | p99 ms within share | worst customer | worst other key | refused | too late | failed | share of the faulty |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
}

func printComparison(sc scenario, baseline balancing) {
	fmt.Printf("| %s | %s | %s |\n", sc.name, baselineNames[baseline], simulate(sc, seed, newFIFODiscipline(baseline)))
	fmt.Printf("| | now | %s |\n", simulate(sc, seed, newPoolDiscipline))
}

func printRetries(d deployment, retryFraction float64) {
	o := simulate(d.overloadThenHalfLoad(3, 10*time.Second, retryFraction), seed, newPoolDiscipline)
	median, longest := o.retryAfterStats()
	fmt.Printf("\nOverload 3x for 10 s, then half load, %.0f%% of the refused callers retry at the announced time (median %v, maximum %v): "+
		"%d after the overload, %.1f%% of them served.\n",
		100*retryFraction, median.Round(time.Millisecond), longest.Round(time.Millisecond), o.returned, 100*fraction(o.returnedServed, o.returned))
}
