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

// changesMeasured is how many changes each figure rests on.
const changesMeasured = 60

// spread is how long one change took.
type spread struct {
	// accepted is from the submission to its answer, everywhere from then
	// until the last daemon has the version in force.
	accepted, everywhere time.Duration
}

// measureChange submits a change through a host and waits for every daemon.
func (f *fleet) measureChange(through string, base uint64, merge string) (uint64, spread) {
	f.t.Helper()
	var s spread
	start := time.Now()
	a, err := ctl.NewClient(f.daemons[through].OperatorsAddress()).Patch(base, []byte(merge))
	f.g.Expect(err).NotTo(HaveOccurred())
	s.accepted = time.Since(start)
	start = time.Now()
	for _, d := range f.daemons {
		for d.View().Self.ConfigVersion < a.Version {
			f.g.Expect(time.Since(start)).To(BeNumerically("<", settle))
			time.Sleep(time.Millisecond)
		}
	}
	s.everywhere = time.Since(start)
	return a.Version, s
}

func quantiles(all []time.Duration) string {
	slices.Sort(all)
	at := func(q float64) time.Duration { return all[int(q*float64(len(all)-1))].Round(time.Millisecond) }
	return fmt.Sprintf("p50 %v, p99 %v, max %v of %d", at(0.5), at(0.99), at(1), len(all))
}

func TestMeasureSpread(t *testing.T) {
	measured(t)
	for _, tc := range []struct {
		name    string
		through string
		prepare func(*fleet)
	}{
		{"healthy", "vt-a-1", func(*fleet) {}},
		{"healthy, submitted far from the store", "ma-b-1", func(*fleet) {}},
		{"store slow by 500 ms", "vt-a-1", func(f *fleet) { f.platform.SetFaults(standin.Faults{Delay: 500 * time.Millisecond}) }},
		{"one zone reached only through peers", "vt-a-1", func(f *fleet) { f.network.cut("ma-b-1", "platform") }},
		{"both", "vt-a-1", func(f *fleet) {
			f.network.cut("ma-b-1", "platform")
			f.platform.SetFaults(standin.Faults{Delay: 500 * time.Millisecond})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := cooperative(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
			tc.prepare(f)
			version := f.daemons["vt-a-1"].View().Self.ConfigVersion
			var accepted, everywhere []time.Duration
			for i := range changesMeasured {
				var s spread
				version, s = f.measureChange(tc.through, version, rate(uint64(100+i)))
				accepted, everywhere = append(accepted, s.accepted), append(everywhere, s.everywhere)
			}
			t.Logf("FIGURE %s: submission to acceptance %s; acceptance to in force everywhere %s", tc.name, quantiles(accepted), quantiles(everywhere))
		})
	}
}

// TestMeasureSpreadByTheStore measures changes that no daemon takes part in:
// they reach the fleet through the zones' watchers alone.
func TestMeasureSpreadByTheStore(t *testing.T) {
	measured(t)
	f := cooperative(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
	var everywhere []time.Duration
	for i := range changesMeasured {
		version := f.write(rate(uint64(100 + i)))
		start := time.Now()
		for _, d := range f.daemons {
			for d.View().Self.ConfigVersion < version {
				time.Sleep(time.Millisecond)
			}
		}
		everywhere = append(everywhere, time.Since(start))
	}
	t.Logf("FIGURE written past all daemons: acceptance to in force everywhere %s", quantiles(everywhere))
}

func TestMeasureWithdrawal(t *testing.T) {
	measured(t)
	f := cooperative(t, map[string]config.Customer{"farm": customer("farm", 1000, 1000)})
	var refused, granted []time.Duration
	for i := range 20 {
		id, key := fmt.Sprintf("x%d", i), fmt.Sprintf("extra-%d", i)
		f.patch("vt-a-1", fmt.Sprintf(`{"customers":{"farm":{"keys":{%q:{"sha256":%q}}}}}`, id, config.DigestOf(key).String()))
		granted = append(granted, f.untilEverywhere(key, func(r reply) bool { return r.Outcome == wire.OutcomeRan }))
		f.patch("vt-a-1", fmt.Sprintf(`{"customers":{"farm":{"keys":{%q:null}}}}`, id))
		refused = append(refused, f.untilEverywhere(key, func(r reply) bool { return r.Problem.Type == wire.TypeUnknownKey }))
	}
	t.Logf("FIGURE granted key works at all hosts: %s after acceptance", quantiles(granted))
	t.Logf("FIGURE withdrawn key refused at all hosts: %s after acceptance", quantiles(refused))
}

// untilEverywhere calls every host until its answer is as wanted, and returns
// when the last one's was.
func (f *fleet) untilEverywhere(key string, wanted func(reply) bool) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for host := range f.daemons {
		wg.Go(func() {
			for !wanted(f.call(host, http.MethodGet, "lookup/animal/7", key, nil)) && time.Since(start) < settle {
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return time.Since(start)
}

// TestMeasureConfigStoreCalls counts the platform's calls by kind, idle and with
// changes, over fleets of three sizes in six zones.
func TestMeasureConfigStoreCalls(t *testing.T) {
	measured(t)
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
			}, 2*settle).Should(BeTrue())
			time.Sleep(5 * time.Second)
			before := f.platform.Calls()
			time.Sleep(window)
			idle := difference(f.platform.Calls(), before)
			before = f.platform.Calls()
			const changes = 20
			start := time.Now()
			var everywhere []time.Duration
			for i := range changes {
				var s spread
				version, s = f.measureChange(first, version, rate(uint64(200+i)))
				everywhere = append(everywhere, s.everywhere)
				time.Sleep(time.Until(start.Add(time.Duration(i+1) * window / changes)))
			}
			busy := difference(f.platform.Calls(), before)
			t.Logf("FIGURE %d daemons: idle calls in %v: %v; with %d changes: %v; everywhere %s", size, window, idle, changes, busy, quantiles(everywhere))
		})
	}
}

func difference(now, before map[string]int) map[string]int {
	out := map[string]int{}
	for kind, n := range now {
		if d := n - before[kind]; d != 0 {
			out[kind] = d
		}
	}
	return out
}

// TestMeasureConfirmationAge samples how old the confirmation of the version
// in force becomes, which bounds what max_staleness_ms may sensibly be.
func TestMeasureConfirmationAge(t *testing.T) {
	measured(t)
	for _, tc := range []struct {
		name   string
		faults standin.Faults
		cut    bool
	}{
		{"healthy", standin.Faults{}, false},
		{"store slow by 500 ms", standin.Faults{Delay: 500 * time.Millisecond}, false},
		{"one zone reached only through peers", standin.Faults{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := cooperative(t, map[string]config.Customer{"farm": customer("farm", 100, 100)})
			f.platform.SetFaults(tc.faults)
			if tc.cut {
				f.network.cut("ma-b-1", "platform")
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
