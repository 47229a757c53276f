package entryhost

import (
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/place"
	"balsambarrow/internal/standby"
)

// Guards against hundreds of hosts that all list the store at the same moment, so that the
// hosts that are to be active wait behind all the others.
func TestStrongerPeers(t *testing.T) {
	strong, weak := standby.Capacity{Cores: 0.8, LinkMbps: 200}, standby.Capacity{Cores: 0.16, LinkMbps: 20}
	member := func(peers, region string, ready bool, c standby.Capacity) fleet.Member {
		return fleet.Member{PeerAddress: peers, Region: region, Ready: ready, Capacity: c}
	}
	d := &directory{
		self: Self{Host: place.Host{Region: "a"}, Peers: "p1"}, ready: true,
		peers: []fleet.Member{
			member("p3", "a", true, strong), member("p2", "a", true, strong), member("p4", "a", false, strong),
			member("q1", "b", true, strong), member("q2", "b", true, strong),
		},
	}
	hint := newActiveHostsHint(d, strong)
	for name, c := range map[string]struct {
		region   string
		capacity standby.Capacity
		want     []string
	}{
		"weak":                   {"a", weak, []string{"p1", "p2", "p3"}},
		"as strong":              {"a", strong, nil},
		"too few stronger hosts": {"b", weak, nil},
		"a region with none":     {"c", weak, nil},
		"capacity not known":     {"a", standby.Capacity{}, nil},
		"a slow link is enough":  {"a", standby.Capacity{Cores: 0.8, LinkMbps: 20}, []string{"p1", "p2", "p3"}},
	} {
		NewWithT(t).Expect(hint.strongerPeers(c.region, c.capacity)).To(Equal(c.want), name)
	}
}
