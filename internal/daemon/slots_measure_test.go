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

// sixZoneConfig is a configuration with two zones in each of three regions, and
// the names of the zones.
func sixZoneConfig() (*config.Config, []string) {
	c := twoRegionConfig()
	c.Zones = map[string]config.Zone{}
	c.Regions["massachusetts"] = config.Region{}
	for _, region := range []string{"vermont", "maine", "massachusetts"} {
		for _, zone := range []string{"a", "b"} {
			c.Zones[region+"-"+zone] = config.Zone{Region: region, Slots: 10}
		}
	}
	return c, slices.Sorted(maps.Keys(c.Zones))
}

// requireMeasureEnabled skips the test unless BALSAM_MEASURE is 1.
func requireMeasureEnabled(t *testing.T) {
	if os.Getenv("BALSAM_MEASURE") != "1" {
		t.Skip("set BALSAM_MEASURE=1 to measure")
	}
}

// TestMeasureStoreCalls measures the store calls of an idle fleet.
func TestMeasureStoreCalls(t *testing.T) {
	requireMeasureEnabled(t)
	for _, n := range []int{10, 20, 50} {
		t.Run(fmt.Sprintf("daemons=%d", n), func(t *testing.T) {
			f := newFleet(t)
			c, zones := sixZoneConfig()
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
				t.Logf("figure: %d idle daemons, %s: %.2f calls/s", n, name, float64(calls)/window.Seconds())
			}
			t.Logf("figure: %d idle daemons, all: %.2f calls/s", n, float64(total)/window.Seconds())
		})
	}
}

// TestMeasureTakeover measures how long the slots of a crashed daemon are unused.
func TestMeasureTakeover(t *testing.T) {
	requireMeasureEnabled(t)
	for i := range 5 {
		f := newFleet(t)
		f.start("vt-1", "vt-a")
		f.start("vt-2", "vt-a")
		f.awaitReady(f.apply("vt-1", oneZoneConfig()))
		f.g.Eventually(f.usedSlots, settleTimeout).Should(Equal(allSlots))
		time.Sleep(time.Duration(i) * 700 * time.Millisecond)
		start := time.Now()
		f.kill("vt-2")
		f.g.Eventually(f.usedSlots, 2*settleTimeout, 10*time.Millisecond).Should(Equal(allSlots))
		t.Logf("figure: slots of a crashed daemon in use again after %v", time.Since(start))
	}
}

// TestMeasureJoin measures how long a new daemon waits for its share of the slots.
func TestMeasureJoin(t *testing.T) {
	requireMeasureEnabled(t)
	f := newFleet(t)
	f.start("vt-1", "vt-a")
	f.awaitReady(f.apply("vt-1", oneZoneConfig()))
	for i := 2; i <= 4; i++ {
		host := fmt.Sprintf("vt-%d", i)
		start := time.Now()
		d := f.start(host, "vt-a")
		f.g.Eventually(func() int { return len(d.View().Self.Slots) }, settleTimeout, 5*time.Millisecond).Should(BeNumerically(">", 0))
		f.g.Eventually(f.usedSlots, settleTimeout, 5*time.Millisecond).Should(Equal(allSlots))
		t.Logf("figure: daemon %d holds slots, and all slots are held, %v after its start", i, time.Since(start))
	}
}
