package place_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

var zones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

var start = time.Unix(1000, 0)

func newTable(t *testing.T, zone string) *place.Table {
	table := place.NewTable(place.Host{Instance: "me", Zone: zone, Region: zones[zone]}, zones)
	c, err := catalog.New(catalog.Declaration{Services: []catalog.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRate: 6}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	table.SetCatalog(c)
	table.SetHosts([]place.Host{{Instance: "me", Zone: zone, Region: zones[zone]}})
	return table
}

func upstream(id, zone string) catalog.Upstream {
	return catalog.Upstream{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4, State: catalog.StateReady, StartedMs: 1}
}

// newFullTable returns a table with four upstreams in each zone.
func newFullTable(t *testing.T, zone string) *place.Table {
	table := newTable(t, zone)
	for _, z := range []string{"a1", "a2", "b1", "b2"} {
		for i := range 4 {
			table.PutUpstream(start, upstream(fmt.Sprintf("%s-%d", z, i), z))
		}
	}
	return table
}

func query(object string) place.Query {
	return place.Query{Service: "s", Route: "r", Object: object, Target: 500 * time.Millisecond, Remaining: 2 * time.Second}
}

// placeAndFinish places a request and completes it at once. The service time is three
// times as long where the object is cold.
func placeAndFinish(t *testing.T, table *place.Table, now time.Time, q place.Query) place.Choice {
	c, err := table.Choose(now, q)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	took := 900 * time.Millisecond
	if c.Warm {
		took = 300 * time.Millisecond
	}
	table.Done(now, c, place.Report{Result: place.Succeeded, TimeToHeader: took, ResponseBytes: 1000})
	return c
}

// Requests about one object must go to one upstream, and most hosts of the region must
// select the same one without communication.
func TestObjectsKeepTheirUpstream(t *testing.T) {
	g := NewWithT(t)
	one, other := newFullTable(t, "a1"), newFullTable(t, "a2")
	used := map[string]bool{}
	moved := 0
	for i := range 60 {
		object := fmt.Sprint(i)
		first := placeAndFinish(t, one, start, query(object))
		used[first.ID] = true
		g.Expect(placeAndFinish(t, one, start, query(object)).ID).To(Equal(first.ID))
		if placeAndFinish(t, other, start, query(object)).ID != first.ID {
			moved++
		}
	}
	g.Expect(len(used)).To(BeNumerically(">=", 6), "objects are spread over upstreams")
	// Transferring a response of 4 kB to another zone costs as much as two thirds of a
	// rank, so some objects start at the second-ranked upstream.
	g.Expect(moved).To(BeNumerically("<=", 9))
}

// Guards against repeated cold work for callers that move to another region: hosts
// there must use the upstreams where the objects are already warm.
func TestWarmObjectsAreGossiped(t *testing.T) {
	g := NewWithT(t)
	one, far := newFullTable(t, "a1"), newFullTable(t, "b1")
	homes := map[string]string{}
	for i := range 40 {
		homes[fmt.Sprint(i)] = placeAndFinish(t, one, start, query(fmt.Sprint(i))).ID
	}
	var reports []uint64
	for _, n := range one.WarmReports(start) {
		reports = append(reports, uint64(n))
	}
	g.Expect(reports).To(HaveLen(40))
	g.Expect(one.WarmReports(start.Add(time.Second))).To(BeEmpty(), "each fact is reported once")
	far.ApplyWarmReports(start, reports)
	g.Expect(far.WarmReports(start)).To(BeEmpty(), "received reports are not forwarded")
	for object, home := range homes {
		g.Expect(placeAndFinish(t, far, start, query(object)).ID).To(Equal(home))
	}
}

// Draining or evacuated upstreams and those outside the allowed regions must receive no
// requests. If there is no other upstream, the request is rejected with the reason.
func TestClosedUpstreamsReceiveNoRequests(t *testing.T) {
	cases := []struct {
		name   string
		change func(*place.Table)
		query  func(*place.Query)
		reason place.Reason
		zones  []string
	}{
		{"zone evacuated", func(tb *place.Table) { tb.SetEvacuatedZones(start, map[string]bool{"a1": true}) }, nil, "", []string{"a2", "b1", "b2"}},
		{"all evacuated", func(tb *place.Table) {
			tb.SetEvacuatedZones(start, map[string]bool{"a1": true, "a2": true, "b1": true, "b2": true})
		}, nil, place.AllClosed, nil},
		{"restricted to region b", func(*place.Table) {}, func(q *place.Query) { q.RegionRestricted, q.AllowedRegions = true, []string{"b"} }, "", []string{"b1", "b2"}},
		{"no allowed region", func(*place.Table) {}, func(q *place.Query) { q.RegionRestricted = true }, place.NotRegistered, nil},
		{"unknown service", func(*place.Table) {}, func(q *place.Query) { q.Service = "none" }, place.NotRegistered, nil},
		{"draining", func(tb *place.Table) {
			for _, z := range []string{"a1", "a2", "b1"} {
				for i := range 4 {
					u := upstream(fmt.Sprintf("%s-%d", z, i), z)
					u.State = catalog.StateDraining
					tb.PutUpstream(start, u)
				}
			}
		}, nil, "", []string{"b2"}},
		{"removed", func(tb *place.Table) {
			for _, z := range []string{"a1", "a2", "b2"} {
				for i := range 4 {
					tb.RemoveUpstream(start, fmt.Sprintf("%s-%d", z, i))
				}
			}
		}, nil, "", []string{"b1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newFullTable(t, "a1")
			c.change(table)
			for i := range 20 {
				q := query(fmt.Sprint(i))
				if c.query != nil {
					c.query(&q)
				}
				choice, err := table.Choose(start, q)
				if c.reason != "" {
					var none *place.NoUpstreamError
					g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
					g.Expect(none.Reason).To(Equal(c.reason))
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.zones).To(ContainElement(choice.Zone))
			}
		})
	}
}

// A zone returns from an evacuation with cold upstreams. They would crash if ten hosts
// all sent to them, so only one host may, at the rate that cold upstreams can take.
func TestColdUpstreamsAreRateLimited(t *testing.T) {
	g := NewWithT(t)
	var hosts []place.Host
	for i := range 10 {
		zone := []string{"a1", "a2", "b1", "b2"}[i%4]
		hosts = append(hosts, place.Host{Instance: fmt.Sprint("h", i), Zone: zone, Region: zones[zone]})
	}
	c, err := catalog.New(catalog.Declaration{Services: []catalog.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRate: 6}}})
	g.Expect(err).NotTo(HaveOccurred())
	sent := 0
	for _, h := range hosts {
		table := place.NewTable(h, zones)
		table.SetCatalog(c)
		table.SetHosts(hosts)
		u := upstream("cold", "a1")
		u.ColdRemaining = 3 * time.Second
		table.PutUpstream(start, u)
		for ms := range 3000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if choice, err := table.Choose(now, query(fmt.Sprint(ms))); err == nil {
				sent++
				table.Done(now, choice, place.Report{Result: place.Succeeded})
			}
		}
		_, err := table.Choose(start.Add(3*time.Second), query("x"))
		g.Expect(err).NotTo(HaveOccurred(), "warm again")
	}
	g.Expect(sent).To(BeNumerically(">=", 12))
	g.Expect(sent).To(BeNumerically("<=", 3*6+2))
}

