package lookup_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/config"
	"balsambarrow/internal/lookup"
	"balsambarrow/internal/membership"
)

func host(name, zone string, load float64) membership.Member {
	return membership.Member{Instance: name, Host: name, Zone: zone, CallerAddress: name + ":80", State: membership.StateReady, Load: load}
}

func fourZones() *config.Config {
	return &config.Config{
		Regions: map[string]config.Region{"vt": {}, "me": {}},
		Zones: map[string]config.Zone{
			"vt-a": {Region: "vt"}, "vt-b": {Region: "vt"}, "me-a": {Region: "me"}, "me-b": {Region: "me"},
		},
		ClientBlocks: map[string][]string{
			"10.0.0.0/8":  {"me-a"},
			"10.1.0.0/16": {"vt-a", "vt-b"},
		},
	}
}

func entries(c *config.Config, members []membership.Member, caller string, rng *rand.Rand) []string {
	d := lookup.NewDirectory(config.NewActive(1, c), lookup.NewIndex(c), members)
	var names []string
	for _, e := range d.Entries(netip.MustParseAddr(caller), rng).Entries {
		names = append(names, e.Instance)
	}
	return names
}

func TestEntriesAreOrderedByDistance(t *testing.T) {
	ms := []membership.Member{host("vt-a1", "vt-a", 0), host("vt-b1", "vt-b", 0), host("me-a1", "me-a", 0), host("me-b1", "me-b", 0)}
	for name, tc := range map[string]struct {
		caller string
		change func(c *config.Config, ms []membership.Member) []membership.Member
		want   []string
	}{
		"the longest matching block":   {caller: "10.1.2.3", want: []string{"vt-a1", "vt-b1"}},
		"a shorter prefix":             {caller: "10.2.2.3", want: []string{"me-a1", "me-b1"}},
		"nearest zone without hosts":   {caller: "10.1.2.3", want: []string{"vt-b1"}, change: without("vt-a1")},
		"nearest region without hosts": {caller: "10.2.2.3", want: []string{}, change: without("me-a1", "me-b1")},
		"a full host is left out":      {caller: "10.1.2.3", want: []string{"vt-b1"}, change: replace(host("vt-a1", "vt-a", 0.95))},
		"a drained host is left out":   {caller: "10.1.2.3", want: []string{"vt-b1"}, change: drain("vt-a1")},
		"an address outside any block": {caller: "192.0.2.1", want: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, members := fourZones(), append([]membership.Member(nil), ms...)
			if tc.change != nil {
				members = tc.change(c, members)
			}
			got := entries(c, members, tc.caller, rand.New(rand.NewPCG(1, 1)))
			g.Expect(len(got)).To(BeNumerically(">=", len(tc.want)))
			g.Expect(got[:len(tc.want)]).To(Equal(tc.want))
			g.Expect(got).To(HaveLen(len(eligible(c, members))))
		})
	}
}

// eligible returns the members that may be returned to callers.
func eligible(c *config.Config, members []membership.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if _, drained := c.Drains[m.Host]; !drained && m.Load < lookup.FullLoad {
			out = append(out, m)
		}
	}
	return out
}

type change = func(*config.Config, []membership.Member) []membership.Member

func without(names ...string) change {
	return func(_ *config.Config, ms []membership.Member) []membership.Member {
		var out []membership.Member
		for _, m := range ms {
			keep := true
			for _, n := range names {
				keep = keep && m.Host != n
			}
			if keep {
				out = append(out, m)
			}
		}
		return out
	}
}

func replace(h membership.Member) change {
	return func(_ *config.Config, ms []membership.Member) []membership.Member {
		for i := range ms {
			if ms[i].Host == h.Host {
				ms[i] = h
			}
		}
		return ms
	}
}

func drain(name string) change {
	return func(c *config.Config, ms []membership.Member) []membership.Member {
		c.Drains = map[string]config.Drain{name: {Kind: config.DrainHost, Target: name}}
		return ms
	}
}

// Every host of the fleet is full. Callers must still receive hosts, because an
// empty response would turn an overload into an outage.
func TestFullHostsAreListedIfAllAreFull(t *testing.T) {
	g := NewWithT(t)
	ms := []membership.Member{host("a", "vt-a", 1), host("b", "vt-b", 1)}
	g.Expect(entries(fourZones(), ms, "10.1.2.3", rand.New(rand.NewPCG(1, 1)))).To(HaveLen(2))
}

// All callers of a block send a lookup within one second. The first entry must
// be distributed over the hosts of the zone, and a loaded host must be first
// less often.
func TestFirstEntryIsDistributedByLoad(t *testing.T) {
	g := NewWithT(t)
	ms := []membership.Member{host("idle1", "vt-a", 0), host("idle2", "vt-a", 0), host("busy", "vt-a", 0.8)}
	rng, first := rand.New(rand.NewPCG(7, 7)), map[string]int{}
	for range 3000 {
		first[entries(fourZones(), ms, "10.1.2.3", rng)[0]]++
	}
	g.Expect(first["idle1"]).To(BeNumerically(">", 900))
	g.Expect(first["idle2"]).To(BeNumerically(">", 900))
	g.Expect(first["busy"]).To(BeNumerically("<", 600))
}

// newFleet returns a configuration with the given numbers of client blocks and
// zones, and members for the given number of hosts.
func newFleet(blocks, zones, hosts int) (*config.Config, []membership.Member) {
	c := &config.Config{Zones: map[string]config.Zone{}, ClientBlocks: map[string][]string{}}
	zone := func(i int) string { return fmt.Sprintf("zone-%d", i%zones) }
	for i := range zones {
		c.Zones[zone(i)] = config.Zone{Region: fmt.Sprintf("region-%d", i/3)}
	}
	for i := range blocks {
		block := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0}), 24)
		c.ClientBlocks[block.String()] = []string{zone(i), zone(i + 1), zone(i + 2)}
	}
	var ms []membership.Member
	for i := range hosts {
		ms = append(ms, host(fmt.Sprintf("host-%d", i), zone(i), 0.3))
	}
	return c, ms
}

func BenchmarkEntries(b *testing.B) {
	for _, blocks := range []int{3_800, 38_000, 380_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			c, ms := newFleet(blocks, 145, 2300)
			d := lookup.NewDirectory(config.NewActive(1, c), lookup.NewIndex(c), ms)
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n := i * 7919 % blocks
				d.Entries(netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 9}), rng)
			}
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	for _, blocks := range []int{3_800, 38_000, 380_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			c, _ := newFleet(blocks, 145, 1)
			b.ReportAllocs()
			for b.Loop() {
				lookup.NewIndex(c)
			}
		})
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	for _, hosts := range []int{10, 230, 2300} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c, ms := newFleet(100, 145, hosts)
			a, ix := config.NewActive(1, c), lookup.NewIndex(c)
			b.ReportAllocs()
			for b.Loop() {
				lookup.NewDirectory(a, ix, ms)
			}
		})
	}
}
