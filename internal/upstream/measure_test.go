package upstream

import (
	"os"
	"testing"
	"time"
)

const seed = 20260

// TestMeasureUnderLoad prints the table of docs/UNDER-LOAD.md. It judges
// nothing; TestUnderLoad does.
func TestMeasureUnderLoad(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("measures only with BALSAM_MEASURE=1")
	}
	minute := time.Minute
	if os.Getenv("BALSAM_SHORT") == "1" {
		minute = 6 * time.Second
	}
	for _, d := range []deployment{lookups, balances, postings, reports} {
		t.Logf("== %s, seed %d", d.name, seed)
		for _, c := range []struct {
			sc   scenario
			base choice
		}{
			{d.scenario("70% load", 0.7, 10*time.Second), leastRunning},
			{d.burst(10 * time.Second), leastRunning},
			{d.hotCustomer(10 * time.Second), leastRunning},
			{d.hotKey(10 * time.Second), leastRunning},
			{d.slow(10 * time.Second), roundRobin},
			{d.failsFast(10 * time.Second), leastRunning},
			{d.shedding(10 * time.Second), leastRunning},
			{d.scenario("load reports 5 s old", 0.7, 10*time.Second), leastReported},
			{d.scenario("no limit", 0.7, 10*time.Second), unlimited},
			{d.withReports(minute, false), leastRunning},
			{d.withReports(minute, true), leastRunning},
			{d.overload(1.5, minute), leastRunning},
			{d.overload(3, minute), leastRunning},
			{d.cold(10 * time.Second), leastRunning},
		} {
			t.Logf("%s\n  base %s\n  now  %s", c.sc.name, simulate(c.sc, seed, newNaive(c.base)), simulate(c.sc, seed, newFair))
		}
		sc := d.overloadThenCalm(3, 10*time.Second)
		o := simulate(sc, seed, newFair)
		b := simulate(sc, seed, newNaive(leastRunning))
		t.Logf("%s: came back %d, served %.1f%%; base %d %.1f%%", sc.name, o.back, 100*part(o.backOK, o.back), b.back, 100*part(b.backOK, b.back))
	}
}