// An upstream crashes and restarts under the same ID, cold, before its new registration
// arrives. Hosts that could not reach it must not all return to it at once.
func TestUnreachableUpstreamCountsAsCold(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	other := place.Host{Instance: "zone-mate", Zone: "b1", Region: "b"}
	table.SetHosts([]place.Host{other})
	table.PutUpstream(start, upstream("x", "b1"))
	c, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, c, place.Report{Result: place.Unreachable})
	later := start.Add(2 * time.Second)
	_, err = table.Choose(later, query("1"))
	g.Expect(err).To(HaveOccurred(), "may be cold: only the sender of its zone may try")
	table.PutUpstream(later, upstream("x", "b1"))
	_, err = table.Choose(later, query("1"))
	g.Expect(err).NotTo(HaveOccurred(), "the registration shows that it is alive and warm")
}

// An upstream that fails half of its requests while its health check passes must lose
// most of its traffic.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	failing := placeAndFinish(t, table, start, query("1")).ID
	now := start
	sent := 0
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		c, err := table.Choose(now, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		result := place.Succeeded
		if c.ID == failing {
			sent++
			if i%2 == 0 {
				result = place.Failed
			}
		}
		table.Done(now, c, place.Report{Result: result, TimeToHeader: 100 * time.Millisecond})
	}
	g.Expect(sent).To(BeNumerically("<", 100))
}

