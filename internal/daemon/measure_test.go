package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/standin"
)

// The tests in this file print the figures of docs/MEASUREMENTS.md. They take
// minutes, check nothing that depends on timing, and run only on request.

// requireMeasureEnv skips the test unless BALSAM_MEASURE is set.
func requireMeasureEnv(t *testing.T) {
	t.Helper()
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("set BALSAM_MEASURE=1 to measure")
	}
}

// regionDelay is the one-way delay between two regions.
const regionDelay = 35 * time.Millisecond

// tenHosts are the entry hosts that startTenHosts starts; a name begins with its zone.
var tenHosts = []string{
	"vt-a-1", "vt-a-2", "vt-b-1", "vt-b-2", "me-a-1", "me-a-2", "me-b-1", "ma-a-1", "ma-a-2", "ma-b-1",
}

func zoneOf(host string) string   { return host[:4] }
func regionOf(host string) string { return host[:2] }

// startTenHosts starts ten daemons in six zones, with regionDelay between regions,
// the given customers, and three upstreams of a lookup service in each zone.
func startTenHosts(t *testing.T, customers map[string]config.Customer) *fleet {
	f := newFleet(t)
	f.network.delay = func(from, to string) time.Duration {
		switch to {
		case "":
			return 0
		case "platform":
			to = "vt-a-1"
		}
		if regionOf(from) == regionOf(to) {
			return 0
		}
		return regionDelay
	}
	c := &config.Config{
		Regions:   map[string]config.Region{"vt": {}, "me": {}, "ma": {}},
		Zones:     map[string]config.Zone{},
		Services:  map[string]config.Service{"lookup": {}},
		Upstreams: map[string]config.Upstream{},
		Customers: customers,
	}
	for _, host := range tenHosts {
		zone := zoneOf(host)
		if _, known := c.Zones[zone]; !known {
			c.Zones[zone] = config.Zone{Region: regionOf(host)}
			for i := range 3 {
				name := fmt.Sprintf("lookup-%s-%d", zone, i)
				o := standin.UpstreamOptions{Slots: 64, ServiceTime: time.Millisecond, RecordArrivals: true}
				c.Upstreams[name] = f.upstream(name, "lookup", zone, o)
			}
		}
		f.start(host, zone)
	}
	f.awaitReady(f.apply("vt-a-1", c))
	f.awaitHandlers("ma-b-1", "lookup")
	return f
}

func customer(name string, rate, burst float64) config.Customer {
	return config.Customer{Rate: rate, Burst: burst, Keys: map[string]config.Key{
		"k": {SHA256: config.DigestOf("key-" + name).String()},
	}}
}

// runLoad sends an open-loop load to the fleet.
func (f *fleet) runLoad(l standin.Load) *standin.Report {
	l.Config = f.daemons["vt-a-1"].View().Config.Config
	l.EntryAddress = f.daemons["vt-a-1"].Identity().CallerAddress
	l.APIKey = func(customer string) string { return "key-" + customer }
	l.Seed = 1
	r, err := standin.Run(context.Background(), l)
	f.g.Expect(err).NotTo(HaveOccurred())
	return r
}

// hostEntry returns the lookup entry of a host.
func (f *fleet) hostEntry(name string) lookup.Entry {
	id := f.daemons[name].Identity()
	return lookup.Entry{Address: id.CallerAddress, Zone: id.Zone, Instance: id.Instance}
}

// skewedEntry returns a function that picks entry hosts: four fifths of the requests
// go to the host first until moveAt and to second afterwards, the rest to any host.
func (f *fleet) skewedEntry(first, second string, moveAt time.Duration) func(string, []lookup.Entry, time.Duration, *rand.Rand) lookup.Entry {
	return func(_ string, _ []lookup.Entry, since time.Duration, rng *rand.Rand) lookup.Entry {
		host := first
		if since > moveAt {
			host = second
		}
		if rng.Float64() < 0.2 {
			host = tenHosts[rng.IntN(len(tenHosts))]
		}
		return f.hostEntry(host)
	}
}

// wrongfulPercent returns the percentage of requests that were rejected although the
// customer was within its rate.
func wrongfulPercent(seconds []standin.SecondCounts) float64 {
	sent, wrongful := 0, 0
	for _, s := range seconds {
		sent += s.Sent
		wrongful += s.WrongfulRejections
	}
	return 100 * float64(wrongful) / float64(max(sent, 1))
}

// recoveredAfter returns the first second after which at most 0.5% of each second's
// requests were wrongfully rejected.
func recoveredAfter(seconds []standin.SecondCounts) int {
	for i := len(seconds) - 1; i >= 0; i-- {
		if wrongfulPercent(seconds[i:i+1]) > 0.5 {
			return i + 1
		}
	}
	return 0
}

