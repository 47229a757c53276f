package steer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/membership"
	"balsambarrow/internal/steer"
)

var start = time.UnixMilli(1_700_000_000_000)

// threeRegions has two zones in each of three regions.
func threeRegions() *config.Config {
	c := &config.Config{
		Regions:   map[string]config.Region{"vt": {}, "me": {}, "ma": {}},
		Zones:     map[string]config.Zone{},
		Links:     map[string]config.Link{},
		Services:  map[string]config.Service{"lookup": {ShiftCapPerSecond: 50}},
		Customers: map[string]config.Customer{"farm": {}},
	}
	for from := range c.Regions {
		for to := range c.Regions {
			c.Links[from+to] = config.Link{From: from, To: to, BitsPerSecond: 1e6}
		}
	}
	for r := range c.Regions {
		c.Zones[r+"-a"] = config.Zone{Region: r, Slots: 4, Weight: 1}
		c.Zones[r+"-b"] = config.Zone{Region: r, Slots: 4, Weight: 1}
	}
	return c
}

func member(zone string, room membership.Headroom) membership.Member {
	return membership.Member{
		Instance: "i-" + zone, Zone: zone, State: membership.StateReady, Sequence: 1,
		Headroom: map[string]membership.Headroom{"lookup": room},
	}
}

// nobody is an assignment without handlers: only advertised headroom counts.
type nobody struct{}

func (nobody) Slots(string, string) int { return 0 }

var roomy = membership.Headroom{Free: 10, Limit: 10}

func everyZone(c *config.Config, room membership.Headroom) []membership.Member {
	var ms []membership.Member
	for z := range c.Zones {
		ms = append(ms, member(z, room))
	}
	return ms
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func choose(c *config.Config, ms []membership.Member, r steer.Request, now time.Time) []steer.Target {
	return steer.NewBuilder("vt-a").Build(config.NewActive(1, c), ms, nobody{}, now).Choose(r, now, rng())
}

func zones(ts []steer.Target) []string {
	var zs []string
	for _, t := range ts {
		zs = append(zs, t.Handler.Member.Zone)
	}
	return zs
}

func TestOrder(t *testing.T) {
	r := steer.Request{Service: "lookup", Customer: "farm", HashKey: "/animal/7"}
	drain := func(kind config.DrainKind, target string) func(*config.Config) {
		return func(c *config.Config) {
			c.Drains = map[string]config.Drain{"d": {Kind: kind, Target: target}}
		}
	}
	for name, tc := range map[string]struct {
		change func(*config.Config)
		gone   map[string]bool
		want   []string
	}{
		"own zone, then own region, then another": {want: []string{"vt-a", "vt-b", "m*"}},
		"own zone has no handler":                 {gone: map[string]bool{"vt-a": true}, want: []string{"vt-b", "m*", "m*"}},
		"own region is lost":                      {gone: map[string]bool{"vt-a": true, "vt-b": true}, want: []string{"m*", "m*"}},
		"own zone is drained":                     {change: drain(config.DrainZone, "vt-a"), want: []string{"vt-b", "vt-a", "m*"}},
		"own region is drained":                   {change: drain(config.DrainRegion, "vt"), want: []string{"m*", "vt-a", "m*"}},
		"another region is drained":               {change: drain(config.DrainRegion, "me"), want: []string{"vt-a", "vt-b", "ma*"}},
		"the service may not leave": {change: func(c *config.Config) {
			c.Services["lookup"] = config.Service{Regions: []string{"vt"}}
		}, want: []string{"vt-a", "vt-b"}},
		"the customer may not be served at home": {change: func(c *config.Config) {
			c.Customers["farm"] = config.Customer{Regions: []string{"ma"}}
		}, want: []string{"ma*"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := threeRegions()
			if tc.change != nil {
				tc.change(c)
			}
			var ms []membership.Member
			for _, m := range everyZone(c, roomy) {
				if !tc.gone[m.Zone] {
					ms = append(ms, m)
				}
			}
			got := zones(choose(c, ms, r, start))
			g.Expect(got).To(HaveLen(len(tc.want)), "%v", got)
			for i, want := range tc.want {
				if prefix, any := cutStar(want); any {
					g.Expect(got[i]).To(HavePrefix(prefix))
					continue
				}
				g.Expect(got[i]).To(Equal(want))
			}
		})
	}
}

func cutStar(s string) (string, bool) {
	if s[len(s)-1] == '*' {
		return s[:len(s)-1], true
	}
	return s, false
}

func TestEveryTargetElsewhereBearsItsCaps(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	c.Drains = map[string]config.Drain{"d": {Kind: config.DrainRegion, Target: "vt", CapPerSecond: 5}}
	ts := choose(c, everyZone(c, roomy), steer.Request{Service: "lookup", Customer: "farm", SizeBytes: 100}, start)
	for _, target := range ts {
		region := c.Zones[target.Handler.Member.Zone].Region
		if region == "vt" {
			g.Expect(target.ShiftQuota).To(BeEmpty())
			continue
		}
		g.Expect(target.ShiftQuota).To(Equal("shift/lookup/vt/" + region))
		g.Expect(target.LinkQuota).To(Equal("link/vt/" + region))
		g.Expect(target.LinkBits).To(Equal(800.0))
	}
	g.Expect(ts[0].DrainQuota).To(Equal("drain/region/vt"))
}

// Operators move half of a service's traffic. The part that starts elsewhere
// follows the ramp, and each request keeps to its side once it has moved, so
// that the caches there warm instead of meeting all keys.
func TestMoveFollowsItsRampAndKeepsKeysTogether(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	c.Moves = map[string]config.Move{"m": {
		Service: "lookup", From: "vt", To: "me", Share: 0.5, CapPerSecond: 10, RampSeconds: 100, StartUnixMs: start.UnixMilli(),
	}}
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), everyZone(c, roomy), nobody{}, start)
	const keys = 2000
	movedBefore := map[string]bool{}
	for _, step := range []struct {
		after time.Duration
		want  float64
	}{{0, 0}, {20 * time.Second, 0.1}, {60 * time.Second, 0.3}, {200 * time.Second, 0.5}} {
		moved := 0
		for k := range keys {
			r := steer.Request{Service: "lookup", Customer: "farm", HashKey: fmt.Sprint("/", k)}
			away := table.Choose(r, start.Add(step.after), rng())[0].ShiftQuota != ""
			if away {
				moved++
			}
			g.Expect(movedBefore[r.HashKey] && !away).To(BeFalse(), "key %s came back", r.HashKey)
			movedBefore[r.HashKey] = away
		}
		g.Expect(float64(moved) / keys).To(BeNumerically("~", step.want, 0.03))
	}
}