// All slots and queues of an object's upstream are full. Requests whose queueing delay
// exceeds the limit must be rejected at once with the expected delay, and more requests
// of the more urgent priority must be admitted.
func TestFullUpstreamsRejectRequests(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	table.PutUpstream(start, upstream("x", "a1"))
	admitted := map[int]int{}
	for i := range 400 {
		q := query("1")
		q.Priority = i % 2
		if _, err := table.Choose(start, q); err == nil {
			admitted[q.Priority]++
			continue
		} else {
			var full *place.QueueLimitError
			g.Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
			g.Expect(full.ExpectedQueueing).To(BeNumerically(">", full.Limit))
		}
	}
	g.Expect(admitted[0]).To(BeNumerically(">", admitted[1]))
	g.Expect(admitted[0] + admitted[1]).To(BeNumerically("<", 100))
}

// The load report of an upstream shows that other hosts have filled it. A host with no
// requests in flight there must respect the report.
func TestLoadOfOtherHostsCounts(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	first, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, first, place.Report{
		Result: place.Shed, HasLoad: true, Load: traffic.Load{Running: 4, Waiting: 12, Slots: 4},
	})
	g.Expect(placeAndFinish(t, table, start, query("1")).ID).NotTo(Equal(first.ID))
}

// Guards against hosts that start together and fill the same upstreams, because no response has told
// them yet how many requests the others send.
func TestLoadOfOtherHostsIsAssumedUntilItIsReported(t *testing.T) {
	for _, hosts := range []int{1, 4} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			table := newTable(t, "a1")
			ready := []place.Host{{Instance: "me", Zone: "a1", Region: "a"}}
			for i := range hosts - 1 {
				ready = append(ready, place.Host{Instance: fmt.Sprint("host-", i), Zone: "a1", Region: "a"})
			}
			table.SetHosts(ready)
			const upstreams, slots, requests = 4, 4, 8
			for i := range upstreams {
				table.PutUpstream(start, upstream(fmt.Sprint("u", i), "a1"))
			}
			var choices []place.Choice
			for range requests {
				c, err := table.Choose(start, query(""))
				g.Expect(err).NotTo(HaveOccurred())
				choices = append(choices, c)
			}
			full := hosts*requests > upstreams*slots
			g.Expect(choices[requests-1].ExpectedQueueing > 0).To(Equal(full))
			for _, c := range choices {
				table.Done(start, c, place.Report{Result: place.Succeeded, HasLoad: true, Load: traffic.Load{Running: 1, Slots: slots}})
			}
			c, err := table.Choose(start, query(""))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.ExpectedQueueing).To(BeZero(), "the others send nothing")
		})
	}
}

// The load report counts the request that it was received with. If the host counted the
// request again, every upstream would seem to have a request that was not sent, and
// requests would go to cold upstreams while the warm one is idle.
func TestAnsweredRequestIsNotCountedTwice(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	u := upstream("x", "a1")
	u.Slots = 1
	table.PutUpstream(start, u)
	c, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, c, place.Report{Result: place.Succeeded, HasLoad: true, Load: traffic.Load{Running: 1, Slots: 1}})
	next, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.ExpectedQueueing).To(BeZero())
}