// overshoot returns by how many requests a customer exceeded rate*t+burst in its
// worst window: the largest deficit of a token bucket that all arrivals draw from.
func (f *fleet) overshoot(name string, c config.Customer) float64 {
	var arrivedAt []time.Time
	for _, u := range f.upstreams {
		for _, a := range u.Arrivals() {
			if a.Customer == name {
				arrivedAt = append(arrivedAt, a.At)
			}
		}
	}
	slices.SortFunc(arrivedAt, time.Time.Compare)
	level, worst := c.Burst, 0.0
	for i, t := range arrivedAt {
		if i > 0 {
			level = min(c.Burst, level+c.Rate*t.Sub(arrivedAt[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

// TestMeasureSkew measures wrongful rejections while most of a customer's load
// arrives at one host and then moves to another.
func TestMeasureSkew(t *testing.T) {
	requireMeasureEnv(t)
	const move, length = 25 * time.Second, 40 * time.Second
	for _, tc := range []struct{ rate, burst float64 }{{200, 50}, {200, 10}, {20, 20}, {20, 5}} {
		t.Run(fmt.Sprintf("rate=%v burst=%v", tc.rate, tc.burst), func(t *testing.T) {
			f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", tc.rate, tc.burst)})
			r := f.runLoad(standin.Load{RateFraction: 0.9, Duration: length, ChooseEntry: f.skewedEntry("vt-a-1", "ma-a-1", move)})
			steady, moved := r.PerSecond[10:25], r.PerSecond[25:]
			t.Logf("wrongful rejections: seconds 10 to 25 %.2f%%, after the move %.2f%%, at most 0.5%% from %d s after it; p50 %v p99 %v; overshoot %.2f",
				wrongfulPercent(steady), wrongfulPercent(moved), recoveredAfter(moved), r.Quantile(50), r.Quantile(99),
				f.overshoot("farm", customer("", tc.rate, tc.burst)))
		})
	}
}

// TestMeasureEven measures wrongful rejections while eight customers send each
// request to a random host.
func TestMeasureEven(t *testing.T) {
	requireMeasureEnv(t)
	customers := map[string]config.Customer{}
	for i, rate := range []float64{200, 100, 60, 40, 40, 20, 20, 20} {
		name := fmt.Sprintf("c%d", i)
		customers[name] = customer(name, rate, rate/2)
	}
	f := startTenHosts(t, customers)
	r := f.runLoad(standin.Load{RateFraction: 0.9, Duration: 30 * time.Second})
	t.Logf("wrongful rejections after 10 s: %.2f%%; p50 %v p99 %v", wrongfulPercent(r.PerSecond[10:]), r.Quantile(50), r.Quantile(99))
	name, share := r.WorstServed()
	t.Logf("worst-served %s: %.1f%% of its requests ran", name, 100*share)
}

// TestMeasureOvershoot measures by how much a customer exceeds its rate when it
// sends five times that rate through all hosts and its traffic moves between them,
// while a daemon crashes, a zone is partitioned or the store is down.
func TestMeasureOvershoot(t *testing.T) {
	requireMeasureEnv(t)
	faults := map[string]func(f *fleet){
		"none":                 func(*fleet) {},
		"crash":                func(f *fleet) { f.kill("me-a-1") },
		"zone partitioned":     func(f *fleet) { f.partitionZone("ma-a") },
		"store down":           func(f *fleet) { f.platform.SetFaults(standin.Faults{Down: true}) },
		"crash and store down": func(f *fleet) { f.kill("me-a-1"); f.platform.SetFaults(standin.Faults{Down: true}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := startTenHosts(t, map[string]config.Customer{
				"hot": customer("hot", 100, 40), "calm": customer("calm", 100, 40),
			})
			timer := time.AfterFunc(10*time.Second, func() { fault(f) })
			defer timer.Stop()
			addresses := map[string]lookup.Entry{}
			for _, h := range tenHosts {
				addresses[h] = f.hostEntry(h)
			}
			pick := func(_ string, _ []lookup.Entry, since time.Duration, rng *rand.Rand) lookup.Entry {
				entryHost := tenHosts[int(since/(5*time.Second))%len(tenHosts)]
				if rng.Float64() < 0.5 {
					entryHost = tenHosts[rng.IntN(len(tenHosts))]
				}
				return addresses[entryHost]
			}
			r := f.runLoad(standin.Load{RateFraction: 0.8, CustomerRateFractions: map[string]float64{"hot": 5}, Duration: 30 * time.Second, ChooseEntry: pick})
			over := f.overshoot("hot", customer("", 100, 40))
			t.Logf("overshoot hot %.2f, calm %.2f; outcomes %v; %d of %d rejections wrongful", over, f.overshoot("calm", customer("", 100, 40)),
				r.Outcomes, r.WrongfulRejections, r.RateRejections)
			g.Expect(r.WrongResponses).To(BeZero())
		})
	}
}

// partitionZone disconnects a zone from all other zones and from the platform.
func (f *fleet) partitionZone(zone string) { f.forEachLink(zone, f.network.partition) }

func (f *fleet) healZone(zone string) { f.forEachLink(zone, f.network.heal) }

func (f *fleet) forEachLink(zone string, do func(a, b string)) {
	for _, inside := range tenHosts {
		if !strings.HasPrefix(inside, zone) {
			continue
		}
		do(inside, "platform")
		for _, outside := range tenHosts {
			if !strings.HasPrefix(outside, zone) {
				do(inside, outside)
			}
		}
	}
}

// TestMeasurePartitionedZone measures a zone under load that is disconnected from
// everything for half a minute.
func TestMeasurePartitionedZone(t *testing.T) {
	requireMeasureEnv(t)
	f := startTenHosts(t, map[string]config.Customer{"farm": customer("farm", 240, 120)})
	time.AfterFunc(10*time.Second, func() { f.partitionZone("vt-a") })
	time.AfterFunc(40*time.Second, func() { f.healZone("vt-a") })
	inside := func(_ string, _ []lookup.Entry, _ time.Duration, rng *rand.Rand) lookup.Entry {
		return f.hostEntry([]string{"vt-a-1", "vt-a-2"}[rng.IntN(2)])
	}
	// The zone's own share is a sixth of the rate; the load is four fifths of that share.
	r := f.runLoad(standin.Load{RateFraction: 0.8 / 6, Duration: 50 * time.Second, ChooseEntry: inside})
	t.Logf("sent %d, outcomes %v", r.Sent, r.Outcomes)
	version := f.daemons["vt-b-1"].View().Config
	t.Logf("overshoot %.2f; version %d", f.overshoot("farm", customer("", 240, 120)), version.Version)
}
