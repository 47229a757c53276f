package daemon_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
)

// sixZones is a configuration with two zones in each of three regions.
func sixZones() (*config.Config, []string) {
	c := twoRegions()
	c.Zones = map[string]config.Zone{}
	c.Regions["massachusetts"] = config.Region{}
	for _, region := range []string{"vermont", "maine", "massachusetts"} {
		for _, zone := range []string{"a", "b"} {
			c.Zones[region+"-"+zone] = config.Zone{Region: region, Slots: 10}
		}
	}
	return c, slices.Sorted(maps.Keys(c.Zones))
}

func measureOnly(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("set BALSAM_MEASURE=1 to take figures")
	}
}

// TestMeasureStoreCalls prints the calls of a fleet at rest.
func TestMeasureStoreCalls(t *testing.T) {
	measureOnly(t)
	for _, n := range []int{10, 20, 50} {
		t.Run(fmt.Sprintf("daemons=%d", n), func(t *testing.T) {
			f := newFleet(t)
			c, zones := sixZones()
			for i := range n {
				f.start(fmt.Sprintf("host-%02d", i), zones[i%len(zones)])
			}
			f.awaitReady(f.apply("host-00", c))
			time.Sleep(5 * time.Second)
			before := f.platform.Calls()
			const window = 20 * time.Second
			time.Sleep(window)
			total := 0
			for name, calls := range f.platform.Calls() {
				calls -= before[name]
				total += calls
				t.Logf("figure: %d daemons at rest, %s: %.2f calls/s", n, name, float64(calls)/window.Seconds())
			}
			t.Logf("figure: %d daemons at rest, all: %.2f calls/s", n, float64(total)/window.Seconds())
		})
	}
}

// TestMeasureTakeover prints how long the slots of a killed daemon lie idle.
func TestMeasureTakeover(t *testing.T) {
	measureOnly(t)
	for i := range 5 {
		f := newFleet(t)
		f.start("vt-1", "vt-a")
		f.start("vt-2", "vt-a")
		f.awaitReady(f.apply("vt-1", oneZone()))
		f.g.Eventually(f.slotsOf, settle).Should(Equal(allFour))
		time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		start := time.Now()
		f.kill("vt-2")
		f.g.Eventually(f.slotsOf, 2*settle, 10*time.Millisecond).Should(Equal(allFour))
		t.Logf("figure: slots of a killed daemon spent again after %v", time.Since(start))
	}
}

// TestMeasureJoin prints how long a newcomer waits for its part.
func TestMeasureJoin(t *testing.T) {
	measureOnly(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZone()))
	for i := 2; i <= 4; i++ {
		host := fmt.Sprintf("vt-%d", i)
		start := time.Now()
		d := f.start(host, "vt-a")
		f.g.Eventually(func() int { return len(d.View().Self.Slots) }, settle, 5*time.Millisecond).Should(BeNumerically(">", 0))
		f.g.Eventually(f.slotsOf, settle, 5*time.Millisecond).Should(Equal(allFour))
		t.Logf("figure: daemon %d has its slots, and all are held, %v after its start", i, time.Since(start))
	}
}
