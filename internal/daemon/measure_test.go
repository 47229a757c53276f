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
// minutes, judge nothing that depends on the wall clock, and run only on
// request.

func measured(t *testing.T) {
	t.Helper()
	if os.Getenv("BALSAM_MEASURE") == "" {
		t.Skip("set BALSAM_MEASURE=1 to measure")
	}
}

// oneWay is the cooperative's delay between regions.
const oneWay = 35 * time.Millisecond

// tenHosts are the entry hosts of the cooperative, by zone.
var tenHosts = []string{
	"vt-a-1", "vt-a-2", "vt-b-1", "vt-b-2", "me-a-1", "me-a-2", "me-b-1", "ma-a-1", "ma-a-2", "ma-b-1",
}

func zoneOf(host string) string   { return host[:4] }
func regionOf(host string) string { return host[:2] }

// cooperative starts ten daemons over six zones at the brief's delays, with
// the customers given, and three upstreams of a lookup service in each zone.
func cooperative(t *testing.T, customers map[string]config.Customer) *fleet {
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
		return oneWay
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

// load is an open-loop load over a fleet.
func (f *fleet) load(l standin.Load) *standin.Report {
	l.Config = f.daemons["vt-a-1"].View().Config.Config
	l.EntryAddress = f.daemons["vt-a-1"].Identity().CallerAddress
	l.APIKey = func(customer string) string { return "key-" + customer }
	l.Seed = 1
	r, err := standin.Run(context.Background(), l)
	f.g.Expect(err).NotTo(HaveOccurred())
	return r
}

// host returns the entry of a host.
func (f *fleet) host(name string) lookup.Entry {
	id := f.daemons[name].Identity()
	return lookup.Entry{Address: id.CallerAddress, Zone: id.Zone, Instance: id.Instance}
}

// skewed sends four fifths of the requests to one host until move, then to
// another, and the rest to all.
func (f *fleet) skewed(first, second string, move time.Duration) func(string, []lookup.Entry, time.Duration, *rand.Rand) lookup.Entry {
	return func(_ string, _ []lookup.Entry, since time.Duration, rng *rand.Rand) lookup.Entry {
		host := first
		if since > move {
			host = second
		}
		if rng.Float64() < 0.2 {
			host = tenHosts[rng.IntN(len(tenHosts))]
		}
		return f.host(host)
	}
}

func wrongfulPart(seconds []standin.SecondCounts) float64 {
	sent, wrongful := 0, 0
	for _, s := range seconds {
		sent += s.Sent
		wrongful += s.WrongfulRejections
	}
	return 100 * float64(wrongful) / float64(max(sent, 1))
}

// calmAfter is the first second from which on no second is over 0.5%.
func calmAfter(seconds []standin.SecondCounts) int {
	for i := len(seconds) - 1; i >= 0; i-- {
		if wrongfulPart(seconds[i:i+1]) > 0.5 {
			return i + 1
		}
	}
	return 0
}

// overshoot is how many requests more than rate*t+burst the upstreams ran of
// a customer in any window: a bucket over all arrivals, how far below zero.
func (f *fleet) overshoot(name string, c config.Customer) float64 {
	var at []time.Time
	for _, u := range f.upstreams {
		for _, a := range u.Arrivals() {
			if a.Customer == name {
				at = append(at, a.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	level, worst := c.Burst, 0.0
	for i, t := range at {
		if i > 0 {
			level = min(c.Burst, level+c.Rate*t.Sub(at[i-1]).Seconds())
		}
		level--
		worst = max(worst, -level)
	}
	return worst
}

func TestMeasureSkew(t *testing.T) {
	measured(t)
	const move, length = 25 * time.Second, 40 * time.Second
	for _, tc := range []struct{ rate, burst float64 }{{200, 50}, {200, 10}, {20, 20}, {20, 5}} {
		t.Run(fmt.Sprintf("rate=%v burst=%v", tc.rate, tc.burst), func(t *testing.T) {
			f := cooperative(t, map[string]config.Customer{"farm": customer("farm", tc.rate, tc.burst)})
			r := f.load(standin.Load{RateFraction: 0.9, Duration: length, ChooseEntry: f.skewed("vt-a-1", "ma-a-1", move)})
			steady, moved := r.PerSecond[10:25], r.PerSecond[25:]
			t.Logf("wrongful refusals: seconds 10 to 25 %.2f%%, after the move %.2f%%, calm %d s after it; p50 %v p99 %v; overshoot %.2f",
				wrongfulPart(steady), wrongfulPart(moved), calmAfter(moved), r.Quantile(50), r.Quantile(99),
				f.overshoot("farm", customer("", tc.rate, tc.burst)))
		})
	}
}

func TestMeasureEven(t *testing.T) {
	measured(t)
	customers := map[string]config.Customer{}
	for i, rate := range []float64{200, 100, 60, 40, 40, 20, 20, 20} {
		name := fmt.Sprintf("c%d", i)
		customers[name] = customer(name, rate, rate/2)
	}
	f := cooperative(t, customers)
	r := f.load(standin.Load{RateFraction: 0.9, Duration: 30 * time.Second})
	t.Logf("wrongful refusals after 10 s: %.2f%%; p50 %v p99 %v", wrongfulPart(r.PerSecond[10:]), r.Quantile(50), r.Quantile(99))
	name, share := r.WorstServed()
	t.Logf("worst-served %s: %.1f%% of its requests ran", name, 100*share)
}

// One customer sends five times its rate through all hosts while others keep
// to theirs; its traffic moves, and a daemon is killed, or a zone is cut off.
func TestMeasureOvershoot(t *testing.T) {
	measured(t)
	faults := map[string]func(f *fleet){
		"none":          func(*fleet) {},
		"kill":          func(f *fleet) { f.kill("me-a-1") },
		"zone cut off":  func(f *fleet) { f.cutZone("ma-a") },
		"store down":    func(f *fleet) { f.platform.SetFaults(standin.Faults{Down: true}) },
		"kill and down": func(f *fleet) { f.kill("me-a-1"); f.platform.SetFaults(standin.Faults{Down: true}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := cooperative(t, map[string]config.Customer{
				"hot": customer("hot", 100, 40), "calm": customer("calm", 100, 40),
			})
			timer := time.AfterFunc(10*time.Second, func() { fault(f) })
			defer timer.Stop()
			addresses := map[string]lookup.Entry{}
			for _, h := range tenHosts {
				addresses[h] = f.host(h)
			}
			pick := func(_ string, _ []lookup.Entry, since time.Duration, rng *rand.Rand) lookup.Entry {
				near := tenHosts[int(since/(5*time.Second))%len(tenHosts)]
				if rng.Float64() < 0.5 {
					near = tenHosts[rng.IntN(len(tenHosts))]
				}
				return addresses[near]
			}
			r := f.load(standin.Load{RateFraction: 0.8, CustomerRateFractions: map[string]float64{"hot": 5}, Duration: 30 * time.Second, ChooseEntry: pick})
			over := f.overshoot("hot", customer("", 100, 40))
			t.Logf("overshoot hot %.2f, calm %.2f; outcomes %v; wrongful %d of %d refused", over, f.overshoot("calm", customer("", 100, 40)),
				r.Outcomes, r.WrongfulRejections, r.RateRejections)
			g.Expect(r.WrongResponses).To(BeZero())
		})
	}
}

// cutZone cuts a zone off from all other zones and the platform.
func (f *fleet) cutZone(zone string) { f.eachCut(zone, f.network.cut) }

func (f *fleet) healZone(zone string) { f.eachCut(zone, f.network.heal) }

func (f *fleet) eachCut(zone string, do func(a, b string)) {
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

// A zone is cut off from everything for half a minute under load.
func TestMeasureCutOffZone(t *testing.T) {
	measured(t)
	f := cooperative(t, map[string]config.Customer{"farm": customer("farm", 240, 120)})
	time.AfterFunc(10*time.Second, func() { f.cutZone("vt-a") })
	time.AfterFunc(40*time.Second, func() { f.healZone("vt-a") })
	inside := func(_ string, _ []lookup.Entry, _ time.Duration, rng *rand.Rand) lookup.Entry {
		return f.host([]string{"vt-a-1", "vt-a-2"}[rng.IntN(2)])
	}
	// A sixth of the rate is the zone's own share; it sends four fifths of it.
	r := f.load(standin.Load{RateFraction: 0.8 / 6, Duration: 50 * time.Second, ChooseEntry: inside})
	t.Logf("sent %d, outcomes %v", r.Sent, r.Outcomes)
	version := f.daemons["vt-b-1"].View().Config
	t.Logf("overshoot %.2f; version %d", f.overshoot("farm", customer("", 240, 120)), version.Version)
}
