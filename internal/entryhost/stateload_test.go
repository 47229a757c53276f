package entryhost

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/standin"
	"balsambarrow/internal/telemetry"
	"balsambarrow/platform"
)

// newTestControl returns the control of a daemon that was not started. Tests run the queued
// messages themselves.
func newTestControl(t *testing.T) *control {
	g := NewWithT(t)
	settings, err := ParseSettings("test", []byte(`{
		"host": "h", "zone": "a1", "zones": {"a1": "a"},
		"listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "directory": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
		"store": "127.0.0.1:1", "bounds": {"grace": "4s", "revoke": "5s"},
	}`))
	g.Expect(err).NotTo(HaveOccurred())
	d, err := New(settings, telemetry.NewEvents(io.Discard, "error", "h"), telemetry.NewMetrics())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		d.cancel()
		for _, l := range d.listeners {
			_ = l.Close()
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		d.transport.Receive(ctx, func(*fleet.Packet, string) {}, func(error) {})
	})
	return d.control
}

// evacuations is a peer's last page of the base state.
func evacuations(zones ...string) *fleet.ConfirmAnswer {
	a := &fleet.ConfirmAnswer{Page: true, Base: 7, Hosts: 8, Revision: 50, AgeUs: 1}
	for i, zone := range zones {
		a.Changes = append(a.Changes, &fleet.Change{Key: "op/evacuate/" + zone, Value: []byte("{}"), Revision: uint64(40 + i)})
	}
	return a
}

// Guards against a stale first listing that arrives after a peer has sent the state of the
// store: the host would send requests to an evacuated zone, and consider its state confirmed.
func TestStaleListingDoesNotReplacePeerState(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	c.startLoad(now, fleet.Scope_SCOPE_BASE, []string{"127.0.0.1:1"})
	c.applyPage(now, evacuations("a1"), pendingConfirm{sentAt: now})
	g.Expect(c.evacuatedZones).To(HaveKey("a1"))
	c.handleListing(kv.Listing{Revision: 30}, time.Time{})
	c.handleQueued()
	g.Expect(c.evacuatedZones).To(HaveKey("a1"))
	c.handleListing(kv.Listing{Revision: 60}, now)
	c.handleQueued()
	g.Expect(c.evacuatedZones).NotTo(HaveKey("a1"), "a current listing replaces the state")
}

// Guards against a peer of an earlier version, which does not know requests for pages and
// responds with the changes since the given digest, of which there are none.
func TestResponseThatIsNoPageIsNotAppliedAsOne(t *testing.T) {
	for i, a := range []*fleet.ConfirmAnswer{{Hosts: 8}, {Changes: evacuations("a1").Changes}} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			g := NewWithT(t)
			c := newTestControl(t)
			now := c.d.now()
			c.startLoad(now, fleet.Scope_SCOPE_BASE, []string{"127.0.0.1:1"})
			c.applyPage(now, a, pendingConfirm{sentAt: now})
			g.Expect(c.listed).To(BeFalse())
			g.Expect(isClosed(c.d.listed)).To(BeFalse())
		})
	}
}

// Guards against a host that never learns of a change between the first and the last page of its copy.
func TestCopyIsCompleteToItsFirstPage(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	c.startLoad(now, fleet.Scope_SCOPE_BASE, []string{"127.0.0.1:1"})
	first, last := evacuations("a1"), evacuations()
	first.More = true
	last.Revision = first.Revision + 10
	for _, page := range []*fleet.ConfirmAnswer{first, last} {
		c.applyPage(now, page, pendingConfirm{sentAt: now})
	}
	g.Expect(c.listed).To(BeTrue())
	g.Expect(c.completeTo()).To(Equal(first.Revision))
}

