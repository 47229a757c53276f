package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var t0 = time.Unix(1e9, 0)

// The host list lags: it contains a host that has stopped and lacks a live one.
// A new daemon must reach the live host through gossip, and must stop
// contacting an address that is neither listed nor reported any more.
func TestUnlistedHostIsReachedByGossip(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.SetHostList([]string{"self", "dead", "b"})
	c.AddGossip([]string{"missing"}, t0)
	g.Expect(c.HeartbeatTargets(t0)).To(Equal([]string{"b", "dead", "missing"}))
	g.Expect(c.HeartbeatTargets(t0.Add(gossipTTL + time.Second))).To(Equal([]string{"b", "dead"}))
}

// Two regions are partitioned for minutes. Peers that are in no host list must
// still be contacted at a lower rate, and at the normal rate once a heartbeat
// arrives from them.
func TestUnresponsivePeersAreRetriedAfterPartition(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.RecordHeartbeat("remote", t0)
	tries := 0
	for now := t0; now.Before(t0.Add(10 * time.Minute)); now = now.Add(HeartbeatInterval) {
		tries += len(c.HeartbeatTargets(now))
	}
	g.Expect(tries).To(BeNumerically("~", 10*60/5, 5))
	c.RecordHeartbeat("remote", t0.Add(10*time.Minute))
	g.Expect(c.HeartbeatTargets(t0.Add(10*time.Minute + HeartbeatInterval))).To(Equal([]string{"remote"}))
	c.Remove("remote")
	g.Expect(c.HeartbeatTargets(t0.Add(10*time.Minute + 2*HeartbeatInterval))).To(BeEmpty())
}

// A peer whose heartbeats always arrive first would never be sent one, so the
// time at which its configuration was confirmed would stay unknown permanently.
func TestPeerThatSendsFirstStillGetsHeartbeats(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	sent := 0
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(HeartbeatInterval) {
		c.RecordHeartbeat("first", now.Add(-HeartbeatInterval/10))
		if !c.ExchangedRecently("first", now) {
			sent++
			c.RecordResponse("first", now)
		}
	}
	g.Expect(sent).To(Equal(int(time.Minute / maxResponseAge)))
}

// Gossip must include every live peer in turn, and no unresponsive peer.
func TestGossipRotatesOverLivePeers(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.RecordHeartbeat("unresponsive", t0.Add(-time.Minute))
	for i := range 10 {
		c.RecordHeartbeat(fmt.Sprintf("p%d", i), t0)
	}
	gossiped := map[string]bool{}
	for range 4 {
		for _, a := range c.Gossip(t0) {
			gossiped[a] = true
		}
	}
	g.Expect(gossiped).To(HaveLen(10))
	g.Expect(gossiped).NotTo(HaveKey("unresponsive"))
}

// Daemons are replaced repeatedly for hours, each time with new addresses.
// Neither Contacts nor Table may grow without bound.
func TestMembershipIsBounded(t *testing.T) {
	g := NewWithT(t)
	c, table := NewContacts("self"), NewTable()
	for i := range 3 * maxContacts {
		a := fmt.Sprintf("p%d", i)
		c.RecordHeartbeat(a, t0)
		c.AddGossip([]string{a}, t0)
		table.Update(Member{Instance: a, Host: a, Sequence: 1}, t0)
	}
	g.Expect(len(c.heartbeats)).To(Equal(maxContacts))
	g.Expect(len(c.gossiped)).To(Equal(maxContacts))
	g.Expect(table.All()).To(HaveLen(maxContacts))
}

// A daemon crashes and restarts at once on its host. Requests must go to the
// new instance only, and not also to the stopped one until MemberTimeout.
func TestNewInstanceReplacesPredecessorAtAddress(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Update(Member{Instance: "a-1", Host: "a", PeerAddress: "10.0.0.1:1", Sequence: 9}, t0)
	table.Update(Member{Instance: "a-2", Host: "a", PeerAddress: "10.0.0.1:1", Sequence: 1}, t0)
	live := table.Live(t0)
	g.Expect(live).To(HaveLen(1))
	g.Expect(live[0].Instance).To(Equal("a-2"))
}

// A state that arrives after a newer one must not replace it.
func TestOutOfOrderHeartbeatIsIgnored(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.Update(Member{Instance: "a", State: StateLeaving, Sequence: 2}, t0)).To(BeTrue())
	g.Expect(table.Update(Member{Instance: "a", State: StateReady, Sequence: 1}, t0)).To(BeFalse())
	m, _ := table.Find("a")
	g.Expect(m.State).To(Equal(StateLeaving))
	g.Expect(m.LeavingSince).To(Equal(t0))
}
