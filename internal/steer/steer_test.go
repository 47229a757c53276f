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

// threeRegions returns a configuration with two zones in each of three
// regions.
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

func member(zone string, headroom membership.Headroom) membership.Member {
	return membership.Member{
		Instance: "i-" + zone, Zone: zone, State: membership.StateReady, Sequence: 1,
		Headroom: map[string]membership.Headroom{"lookup": headroom},
	}
}

// noSlots assigns no slots to any handler, so that only the advertised
// headroom counts.
type noSlots struct{}

func (noSlots) Slots(string, string) int { return 0 }

var ample = membership.Headroom{Free: 10, Limit: 10}

// membersOfAllZones returns one ready daemon for each zone.
func membersOfAllZones(c *config.Config, headroom membership.Headroom) []membership.Member {
	var ms []membership.Member
	for z := range c.Zones {
		ms = append(ms, member(z, headroom))
	}
	return ms
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func choose(c *config.Config, ms []membership.Member, r steer.Request, now time.Time) []steer.Target {
	return steer.NewBuilder("vt-a").Build(config.NewActive(1, c), ms, noSlots{}, now).Choose(r, now, rng())
}

func zones(ts []steer.Target) []string {
	var zs []string
	for _, t := range ts {
		zs = append(zs, t.Handler.Member.Zone)
	}
	return zs
}

func TestTargetOrder(t *testing.T) {
	r := steer.Request{Service: "lookup", Customer: "farm", HashKey: "/animal/7"}
	drain := func(kind config.DrainKind, target string) func(*config.Config) {
		return func(c *config.Config) {
			c.Drains = map[string]config.Drain{"d": {Kind: kind, Target: target}}
		}
	}
	for name, tc := range map[string]struct {
		change func(*config.Config)
		absent map[string]bool
		want   []string
	}{
		"own zone, then own region, then another region": {want: []string{"vt-a", "vt-b", "m*"}},
		"own zone has no handler":                        {absent: map[string]bool{"vt-a": true}, want: []string{"vt-b", "m*", "m*"}},
		"own region is lost":                             {absent: map[string]bool{"vt-a": true, "vt-b": true}, want: []string{"m*", "m*"}},
		"own zone is drained":                            {change: drain(config.DrainZone, "vt-a"), want: []string{"vt-b", "vt-a", "m*"}},
		"own region is drained":                          {change: drain(config.DrainRegion, "vt"), want: []string{"m*", "vt-a", "m*"}},
		"another region is drained":                      {change: drain(config.DrainRegion, "me"), want: []string{"vt-a", "vt-b", "ma*"}},
		"service is restricted to the local region": {change: func(c *config.Config) {
			c.Services["lookup"] = config.Service{Regions: []string{"vt"}}
		}, want: []string{"vt-a", "vt-b"}},
		"customer is restricted to another region": {change: func(c *config.Config) {
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
			for _, m := range membersOfAllZones(c, ample) {
				if !tc.absent[m.Zone] {
					ms = append(ms, m)
				}
			}
			got := zones(choose(c, ms, r, start))
			g.Expect(got).To(HaveLen(len(tc.want)), "%v", got)
			for i, want := range tc.want {
				if prefix, any := trimStar(want); any {
					g.Expect(got[i]).To(HavePrefix(prefix))
					continue
				}
				g.Expect(got[i]).To(Equal(want))
			}
		})
	}
}

func trimStar(s string) (string, bool) {
	if s[len(s)-1] == '*' {
		return s[:len(s)-1], true
	}
	return s, false
}

func TestRemoteTargetsNameTheirQuotas(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	c.Drains = map[string]config.Drain{"d": {Kind: config.DrainRegion, Target: "vt", CapPerSecond: 5}}
	ts := choose(c, membersOfAllZones(c, ample), steer.Request{Service: "lookup", Customer: "farm", SizeBytes: 100}, start)
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

// Operators move half of a service's traffic to another region. The moved
// fraction must follow the ramp, and a key that has moved must not move back;
// otherwise the caches of the other region would meet all keys and stay cold.
func TestMoveFollowsRampAndKeepsKeys(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	c.Moves = map[string]config.Move{"m": {
		Service: "lookup", From: "vt", To: "me", Share: 0.5, CapPerSecond: 10, RampSeconds: 100, StartUnixMs: start.UnixMilli(),
	}}
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), membersOfAllZones(c, ample), noSlots{}, start)
	const keys = 2000
	movedBefore := map[string]bool{}
	for _, step := range []struct {
		after time.Duration
		want  float64
	}{{0, 0}, {20 * time.Second, 0.1}, {60 * time.Second, 0.3}, {200 * time.Second, 0.5}} {
		moved := 0
		for k := range keys {
			r := steer.Request{Service: "lookup", Customer: "farm", HashKey: fmt.Sprint("/", k)}
			remote := table.Choose(r, start.Add(step.after), rng())[0].ShiftQuota != ""
			if remote {
				moved++
			}
			g.Expect(movedBefore[r.HashKey] && !remote).To(BeFalse(), "key %s moved back", r.HashKey)
			movedBefore[r.HashKey] = remote
		}
		g.Expect(float64(moved) / keys).To(BeNumerically("~", step.want, 0.03))
	}
}

// The advertised headroom of a handler is half a second old. Requests sent
// since then must count against it; otherwise one entry host would send all of
// its requests to the same handler.
func TestSentRequestsCountAgainstHeadroom(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	two := []membership.Member{member("vt-a", membership.Headroom{Free: 6, Limit: 10}), member("vt-a", membership.Headroom{Free: 4, Limit: 10})}
	two[1].Instance = "other"
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), two, noSlots{}, start)
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
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), membersOfAllZones(c, ample), noSlots{}, start)
	random := rng()
	b.ReportAllocs()
	for b.Loop() {
		table.Choose(steer.Request{Service: "lookup", Customer: "farm", HashKey: "/animal/7"}, start, random)
	}
}

func BenchmarkBuild(b *testing.B) {
	c := threeRegions()
	a, ms := config.NewActive(1, c), membersOfAllZones(c, ample)
	builder := steer.NewBuilder("vt-a")
	b.ReportAllocs()
	for b.Loop() {
		builder.Build(a, ms, noSlots{}, start)
	}
}

// A daemon starts and becomes the handler of an upstream. Until its next
// heartbeat its headroom is unknown, and the previous handler rejects
// requests. Requests must go to the new handler instead of being rejected.
func TestNewHandlerIsChosenBeforeItsHeadroomIsKnown(t *testing.T) {
	g := NewWithT(t)
	c := threeRegions()
	started := member("vt-a", membership.Headroom{})
	started.Headroom = nil
	table := steer.NewBuilder("vt-a").Build(config.NewActive(1, c), []membership.Member{started}, fourSlots{}, start)
	g.Expect(zones(table.Choose(steer.Request{Service: "lookup", Customer: "farm"}, start, rng()))).To(Equal([]string{"vt-a"}))
}

// fourSlots assigns four slots to every handler.
type fourSlots struct{}

func (fourSlots) Slots(string, string) int { return 4 }
