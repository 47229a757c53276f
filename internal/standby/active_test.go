package standby_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standby"
)

var (
	strong = standby.Capacity{Cores: 0.8, LinkMbps: 200}
	weak   = standby.Capacity{Cores: 0.16, LinkMbps: 10}
)

func hosts(kind string, n int, zone string, c standby.Capacity, l standby.Load) []standby.Host {
	var out []standby.Host
	for i := range n {
		out = append(out, standby.Host{Instance: fmt.Sprint(kind, "-", zone, "-", i), Zone: zone, Region: "r", Capacity: c, Load: l})
	}
	return out
}

func join(lists ...[]standby.Host) []standby.Host {
	var out []standby.Host
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

func TestWhoTakesCallers(t *testing.T) {
	quiet := standby.Load{RequestsPerSecond: 10, ResponseMbps: 0.5}
	busy := standby.Load{RequestsPerSecond: 1100, ResponseMbps: 5}
	reports := standby.Load{RequestsPerSecond: 10, ResponseMbps: 40}
	none := standby.Capacity{}
	for _, c := range []struct {
		name  string
		hosts []standby.Host
		want  int
	}{
		{"hosts of one kind all do", join(hosts("h", 2, "a", strong, quiet), hosts("h", 2, "b", strong, quiet)), 4},
		{"hosts that do not say what they have all do", join(hosts("h", 2, "a", none, quiet), hosts("h", 2, "b", none, quiet)), 4},
		{"the strong ones do", join(hosts("s", 2, "a", strong, quiet), hosts("w", 9, "a", weak, quiet),
			hosts("s", 2, "b", strong, quiet), hosts("w", 8, "b", weak, quiet)), 4},
		{"weak ones where the strong ones have gone", join(hosts("w", 9, "a", weak, quiet), hosts("w", 8, "b", weak, quiet)), 17},
		{"at least three", join(hosts("s", 1, "a", strong, quiet), hosts("s", 1, "b", strong, quiet), hosts("w", 9, "a", weak, quiet)), 3},
		{"in each zone", join(hosts("s", 4, "a", strong, quiet), hosts("w", 8, "b", weak, quiet)), 5},
		{"more for many requests", join(hosts("s", 4, "a", strong, busy), hosts("w", 8, "a", weak, standby.Load{})), 6},
		{"more for many bytes", join(hosts("s", 4, "a", strong, reports), hosts("w", 40, "a", weak, standby.Load{})), 31},
		{"the strong ones do, whatever is not said of their processors", join(
			hosts("s", 3, "a", standby.Capacity{LinkMbps: 200}, quiet), hosts("w", 2, "a", standby.Capacity{LinkMbps: 10}, quiet)), 3},
		{"all where even they are too few", join(hosts("s", 4, "a", strong, busy), hosts("w", 1, "a", weak, busy)), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(standby.Active(c.hosts, "r")).To(HaveLen(c.want))
		})
	}
}

// Each host works the set out alone, from heartbeats that arrive in any order,
// with hosts of other regions among them. They must agree, or callers would be
// sent to hosts that stand by.
func TestAllHostsAgree(t *testing.T) {
	g := NewWithT(t)
	list := join(hosts("s", 1, "a", strong, standby.Load{}), hosts("w", 20, "a", weak, standby.Load{RequestsPerSecond: 30}))
	want := standby.Active(list, "r")
	g.Expect(want).To(HaveLen(3))
	var turned []standby.Host
	for i := range list {
		turned = append(turned, list[len(list)-1-i])
	}
	other := standby.Host{Instance: "elsewhere", Zone: "z", Region: "q", Capacity: standby.Capacity{Cores: 8, LinkMbps: 1000}}
	g.Expect(standby.Active(append(turned, other), "r")).To(Equal(want))
}
