package daemon_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/operator/ctl"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/wire"
)

// changesPerRun is the number of changes behind each reported figure.
const changesPerRun = 60

// propagation holds the delays of one configuration change.
type propagation struct {
	// accepted is the time from submission to response, everywhere the time
	// from the response until the change is active on every daemon.
	accepted, everywhere time.Duration
}

// measurePropagation submits a change through a host and waits for every daemon.
func (f *fleet) measurePropagation(through string, base uint64, mergePatch string) (uint64, propagation) {
	f.t.Helper()
	var delays propagation
	start := time.Now()
	applied, err := ctl.NewClient(f.daemons[through].OperatorsAddress()).Patch(base, []byte(mergePatch))
	f.g.Expect(err).NotTo(HaveOccurred())
	delays.accepted = time.Since(start)
	start = time.Now()
	for _, d := range f.daemons {
		for d.View().Self.ConfigVersion < applied.Version {
			f.g.Expect(time.Since(start)).To(BeNumerically("<", settleTimeout))
			time.Sleep(time.Millisecond)
		}
	}
	delays.everywhere = time.Since(start)
	return applied.Version, delays
}

// quantiles formats the median, the 99th percentile and the maximum.
func quantiles(all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("p50 %v, p99 %v, max %v of %d", at(0.5), at(0.99), at(1), len(all))
}

// TestMeasureConfigPropagation measures how long a change submitted through a
// daemon takes to be accepted and to become active on every daemon.
func TestMeasureConfigPropagation(t *testing.T) {
	requireMeasureEnv(t)
	for _, tc := range []struct {
		name    string
		through string
		prepare func(*fleet)
	}{
		{"healthy", "vt-a-1", func(*fleet) {}},
		{"healthy, submitted far from the store", "ma-b-1", func(*fleet) {}},
		{"store slow by 500 ms", "vt-a-1", func(f *fleet) { f.platform.SetFaults(standin.Faults{Delay: 500 * time.Millisecond}) }},
		{"one zone reached only through peers", "vt-a-1", func(f *fleet) { f.network.partition("ma-b-1", "platform") }},
		{"slow store, one zone reached only through peers", "vt-a-1", func(f *fleet) {
			f.network.partition("ma-b-1", "platform")
			f.platform.SetFaults(standin.Faults{Delay: 500 * time.Millisecond})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
			tc.prepare(f)
			version := f.daemons["vt-a-1"].View().Self.ConfigVersion
			var accepted, everywhere []time.Duration
			for i := range changesPerRun {
				var s propagation
				version, s = f.measurePropagation(tc.through, version, ratePatch(uint64(100+i)))
				accepted, everywhere = append(accepted, s.accepted), append(everywhere, s.everywhere)
			}
			t.Logf("FIGURE %s: submission to acceptance %s; acceptance to active everywhere %s", tc.name, quantiles(accepted), quantiles(everywhere))
		})
	}
}

// TestMeasureConfigPropagationThroughStore measures changes that are written
// directly to the store: they reach the fleet only through the zones' watchers.
func TestMeasureConfigPropagationThroughStore(t *testing.T) {
	requireMeasureEnv(t)
	f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
	var everywhere []time.Duration
	for i := range changesPerRun {
		version := f.writeToStore(ratePatch(uint64(100 + i)))
		start := time.Now()
		for _, d := range f.daemons {
			for d.View().Self.ConfigVersion < version {
				time.Sleep(time.Millisecond)
			}
		}
		everywhere = append(everywhere, time.Since(start))
	}
	t.Logf("FIGURE written directly to the store: acceptance to active everywhere %s", quantiles(everywhere))
}

// TestMeasureKeyWithdrawal measures how long a new key takes to work, and a
// withdrawn key to be rejected, on all hosts.
func TestMeasureKeyWithdrawal(t *testing.T) {
	requireMeasureEnv(t)
	f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", 1000, 1000)})
	var withdrawn, added []time.Duration
	for i := range 20 {
		id, key := fmt.Sprintf("x%d", i), fmt.Sprintf("extra-%d", i)
		f.patch("vt-a-1", fmt.Sprintf(`{"customers":{"farm":{"keys":{%q:{"sha256":%q}}}}}`, id, config.DigestOf(key).String()))
		added = append(added, f.waitForAllHosts(key, func(r reply) bool { return r.Outcome == wire.OutcomeRan }))
		f.patch("vt-a-1", fmt.Sprintf(`{"customers":{"farm":{"keys":{%q:null}}}}`, id))
		withdrawn = append(withdrawn, f.waitForAllHosts(key, func(r reply) bool { return r.Problem.Type == wire.TypeUnknownKey }))
	}
	t.Logf("FIGURE new key works on all hosts: %s after acceptance", quantiles(added))
	t.Logf("FIGURE revoked key rejected on all hosts: %s after acceptance", quantiles(withdrawn))
}