// Guards against a host that goes back to a listing which was on its way while peers reported later changes.
func TestListingDoesNotTakeBackLaterChangesOfPeers(t *testing.T) {
	evacuation := func(zone string, revision uint64) kv.Item {
		return kv.Item{Key: "op/evacuate/" + zone, Value: []byte("{}"), Revision: revision}
	}
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	c.handleListing(kv.Listing{Items: []kv.Item{evacuation("a1", 41), evacuation("a2", 42)}, Revision: 50}, time.Time{})
	c.applyChanges(now, []kv.Event{{Item: evacuation("b1", 70)}, {Item: evacuation("a1", 71), Deleted: true}})
	digests := c.digests()
	c.handleListing(kv.Listing{Items: []kv.Item{evacuation("a1", 41)}, Revision: 60}, now)
	g.Expect(c.evacuatedZones).To(HaveKey("b1"), "written after the listing")
	g.Expect(c.evacuatedZones).NotTo(HaveKey("a1"), "deleted after the listing")
	g.Expect(c.evacuatedZones).NotTo(HaveKey("a2"), "deleted before the listing")
	changes, known := c.base.journal.Since(digests.base, maxChangeBytes)
	g.Expect(known).To(BeTrue(), "peers can still be sent the change")
	g.Expect(changes).To(HaveLen(1))
}

// Guards against a host that keeps a registration which it read separately at its start, after that has ended.
func TestRegistrationReadAtTheStartEndsWithALaterListing(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	store := standin.NewKVStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	c.d.store = platform.NewStore(server.URL, (&net.Dialer{}).DialContext, func(string, error) {})
	c.handleListing(kv.Listing{Revision: 5}, time.Time{})
	store.Put(platform.HostPrefix+"peer", []byte(`{"instance":"peer"}`))
	read := make(chan error, 1)
	go func() { read <- newRegistrar(c.d).readPeers(t.Context()) }()
	(<-c.inbox)(c)
	g.Expect(<-read).To(Succeed())
	g.Expect(c.registrations).To(HaveLen(1))
	c.handleListing(kv.Listing{Revision: 60}, c.d.now())
	g.Expect(c.registrations).To(BeEmpty())
}

// Guards against a host without a configuration: a late page of the peer asked before counted as the first one of the next.
func TestLatePageOfAnEarlierCopyIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	receive := func(a *fleet.ConfirmAnswer, of func(pendingConfirm) bool) {
		for id, request := range c.confirmRequests.pending {
			if of(request) {
				a.Id = id
				c.handleConfirmAnswer(a)
				return
			}
		}
		t.Fatal("no such request")
	}
	c.startLoad(now, fleet.Scope_SCOPE_BASE, []string{"127.0.0.1:1", "127.0.0.1:2"})
	slow := c.load.peers[0]
	first := evacuations("a1")
	first.More = true
	receive(first, func(pendingConfirm) bool { return true })
	for range maxPageAttempts {
		now = now.Add(2 * pageTimeout)
		c.continueLoad(now)
	}
	g.Expect(c.load.peers[0]).NotTo(Equal(slow))
	receive(evacuations("b1"), func(request pendingConfirm) bool { return request.peer == slow })
	g.Expect(c.listed).To(BeFalse(), "the first page of the other peer is missing")
	receive(evacuations("a1", "b1"), func(request pendingConfirm) bool { return request.peer != slow })
	g.Expect(c.listed).To(BeTrue())
	g.Expect(c.evacuatedZones).To(HaveLen(2))
}

// Guards against callers of a standby that are refused because a peer deferred its sample: they wait less than two ticks.
func TestDeferredSampleIsRequestedAgainBetweenTicks(t *testing.T) {
	g := NewWithT(t)
	c, _ := sampledStandby(t)
	(<-c.inbox)(c) // the timer of the copied base state
	now := c.d.now()
	c.startSample(now, c.loadSources())
	first := c.load.peers[0]
	c.applyPage(now, &fleet.ConfirmAnswer{Page: true, Base: 7, Later: true}, pendingConfirm{sentAt: now})
	g.Expect(c.load.peers[0]).NotTo(Equal(first))
	g.Eventually(func() int {
		c.handleQueued()
		return c.load.attempts
	}, "10s", "5ms").Should(Equal(1), "no tick runs in this test")
}
