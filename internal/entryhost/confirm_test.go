package entryhost

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
)

// Guards against a delayed response to a previous process. A host sends a confirmation request,
// is killed and starts again at the same address. The response arrives after the new process
// has sent its first request. If it matched that request, it would confirm a version for a time
// after the response was sent, and a withdrawn API key would go on working; a token granted to
// one caller would admit another.
func TestResponsesToPreviousProcessAreIgnored(t *testing.T) {
	g := NewWithT(t)
	before, after := newConfirmRequests(), newConfirmRequests()
	first, second := before.nextID(), after.nextID()
	g.Expect(first).NotTo(Equal(second))
	g.Expect(before.nextID()).NotTo(Equal(first))

	old, tokens := newTokens(nil), newTokens(nil)
	id, answer := tokens.newRequest()
	tokens.handlePacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: old.lastID + 1, Granted: true}}}, "")
	g.Expect(answer).To(BeEmpty())
	tokens.handlePacket(&fleet.Packet{Content: &fleet.Packet_TokenAnswer{TokenAnswer: &fleet.TokenAnswer{Id: id, Granted: true}}}, "")
	g.Expect(answer).To(Receive())
}

// listedControl returns the control of a daemon that has received a listing: a stale one, or one
// that confirmed its state a second ago.
func listedControl(t *testing.T, stale bool) *control {
	c := newTestControl(t)
	asOf := c.d.now().Add(-time.Second)
	if stale {
		asOf = time.Time{}
	}
	c.handleListing(kv.Listing{Items: []kv.Item{{Key: "op/evacuate/a1", Value: []byte("{}"), Revision: 7}}, Revision: 7}, asOf)
	c.confirmState(c.d.now())
	return c
}

// Guards against a host that is confirmed by a process which was started again at the address of a
// peer and has not been confirmed itself. The host then accepted withdrawn API keys for as long as
// it could not reach the store.
func TestUnconfirmedHostConfirmsNoPeer(t *testing.T) {
	g := NewWithT(t)
	host, peer := listedControl(t, false), listedControl(t, true)
	before := host.confirmedAt
	for _, c := range []*control{host, peer} {
		go c.d.transport.Receive(c.d.ctx, c.d.handlePacket, func(error) {})
	}
	host.requestConfirmAt(host.d.now(), peer.d.transport.Address(), pendingConfirm{})
	peer.d.handleConfirmRequest(&fleet.ConfirmRequest{Base: host.digests().base, Hosts: host.hosts.digest.Sum()}, host.d.transport.Address())
	time.Sleep(100 * time.Millisecond)
	peer.handleQueued()
	time.Sleep(100 * time.Millisecond)
	host.handleQueued()
	g.Expect(host.confirmedAt).To(Equal(before))
}

// Guards against an age in a peer's response that no state can have, and that moves the time of
// the confirmation into the future.
func TestImpossibleAgeConfirmsNothing(t *testing.T) {
	for _, ageUs := range []uint64{
		0,
		uint64(math.MaxInt64 / time.Microsecond),
		uint64(math.MaxInt64/time.Microsecond) + 1,
		math.MaxInt64,
		math.MaxInt64 + 1,
		math.MaxUint64 - 1_000_000,
		math.MaxUint64,
	} {
		t.Run(fmt.Sprint(ageUs), func(t *testing.T) {
			g := NewWithT(t)
			c := listedControl(t, false)
			before, hostsBefore := c.confirmedAt, c.hosts.confirmedAt
			c.requestConfirmAt(c.d.now(), "127.0.0.1:1", pendingConfirm{})
			c.handleConfirmAnswer(&fleet.ConfirmAnswer{
				Id: c.confirmRequests.lastID, Base: c.digests().base, Hosts: c.hosts.digest.Sum(), AgeUs: ageUs, HostsAgeUs: ageUs,
			})
			g.Expect(c.confirmedAt).To(Equal(before))
			g.Expect(c.hosts.confirmedAt).To(Equal(hostsBefore))
		})
	}
}
