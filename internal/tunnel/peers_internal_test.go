package tunnel

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestCandidates(t *testing.T) {
	upstream := Upstream{Address: "u", Zone: "a1", Region: "a"}
	peers := []Peer{
		{Instance: "other zone", Zone: "a2", Region: "a", Address: "1"},
		{Instance: "other region", Zone: "b1", Region: "b", Address: "2"},
		{Instance: "links down", Zone: "a1", Region: "a", Address: "3", LinksDown: true},
		{Instance: "old version", Zone: "a1", Region: "a"},
		{Instance: "failed", Zone: "a1", Region: "a", Address: "4"},
		{Instance: "standby", Zone: "a1", Region: "a", Address: "7", Standby: true},
		{Instance: "busy link", Zone: "a1", Region: "a", Address: "5", LinkLoad: 0.9},
		{Instance: "near", Zone: "a1", Region: "a", Address: "6", LinkLoad: 0.3},
	}
	var order []string
	for _, p := range candidates(peers, upstream, func(address string) bool { return address == "4" }) {
		order = append(order, p.Instance)
	}
	NewWithT(t).Expect(order).To(Equal([]string{"near", "other zone", "standby", "busy link", "failed"}))
}

// Guards against hosts that lose their links together and all use one peer.
func TestCandidatesAreSpread(t *testing.T) {
	peers := []Peer{{Zone: "a1", Region: "a", Address: "1"}, {Zone: "a1", Region: "a", Address: "2"}, {Zone: "a1", Region: "a", Address: "3"}}
	first := map[string]int{}
	for range 300 {
		first[candidates(peers, Upstream{Zone: "a1", Region: "a"}, func(string) bool { return false })[0].Address]++
	}
	for _, p := range peers {
		NewWithT(t).Expect(first[p.Address]).To(BeNumerically(">", 50))
	}
}
