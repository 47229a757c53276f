package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var t0 = time.Unix(1e9, 0)

// The host list lags: it shows a host that is gone and misses one that is
// live. Both of the others hear the live one; a newcomer must reach it by
// their word, and must stop trying what nobody names.
func TestMissingHostIsReachedByRumor(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.SetHostList([]string{"self", "gone", "b"})
	c.AddGossip([]string{"missing"}, t0)
	g.Expect(c.HeartbeatTargets(t0)).To(Equal([]string{"b", "gone", "missing"}))
	g.Expect(c.HeartbeatTargets(t0.Add(rumorFor + time.Second))).To(Equal([]string{"b", "gone"}))
}

// Two regions lose each other for minutes. Peers that no list shows must still
// be tried, at a slower pace, and be beaten as before once they are heard.
func TestSilentPeersAreTriedAfterACut(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.RecordHeartbeat("far", t0)
	tries := 0
	for now := t0; now.Before(t0.Add(10 * time.Minute)); now = now.Add(HeartbeatInterval) {
		tries += len(c.HeartbeatTargets(now))
	}
	g.Expect(tries).To(BeNumerically("~", 10*60/5, 5))
	c.RecordHeartbeat("far", t0.Add(10*time.Minute))
	g.Expect(c.HeartbeatTargets(t0.Add(10*time.Minute + HeartbeatInterval))).To(Equal([]string{"far"}))
	c.Remove("far")
	g.Expect(c.HeartbeatTargets(t0.Add(10*time.Minute + 2*HeartbeatInterval))).To(BeEmpty())
}

// A peer whose heartbeats always come first would never be asked, and when its
// configuration was confirmed would stay unknown here for good.
func TestPeerThatBeatsFirstIsAskedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	asked := 0
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(HeartbeatInterval) {
		c.RecordHeartbeat("early", now.Add(-HeartbeatInterval/10))
		if !c.ExchangedRecently("early", now) {
			asked++
			c.RecordResponse("early", now)
		}
	}
	g.Expect(asked).To(Equal(int(time.Minute / answerEvery)))
}

// Every live peer must be named in turn, and a silent one no more.
func TestGossipNamesLivePeersInTurn(t *testing.T) {
	g := NewWithT(t)
	c := NewContacts("self")
	c.RecordHeartbeat("silent", t0.Add(-time.Minute))
	for i := range 10 {
		c.RecordHeartbeat(fmt.Sprintf("p%d", i), t0)
	}
	named := map[string]bool{}
	for range 4 {
		for _, a := range c.Gossip(t0) {
			named[a] = true
		}
	}
	g.Expect(named).To(HaveLen(10))
	g.Expect(named).NotTo(HaveKey("silent"))
}

// A daemon is replaced again and again for hours, with new addresses. Neither
// contacts nor members may grow without bound.
func TestMembershipIsBounded(t *testing.T) {
	g := NewWithT(t)
	c, table := NewContacts("self"), NewTable()
	for i := range 3 * maxContacts {
		a := fmt.Sprintf("p%d", i)
		c.RecordHeartbeat(a, t0)
		c.AddGossip([]string{a}, t0)
		table.Update(Member{Instance: a, Host: a, Sequence: 1}, t0)
	}
	g.Expect(len(c.heard)).To(Equal(maxContacts))
	g.Expect(len(c.rumored)).To(Equal(maxContacts))
	g.Expect(table.All()).To(HaveLen(maxContacts))
}

// A daemon crashes and starts again at once on its host. Requests must go to
// the new instance only, not to the one that is gone until it falls silent.
func TestNewInstanceReplacesTheOneAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	table.Update(Member{Instance: "a-1", Host: "a", PeerAddress: "10.0.0.1:1", Sequence: 9}, t0)
	table.Update(Member{Instance: "a-2", Host: "a", PeerAddress: "10.0.0.1:1", Sequence: 1}, t0)
	live := table.Live(t0)
	g.Expect(live).To(HaveLen(1))
	g.Expect(live[0].Instance).To(Equal("a-2"))
}

// An account that was overtaken on its way must not undo a newer one.
func TestOvertakenAccountIsDropped(t *testing.T) {
	g := NewWithT(t)
	table := NewTable()
	g.Expect(table.Update(Member{Instance: "a", State: StateLeaving, Sequence: 2}, t0)).To(BeTrue())
	g.Expect(table.Update(Member{Instance: "a", State: StateReady, Sequence: 1}, t0)).To(BeFalse())
	m, _ := table.Find("a")
	g.Expect(m.State).To(Equal(StateLeaving))
	g.Expect(m.LeavingSince).To(Equal(t0))
}
