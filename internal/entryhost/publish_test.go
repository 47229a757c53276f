package entryhost

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// Guards against activation decisions on the load that hosts had when the set of hosts last
// changed: standbys would not become active when the load grows.
func TestLoadOfPeersIsReviewed(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	b := &fleet.Heartbeat{Instance: "p-1", Host: "p", Zone: "a1", Region: "a", Peers: "127.0.0.1:1", Sequence: 1, Ready: true}
	c.members.ApplyHeartbeat(now, b)
	c.publish(now)
	b.Sequence, b.RequestsPerSecond = 2, 5000
	c.members.ApplyHeartbeat(now, b)
	c.publish(now.Add(reviewInterval))
	g.Expect(c.published.peers[0].Load.RequestsPerSecond).To(BeEquivalentTo(5000))
}

// Guards against standbys that go on sending callers to a host that leaves, because they learn of it
// only with their next summary.
func TestLeavingHostIsAnnouncedToStandbys(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	for i := range fewActive + 1 {
		name := fmt.Sprint("p-", i)
		c.members.ApplyHeartbeat(now, &fleet.Heartbeat{Instance: name, Host: name, Zone: "a1", Region: "a", Peers: "127.0.0.1:1", Sequence: 1, Ready: true})
	}
	c.publish(now)
	c.announceToStandbys = false
	c.ready = true
	c.announceToAll(now)
	g.Expect(c.announceToStandbys).To(BeFalse(), "standbys learn of other changes with their next summary")
	c.leaving = true
	c.announceToAll(now)
	c.ready = false
	c.announceToAll(now)
	g.Expect(c.announceToStandbys).To(BeTrue())
}
