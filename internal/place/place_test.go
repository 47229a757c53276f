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
	c, err := catalog.New(catalog.Declaration{Services: []catalog.Service{{Name: "s", ColdFor: 3 * time.Second, ColdRate: 6}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	table.SetCatalog(c)
	table.SetHosts([]place.Host{{Instance: "me", Zone: zone, Region: zones[zone]}})
	return table
}

func upstream(id, zone string) catalog.Upstream {
	return catalog.Upstream{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4, State: catalog.StateReady, Born: 1}
}

// full has four upstreams in each zone.
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

// ask places a request and answers it at once, three times as fast where the
// object is warm.
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

// Requests about one object go to one upstream, and most hosts of the region
// agree on it without having heard of each other.
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
	g.Expect(len(used)).To(BeNumerically(">=", 6), "objects are spread")
	// An answer of four kilobytes weighs as much as two thirds of a rank in
	// another zone, so some begin at the second in rank.
	g.Expect(moved).To(BeNumerically("<=", 9))
}

// What one host has warmed, another one uses: callers that moved to another
// region find their animals' histories where they are warm.
func TestWarmObjectsAreGossiped(t *testing.T) {
	g := NewWithT(t)
	one, far := newFullTable(t, "a1"), newFullTable(t, "b1")
	homes := map[string]string{}
	for i := range 40 {
		homes[fmt.Sprint(i)] = placeAndFinish(t, one, start, query(fmt.Sprint(i))).ID
	}
	var news []uint64
	for _, n := range one.WarmReports(start) {
		news = append(news, uint64(n))
	}
	g.Expect(news).To(HaveLen(40))
	g.Expect(one.WarmReports(start.Add(time.Second))).To(BeEmpty(), "each fact is told once")
	far.ApplyWarmReports(start, news)
	g.Expect(far.WarmReports(start)).To(BeEmpty(), "and not told on")
	for object, home := range homes {
		g.Expect(placeAndFinish(t, far, start, query(object)).ID).To(Equal(home))
	}
}

// Upstreams that are draining, evacuated or outside the homes of a request get
// nothing, and where there is no other the request is refused with the reason.
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
		{"home in b", func(*place.Table) {}, func(q *place.Query) { q.RegionRestricted, q.AllowedRegions = true, []string{"b"} }, "", []string{"b1", "b2"}},
		{"homes that exclude each other", func(*place.Table) {}, func(q *place.Query) { q.RegionRestricted = true }, place.NotRegistered, nil},
		{"service unknown", func(*place.Table) {}, func(q *place.Query) { q.Service = "none" }, place.NotRegistered, nil},
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
					tb.RemoveUpstream(fmt.Sprintf("%s-%d", z, i))
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

// A zone comes back cold. Ten hosts that all send to its upstreams would crash
// them again; only one of them may, at the pace that the upstreams bear.
func TestColdUpstreamsAreRateLimited(t *testing.T) {
	g := NewWithT(t)
	var hosts []place.Host
	for i := range 10 {
		zone := []string{"a1", "a2", "b1", "b2"}[i%4]
		hosts = append(hosts, place.Host{Instance: fmt.Sprint("h", i), Zone: zone, Region: zones[zone]})
	}
	c, err := catalog.New(catalog.Declaration{Services: []catalog.Service{{Name: "s", ColdFor: 3 * time.Second, ColdRate: 6}}})
	g.Expect(err).NotTo(HaveOccurred())
	sent := 0
	for _, h := range hosts {
		table := place.NewTable(h, zones)
		table.SetCatalog(c)
		table.SetHosts(hosts)
		u := upstream("cold", "a1")
		u.ColdFor = 3 * time.Second
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

// A worker crashed and is back under the same id, cold, before its new entry is
// heard. Hosts that could not reach it must not all return to it at once.
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
	g.Expect(err).To(HaveOccurred(), "in doubt: its zone's host tries first")
	table.PutUpstream(later, upstream("x", "b1"))
	_, err = table.Choose(later, query("1"))
	g.Expect(err).NotTo(HaveOccurred(), "its heartbeat says that it lives and is warm")
}

// An upstream fails half of its requests, though its health is good. It must
// lose its traffic, and get it back when it has recovered.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	sick := placeAndFinish(t, table, start, query("1")).ID
	now := start
	sent := 0
	for i := range 300 {
		now = now.Add(20 * time.Millisecond)
		c, err := table.Choose(now, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		result := place.Succeeded
		if c.ID == sick {
			sent++
			if i%2 == 0 {
				result = place.Failed
			}
		}
		table.Done(now, c, place.Report{Result: result, TimeToHeader: 100 * time.Millisecond})
	}
	g.Expect(sent).To(BeNumerically("<", 100))
}

// All slots and queues of an object's upstream are full. What would wait for
// longer than it may is refused at once, with the wait, and the more urgent of
// two kinds of request is refused later.
func TestFullUpstreamsRefuse(t *testing.T) {
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

// The answers of an upstream say that others have filled it. A host that has no
// request there itself must go by that.
func TestLoadOfOthersCounts(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	first, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, first, place.Report{
		Result: place.Shed, HasLoad: true, Load: traffic.Load{Running: 4, Waiting: 12, Slots: 4},
	})
	g.Expect(placeAndFinish(t, table, start, query("1")).ID).NotTo(Equal(first.ID))
}

// An upstream counts the request that it answers among those that run. Counted once
// more by the host, every upstream seems to hold a request that nobody sent, and
// requests go to cold ones while the warm one is idle.
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

// Callers of a region multiply from one second to the next, and its own
// upstreams are full. The part of the requests that runs in the other region may
// grow by steps only.
func TestRegionShareGrowthIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	table.SetMaxRegionShift(0.15)
	now := start
	// A table whose object has homes in both regions and little load.
	share := func(perSecond int, hold time.Duration) float64 {
		type open struct {
			until time.Time
			c     place.Choice
		}
		var running []open
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
			running = append(running, open{now.Add(hold), c})
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

// An animal's history and its summary are asked for with the same key, on two
// routes. Callers saw one summary in eight take three times as long as usual: it
// was sent to the upstream that had the history warm, and that has its own work
// for each of the two. What one route has warmed says nothing about the other.
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

// Parents in one region top up at an upstream two hundred milliseconds away, and
// the first connection there takes as long again. How far the region is must be
// learned from that: otherwise small answers wait for the way there although an
// upstream of their own region would have served them in time. The time of the
// connection must not count as work.
func TestDistanceIsLearnedFromConnections(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	const way, work = 200 * time.Millisecond, 100 * time.Millisecond
	table.PutUpstream(start, upstream("far", "b1"))
	for i := range 30 {
		c, err := table.Choose(start, query("1"))
		g.Expect(err).NotTo(HaveOccurred())
		report := place.Report{Result: place.Succeeded, TimeToHeader: way + work, ResponseBytes: 1000}
		if i%3 == 0 {
			report.ConnectTime = way
			report.TimeToHeader += way
		}
		table.Done(start, c, report)
	}
	c, err := table.Choose(start, query("1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ExpectedLatency).To(BeNumerically("~", way+work, 20*time.Millisecond))
}

// A sale begins: many callers ask for the same cold animals at once. While the
// first request about an animal is still at work, its upstream grows busy with
// others, and the next request would warm the animal at a second one: each object
// took the cold time 1.5 times, just when all upstreams were full. The upstream
// that was asked first is the warm one from then on.
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
	t.Logf("upstreams for each object: %.2f", float64(sum)/30)
	g.Expect(sum).To(BeNumerically("<=", 32))
}

// The upstream that an object was sent to first refuses it, cannot be reached or
// is another one. It has warmed nothing.
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

// The second request about an object is refused where the first one was served.
// The object stays warm there.
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

// Objects are warm and their upstreams idle when another upstream joins. It must get
// a few of the objects while nobody needs it, and no more.
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
	g.Expect(round()).To(BeZero(), "the usual choice comes first")
	table.PutUpstream(now, upstream("a1-new", "a1"))
	got := 0
	for range 3 {
		got += round()
	}
	g.Expect(got).To(BeNumerically(">=", 2))
	g.Expect(got).To(BeNumerically("<=", 6), "one object moved")
}

// A service whose upstreams gain nothing from affinity. An object must not wait at
// the one that had it last while others are idle.
func TestNoAffinityWithoutGain(t *testing.T) {
	wait := func(cold time.Duration, told bool) time.Duration {
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
			table.Done(now, c, place.Report{Result: place.Succeeded, TimeToHeader: took, ResponseBytes: 1000, HasLoad: told, Load: load})
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
	g.Expect(wait(300*time.Millisecond, true)).To(BeZero(), "16 upstreams of 4 slots")
	g.Expect(wait(900*time.Millisecond, true)).To(BeNumerically(">", 0), "affinity is worth a wait")
	g.Expect(wait(300*time.Millisecond, false)).To(BeNumerically(">", 0), "what looks like no gain may be waits")
}
