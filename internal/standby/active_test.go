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

func concat(lists ...[]standby.Host) []standby.Host {
	var out []standby.Host
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

func TestActive(t *testing.T) {
	quiet := standby.Load{RequestsPerSecond: 10, ResponseMbps: 0.5}
	busy := standby.Load{RequestsPerSecond: 1100, ResponseMbps: 5}
	largeResponses := standby.Load{RequestsPerSecond: 10, ResponseMbps: 40}
	unknown := standby.Capacity{}
	for _, c := range []struct {
		name  string
		hosts []standby.Host
		want  int
	}{
		{"all hosts of one kind", concat(hosts("h", 2, "a", strong, quiet), hosts("h", 2, "b", strong, quiet)), 4},
		{"all hosts of unknown capacity", concat(hosts("h", 2, "a", unknown, quiet), hosts("h", 2, "b", unknown, quiet)), 4},
		{"the strong hosts only", concat(hosts("s", 2, "a", strong, quiet), hosts("w", 9, "a", weak, quiet),
			hosts("s", 2, "b", strong, quiet), hosts("w", 8, "b", weak, quiet)), 4},
		{"the weak hosts if there are no strong ones", concat(hosts("w", 9, "a", weak, quiet), hosts("w", 8, "b", weak, quiet)), 17},
		{"at least three hosts", concat(hosts("s", 1, "a", strong, quiet), hosts("s", 1, "b", strong, quiet), hosts("w", 9, "a", weak, quiet)), 3},
		{"at least one host in each zone", concat(hosts("s", 4, "a", strong, quiet), hosts("w", 8, "b", weak, quiet)), 5},
		{"more hosts for a high request rate", concat(hosts("s", 4, "a", strong, busy), hosts("w", 8, "a", weak, standby.Load{})), 6},
		{"more hosts for many response bytes", concat(hosts("s", 4, "a", strong, largeResponses), hosts("w", 40, "a", weak, standby.Load{})), 31},
		{"the strong hosts only, by their links if the cores are unknown", concat(
			hosts("s", 3, "a", standby.Capacity{LinkMbps: 200}, quiet), hosts("w", 2, "a", standby.Capacity{LinkMbps: 10}, quiet)), 3},
		{"all hosts if the load exceeds their capacity", concat(hosts("s", 4, "a", strong, busy), hosts("w", 1, "a", weak, busy)), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(standby.Active(c.hosts, "r")).To(HaveLen(c.want))
		})
	}
}

// Guards against hosts that compute different sets of active hosts, so that callers are
// sent to standby hosts. Each host computes the set independently, from heartbeats that
// arrive in any order, including those of hosts of other regions.
func TestAllHostsComputeTheSameSet(t *testing.T) {
	g := NewWithT(t)
	list := concat(hosts("s", 1, "a", strong, standby.Load{}), hosts("w", 20, "a", weak, standby.Load{RequestsPerSecond: 30}))
	want := standby.Active(list, "r")
	g.Expect(want).To(HaveLen(3))
	var reversed []standby.Host
	for i := range list {
		reversed = append(reversed, list[len(list)-1-i])
	}
	other := standby.Host{Instance: "elsewhere", Zone: "z", Region: "q", Capacity: standby.Capacity{Cores: 8, LinkMbps: 1000}}
	g.Expect(standby.Active(append(reversed, other), "r")).To(Equal(want))
}