// A handler's headroom is half a second old. What was sent to it since counts
// against it, so that one host does not pour into the same handler.
func TestSentRequestsCountAgainstHeadroom(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	two := []membership.Member{member("vt-a", membership.Headroom{Free: 6, Limit: 10}), member("vt-a", membership.Headroom{Free: 4, Limit: 10})}
	two[1].Instance = "other"
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), two, nobody{}, start)
	random, sent := rng(), map[string]int{}
	for range 10 {
		target := table.Choose(steer.Request{Service: "lookup", Customer: "farm"}, start, random)[0]
		target.RecordSent()
		sent[target.Handler.Member.Instance]++
	}
	g.Expect(sent).To(Equal(map[string]int{"i-vt-a": 6, "other": 4}))
}

func BenchmarkChoose(b *testing.B) {
	c := threeRegions()
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), everyZone(c, roomy), nobody{}, start)
	random := rng()
	b.ReportAllocs()
	for b.Loop() {
		table.Choose(steer.Request{Service: "lookup", Customer: "farm", HashKey: "/animal/7"}, start, random)
	}
}

func BenchmarkBuild(b *testing.B) {
	c := threeRegions()
	a, ms := config.NewActive(1, c), everyZone(c, roomy)
	builder := steer.NewBuilder("vt-a")
	b.ReportAllocs()
	for b.Loop() {
		builder.Build(a, ms, nobody{}, start)
	}
}

// A daemon starts, and an upstream's handler moves to it. Before its next
// heartbeat nobody has heard of its headroom, and the old handler refuses. The
// request must go to the new handler, not be refused.
func TestNewHandlerIsAskedBeforeItsHeadroomIsHeard(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	fresh := member("vt-a", membership.Headroom{})
	fresh.Headroom = nil
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), []membership.Member{fresh}, fourEach{}, start)
	g.Expect(zones(table.Choose(steer.Request{Service: "lookup", Customer: "farm"}, start, rng()))).To(Equal([]string{"vt-a"}))
}

type fourEach struct{}

func (fourEach) Slots(string, string) int { return 4 }
