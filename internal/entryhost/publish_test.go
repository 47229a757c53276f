package entryhost

import (
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