// Callers of a region multiply from one second to the next, and its own upstreams are
// full. The share of requests that run in the other region may grow only by a bounded
// part per window.
func TestRegionShareGrowthIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	table.SetMaxRegionShift(0.15)
	now := start
	// share sends requests for two seconds and returns the part placed in the other region.
	share := func(perSecond int, hold time.Duration) float64 {
		type runningRequest struct {
			until time.Time
			c     place.Choice
		}
		var running []runningRequest
		far, all := 0, 0
		for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
			for len(running) > 0 && !running[0].until.After(now) {
				table.Done(now, running[0].c, place.Report{Result: place.Succeeded, TimeToHeader: 100 * time.Millisecond})
				running = running[1:]
			}
			c, err := table.Choose(now, query(fmt.Sprint(all%50)))
			if err != nil {
				continue
			}
			running = append(running, runningRequest{now.Add(hold), c})
			all++
			if c.Region != "a" {
				far++
			}
		}
		return float64(far) / float64(all)
	}
	before := share(50, 50*time.Millisecond)
	after := share(400, 100*time.Millisecond)
	g.Expect(after - before).To(BeNumerically("<=", 0.15))
}

func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{16, 120, 650, 1080, 2300} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) { benchmarkChoose(b, upstreams) })
	}
}

func benchmarkChoose(b *testing.B, upstreams int) {
	table := place.NewTable(place.Host{Instance: "me", Zone: "a1", Region: "a"}, zones)
	for i := range upstreams {
		zone := []string{"a1", "a2", "b1", "b2"}[i%4]
		table.PutUpstream(start, upstream(fmt.Sprint("u", i), zone))
	}
	objects := make([]string, max(64, upstreams))
	for i := range objects {
		objects[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c, err := table.Choose(now, query(objects[i%len(objects)]))
		if err != nil {
			b.Fatal(err)
		}
		table.Done(now, c, place.Report{Result: place.Succeeded, TimeToHeader: 100 * time.Millisecond, ResponseBytes: 1000})
	}
}

// An animal's history and its summary are requested with the same key on two routes.
// Guards against counting an object as warm for both: one summary in eight took three
// times the usual time, because it was sent to the upstream that was warm for the
// history, although the work of the two routes is separate.
func TestRoutesAreWarmedSeparately(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	history, summary := query("7"), query("7")
	summary.Route = "other"
	g.Expect(placeAndFinish(t, table, start, history).Warm).To(BeFalse())
	g.Expect(placeAndFinish(t, table, start, history).Warm).To(BeTrue())
	g.Expect(placeAndFinish(t, table, start, summary).Warm).To(BeFalse())
	g.Expect(placeAndFinish(t, table, start, summary).Warm).To(BeTrue())
}

// The round-trip time to another region, here 200 ms, must be learned from the time to
// connect, which takes one round trip. Otherwise requests with small responses are sent
// to the other region although an upstream of their own region would serve them on time.
// Connection time must not count as service time.
func TestRoundTripIsLearnedFromConnections(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	const roundTrip, work = 200 * time.Millisecond, 100 * time.Millisecond
	table.PutUpstream(start, upstream("far", "b1"))
	for i := range 30 {
		c, err := table.Choose(start, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		report := place.Report{Result: place.Succeeded, TimeToHeader: roundTrip + work, ResponseBytes: 1000}
		if i%3 == 0 {
			report.ConnectTime = roundTrip
			report.TimeToHeader += roundTrip
		}
		table.Done(start, c, report)
	}
	c, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ExpectedLatency).To(BeNumerically("~", roundTrip+work, 20*time.Millisecond))
}

// Many callers request the same cold objects at once. While the first request about an
// object runs, its upstream becomes busy with others, and the next request would warm
// the object at a second one. On average, each object was warmed 1.5 times, just when
// all upstreams were full. The first upstream must count as warm from the first request.
func TestColdObjectIsWarmedAtOneUpstream(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	used := map[string]map[string]bool{}
	for i := range 120 {
		object := fmt.Sprint(i % 30)
		c, err := table.Choose(start.Add(time.Duration(i)*4*time.Millisecond), query(object))
		g.Expect(err).NotTo(HaveOccurred())
		if used[object] == nil {
			used[object] = map[string]bool{}
		}
		used[object][c.ID] = true
	}
	sum := 0
	for _, upstreams := range used {
		sum += len(upstreams)
	}
	t.Logf("upstreams per object: %.2f", float64(sum)/30)
	g.Expect(sum).To(BeNumerically("<=", 32))
}

// The first upstream of an object sheds the request, is unreachable or is misdirected.
// The object must not count as warm there.
func TestUnservedRequestWarmsNothing(t *testing.T) {
	for _, result := range []place.Result{place.Shed, place.Unreachable, place.Misdirected} {
		g := NewWithT(t)
		table := newTable(t, "a1")
		table.PutUpstream(start, upstream("x", "a1"))
		c, err := table.Choose(start, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		table.Done(start, c, place.Report{Result: result})
		later := start.Add(6 * time.Second)
		c, err = table.Choose(later, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.Warm).To(BeFalse())
	}
}

// An upstream that has served an object sheds a second request about it. The object must
// still count as warm there.
func TestShedRequestKeepsObjectWarm(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	table.PutUpstream(start, upstream("x", "a1"))
	placeAndFinish(t, table, start, query("1"))
	c, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, c, place.Report{Result: place.Shed})
	g.Expect(placeAndFinish(t, table, start, query("1")).Warm).To(BeTrue())
}

// A new upstream joins while all objects are warm and their upstreams idle. It must
// receive a few objects before its capacity is needed, and no more than that.
func TestNewUpstreamReceivesFirstObjects(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	now := start
	round := func() int {
		got := 0
		for i := range 60 {
			now = now.Add(20 * time.Millisecond)
			if placeAndFinish(t, table, now, query(fmt.Sprint(i))).ID == "a1-new" {
				got++
			}
		}
		return got
	}
	for range 3 {
		round()
	}
	table.PutUpstream(now, upstream("a1-new", "a1"))
	g.Expect(round()).To(BeZero(), "no objects before the join delay")
	table.PutUpstream(now, upstream("a1-new", "a1"))
	got := 0
	for range 3 {
		got += round()
	}
	g.Expect(got).To(BeNumerically(">=", 2))
	g.Expect(got).To(BeNumerically("<=", 6), "few objects moved")
}

// A service gains nothing from affinity. Requests about an object must not queue at the
// upstream that served it last while others are idle.
func TestNoAffinityWithoutGain(t *testing.T) {
	longestQueueing := func(cold time.Duration, hasLoad bool) time.Duration {
		g := NewWithT(t)
		table := newFullTable(t, "a1")
		now := start
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			c, err := table.Choose(now, query(fmt.Sprint(i%60)))
			g.Expect(err).NotTo(HaveOccurred())
			took := cold
			if c.Warm {
				took = 300 * time.Millisecond
			}
			load := traffic.Load{Running: 1, Slots: 4}
			table.Done(now, c, place.Report{Result: place.Succeeded, TimeToHeader: took, ResponseBytes: 1000, HasLoad: hasLoad, Load: load})
		}
		longest := time.Duration(0)
		for range 30 {
			c, err := table.Choose(now, query("0"))
			g.Expect(err).NotTo(HaveOccurred())
			longest = max(longest, c.ExpectedQueueing)
		}
		return longest
	}
	g := NewWithT(t)
	g.Expect(longestQueueing(300*time.Millisecond, true)).To(BeZero(), "16 upstreams of 4 slots")
	g.Expect(longestQueueing(900*time.Millisecond, true)).To(BeNumerically(">", 0), "affinity justifies queueing")
	g.Expect(longestQueueing(300*time.Millisecond, false)).To(BeNumerically(">", 0), "without load reports, equal times may include queueing")
}

// Guards against a request that is refused because all upstreams are to be avoided, or sent to one that is although there are others.
func TestAvoidedUpstreamsAreSelectedLast(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := place.NewTable(place.Host{Instance: "h", Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
	query := place.Query{Service: "s", Route: "r", Target: 4 * time.Second, Remaining: 4 * time.Second}
	for i := range 3 {
		table.PutUpstream(now, catalog.Upstream{ID: fmt.Sprint("u-", i), Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady})
	}
	seen := map[string]bool{}
	for range 3 {
		c, err := table.Choose(now, query)
		g.Expect(err).NotTo(HaveOccurred())
		table.Done(now, c, place.Report{Result: place.Canceled})
		g.Expect(seen).NotTo(HaveKey(c.ID))
		seen[c.ID] = true
		_, instance := table.Instance(c)
		query.Avoided = append(query.Avoided, instance)
	}
	c, err := table.Choose(now, query)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seen).To(HaveKey(c.ID))
}
