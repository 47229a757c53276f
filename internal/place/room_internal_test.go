package place

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
)

// Guards against hosts that ask different owners for the room of one upstream.
func TestAllHostsAgreeOnTheOwner(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	hosts := []Host{{"h-1", "a1", "a"}, {"h-2", "a1", "a"}, {"h-3", "a2", "a"}, {"h-4", "b1", "b"}}
	owners := map[uint64]map[string]bool{}
	for _, self := range hosts {
		table := NewTable(self, zones)
		table.SetHosts(hosts)
		for i := range 30 {
			u := catalog.Upstream{ID: fmt.Sprint("u-", i), Service: "s", Zone: []string{"a1", "a2", "b1"}[i%3], Slots: 3, State: catalog.StateReady}
			table.PutUpstream(now, u)
			w := table.byID[u.ID]
			owner, slots, ok := table.RoomOwner(w.instanceKey())
			g.Expect(ok).To(BeTrue())
			g.Expect(slots).To(Equal(3))
			g.Expect(owner.Zone).To(Equal(u.Zone), "an owner near the upstream")
			g.Expect(owner.Instance == self.Instance).To(Equal(table.senderRank(w) == 0))
			if owners[w.instanceKey()] == nil {
				owners[w.instanceKey()] = map[string]bool{}
			}
			owners[w.instanceKey()][owner.Instance] = true
		}
	}
	for _, of := range owners {
		g.Expect(of).To(HaveLen(1))
	}
}

func TestMaxAheadIsTheLargestLoadWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	const perRequest = 70 * time.Millisecond
	for slots := 1; slots < 10; slots++ {
		for limit := time.Duration(0); limit < time.Second; limit += 13 * time.Millisecond {
			n := maxAhead(limit, slots, perRequest)
			g.Expect(queueTime(float64(n), slots, perRequest)).To(BeNumerically("<=", limit))
			g.Expect(queueTime(float64(n+1), slots, perRequest)).To(BeNumerically(">", limit))
		}
	}
}

// Guards against a host that chooses an upstream again whose owner has just counted the requests of
// all hosts there.
func TestOwnersCountCorrectsTheKnownLoad(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Host{"h-1", "a1", "a"}, map[string]string{"a1": "a"})
	for _, id := range []string{"u-1", "u-2"} {
		table.PutUpstream(now, catalog.Upstream{ID: id, Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady})
	}
	query := Query{Service: "s", Route: "r", Target: time.Second, Remaining: time.Second}
	first, err := table.Choose(now, query)
	g.Expect(err).NotTo(HaveOccurred())
	table.ObserveRoom(now, first.Room.Upstream, 5)
	table.Done(now, first, Report{Result: Shed})
	table.ObserveSlowdown(now, first.Room.Upstream, 2, 0)
	table.ObserveSlowdown(now, first.Room.Upstream, 3, time.Millisecond)
	g.Expect(table.byInstanceKey(first.Room.Upstream).slowdown.value).To(BeEquivalentTo(2), "a report from before the last one")
	corrected := first.WithRoom(5)
	g.Expect(corrected.ExpectedQueueing).To(BeNumerically(">", first.ExpectedQueueing))
	g.Expect(corrected.Known.Requests).To(BeEquivalentTo(5))
	for range 3 {
		c, err := table.Choose(now, query)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.ID).NotTo(Equal(first.ID))
	}
	g.Expect(table.ObserveRoom(now, first.Room.Upstream+1, 5)).To(BeEmpty(), "another instance")
}

// Guards against an owner that stays in force after the hosts or the zone of the upstream have changed, and
// against a comparison of all hosts for each request.
func TestOwnerIsComputedOncePerChange(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Host{"h-1", "a1", "a"}, map[string]string{"a1": "a", "b1": "b"})
	u := catalog.Upstream{ID: "u", Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady}
	table.PutUpstream(now, u)
	owner := func() string {
		h, _, ok := table.RoomOwner(table.byID["u"].instanceKey())
		g.Expect(ok).To(BeTrue())
		return h.Instance
	}
	table.SetHosts([]Host{{"h-1", "a1", "a"}, {"h-2", "b1", "b"}})
	g.Expect(owner()).To(Equal("h-1"))
	w := table.byID["u"]
	g.Expect(w.ownerGeneration).To(Equal(table.hostsGeneration))
	w.owner = 1
	g.Expect(owner()).To(Equal("h-2"), "not computed again")
	u.Zone = "b1"
	table.PutUpstream(now, u)
	g.Expect(owner()).To(Equal("h-2"))
	table.SetHosts([]Host{{"h-1", "a1", "a"}})
	g.Expect(owner()).To(Equal("h-1"))
	table.SetHosts(nil)
	_, _, ok := table.RoomOwner(w.instanceKey())
	g.Expect(ok).To(BeFalse())
}

// Guards against one report of a slowdown that counts as many, because the owner passes it on with each
// answer and its time is known to a few milliseconds only.
func TestSlowdownPassedOnTwiceCountsOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Host{"h-1", "a1", "a"}, map[string]string{"a1": "a"})
	table.PutUpstream(now, catalog.Upstream{ID: "u", Service: "s", Zone: "a1", Slots: 3, State: catalog.StateReady})
	w := table.byID["u"]
	table.ObserveSlowdown(now, w.instanceKey(), 1.7, 0)
	for i := range 10 {
		delay := time.Duration(i) * time.Millisecond
		table.ObserveSlowdown(now.Add(time.Second+delay), w.instanceKey(), float64(float32(1.7)), time.Second)
	}
	g.Expect(table.slowdowns["s"].reports).To(Equal(1))
	table.ObserveSlowdown(now.Add(time.Second), w.instanceKey(), 1.7, 0)
	g.Expect(table.slowdowns["s"].reports).To(Equal(2), "a later report with the same value")
	table.ObserveSlowdown(now.Add(time.Second+time.Millisecond), w.instanceKey(), 2, 0)
	g.Expect(table.slowdowns["s"].reports).To(Equal(3), "another value")
}