// waitForAllHosts sends requests to every host until each response is as wanted,
// and returns how long that took.
func (f *fleet) waitForAllHosts(key string, wanted func(reply) bool) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for host := range f.daemons {
		wg.Go(func() {
			for !wanted(f.call(host, http.MethodGet, "lookup/animal/7", key, nil)) && time.Since(start) < settleTimeout {
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return time.Since(start)
}

// TestMeasureConfigStoreCalls counts the platform's calls by kind, for an idle
// fleet and for one with configuration changes, with three fleet sizes.
func TestMeasureConfigStoreCalls(t *testing.T) {
	requireMeasureEnv(t)
	const window = 10 * time.Second
	for _, size := range []int{10, 25, 50} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t)
			c := &config.Config{
				Regions: map[string]config.Region{"vt": {}, "me": {}, "ma": {}}, Zones: map[string]config.Zone{},
				Services: map[string]config.Service{"lookup": {}}, Upstreams: map[string]config.Upstream{},
				Customers: map[string]config.Customer{"farm": customer("farm", 100, 100)},
			}
			zones := []string{"vt-a", "vt-b", "me-a", "me-b", "ma-a", "ma-b"}
			for _, zone := range zones {
				c.Zones[zone] = config.Zone{Region: regionOf(zone), Slots: 20}
			}
			first := ""
			for i := range size {
				zone := zones[i%len(zones)]
				host := fmt.Sprintf("%s-%d", zone, i)
				f.start(host, zone)
				if first == "" {
					first = host
				}
			}
			version := f.apply(first, c)
			f.g.Eventually(func() bool {
				for _, d := range f.daemons {
					if d.View().Self.ConfigVersion < version || len(d.View().Ready) < size {
						return false
					}
				}
				return true
			}, 2*settleTimeout).Should(BeTrue())
			time.Sleep(5 * time.Second)
			before := f.platform.Calls()
			time.Sleep(window)
			idle := callDifference(f.platform.Calls(), before)
			before = f.platform.Calls()
			const changes = 20
			start := time.Now()
			var everywhere []time.Duration
			for i := range changes {
				var s propagation
				version, s = f.measurePropagation(first, version, ratePatch(uint64(200+i)))
				everywhere = append(everywhere, s.everywhere)
				time.Sleep(time.Until(start.Add(time.Duration(i+1) * window / changes)))
			}
			busy := callDifference(f.platform.Calls(), before)
			t.Logf("FIGURE %d daemons: idle calls in %v: %v; with %d changes: %v; everywhere %s", size, window, idle, changes, busy, quantiles(everywhere))
		})
	}
}

func callDifference(now, before map[string]int) map[string]int {
	difference := map[string]int{}
	for kind, n := range now {
		if d := n - before[kind]; d != 0 {
			difference[kind] = d
		}
	}
	return difference
}

// TestMeasureConfirmationAge samples the age of the active version's last
// confirmation, which is a lower bound for useful values of max_staleness_ms.
func TestMeasureConfirmationAge(t *testing.T) {
	requireMeasureEnv(t)
	for _, tc := range []struct {
		name        string
		faults      standin.Faults
		partitioned bool
	}{
		{"healthy", standin.Faults{}, false},
		{"store slow by 500 ms", standin.Faults{Delay: 500 * time.Millisecond}, false},
		{"one zone reached only through peers", standin.Faults{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
			f.platform.SetFaults(tc.faults)
			if tc.partitioned {
				f.network.partition("ma-b-1", "platform")
			}
			time.Sleep(8 * time.Second)
			var ages []time.Duration
			for range 2000 {
				for _, d := range f.daemons {
					ages = append(ages, time.Since(d.View().ConfirmedAt))
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("FIGURE age of the confirmation, %s: %s samples over 20 s and ten daemons", tc.name, quantiles(ages))
		})
	}
}
