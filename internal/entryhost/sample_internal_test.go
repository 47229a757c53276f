package entryhost

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
)

// sampledStandby returns the control of a standby that knows two active hosts, and the time.
func sampledStandby(t *testing.T) (*control, time.Time) {
	c := startedStandby(t)
	now := c.d.now()
	var peers []fleet.Member
	for i := range 2 {
		peers = append(peers, fleet.Member{
			Host: fmt.Sprint("strong-", i), Instance: fmt.Sprint("strong-", i), Region: "a", Ready: true, StoreReachable: true,
			PeerAddress: fmt.Sprint("127.0.0.1:", i+1),
		})
	}
	c.d.directory.Store(&directory{self: c.d.self, peers: peers})
	return c, now
}

// samplePage is the first page of the upstreams of a peer whose state has an age.
func samplePage(base uint64, age time.Duration) *fleet.ConfirmAnswer {
	a := &fleet.ConfirmAnswer{Page: true, More: true, Base: base, Upstreams: 9, Hosts: 8, Revision: 200, AgeUs: uint64(age.Microseconds())}
	for _, item := range registrations(10) {
		a.Changes = append(a.Changes, &fleet.Change{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return a
}

// Guards against a standby that refuses a caller because its sample expires while the caller waits.
func TestExpiredSampleIsCopiedAgainForWaitingCallers(t *testing.T) {
	g := NewWithT(t)
	c, now := sampledStandby(t)
	c.startSample(now, c.loadSources())
	c.applyPage(now, samplePage(c.digests().base, time.Microsecond), pendingConfirm{sentAt: now})
	g.Expect(c.upstreamsKnown()).To(BeTrue())
	now = now.Add(sampleMaxAge + time.Millisecond)
	c.manageUpstreams(now)
	g.Expect(c.upstreamsKnown()).To(BeFalse())
	c.refresh(now)
	g.Expect(c.load.active).To(BeTrue())
	g.Expect(c.d.wakeReader).To(BeEmpty(), "peers send the upstreams")
}

// Guards against callers of a standby that wait for a second answer, which confirms the configuration.
func TestSampleConfirmsTheConfiguration(t *testing.T) {
	const age = 300 * time.Millisecond
	for name, sameBase := range map[string]bool{"the peer's configuration": true, "another configuration": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, now := sampledStandby(t)
			before := c.confirmedAt
			base := c.digests().base
			if !sameBase {
				base++
			}
			c.startSample(now, c.loadSources())
			c.applyPage(now, samplePage(base, age), pendingConfirm{sentAt: now})
			g.Expect(c.upstreamsKnown()).To(BeTrue())
			if sameBase {
				g.Expect(c.confirmedAt).To(BeTemporally("~", now.Add(-age), time.Millisecond))
			} else {
				g.Expect(c.confirmedAt).To(Equal(before))
			}
		})
	}
}

// Guards against callers of a standby that are refused because one datagram was lost.
func TestLostSampleIsRequestedFromAnotherHost(t *testing.T) {
	g := NewWithT(t)
	c, now := sampledStandby(t)
	c.startSample(now, c.loadSources())
	first := c.load.peers[0]
	c.continueLoad(now.Add(refreshTimeout))
	g.Expect(c.load.peers[0]).NotTo(Equal(first))
	g.Expect(c.load.attempts).To(Equal(1), "the request was sent")
}

// Guards against a copy of upstreams that the host holds and that only lack their confirmation.
func TestHostThatHoldsTheUpstreamsCopiesNoSample(t *testing.T) {
	g := NewWithT(t)
	c, now := sampledStandby(t)
	c.addUpstreams(now, registrations(10), 100)
	g.Expect(c.upstreamsKnown()).To(BeFalse())
	c.refresh(now)
	g.Expect(c.load.active).To(BeFalse())
}
