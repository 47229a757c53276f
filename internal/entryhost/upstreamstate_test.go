package entryhost

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"balsambarrow/internal/fleet"
	"balsambarrow/internal/kv"
	"balsambarrow/internal/telemetry"
	"balsambarrow/platform"
)

// fleetSizes are the numbers of upstreams of the largest deployment, and of twice its size.
var fleetSizes = []int{10_000, 20_000}

// upstreamItem returns the store's item of an upstream.
func upstreamItem(i int, revision uint64) kv.Item {
	id := fmt.Sprintf("i-%08x", i*2654435761)
	return kv.Item{Key: platform.UpstreamPrefix + id, Revision: revision, Value: fmt.Appendf(nil,
		`{"service":"s","address":"10.%d.%d.%d:8300","zone":"a1","version":"v3","slots":3,"state":"ready","cold-remaining":"0ms","sequence":%d,"born":%d}`,
		1+i>>16, i>>8&255, i&255, 1+revision%9, 1_790_000_000_000+int64(i))}
}

// registrations returns the items of n upstreams.
func registrations(n int) []kv.Item {
	out := make([]kv.Item, 0, n)
	for i := range n {
		out = append(out, upstreamItem(i, uint64(i+1)))
	}
	return out
}

// writeQueued writes the queued lines of an event log.
func writeQueued(events *telemetry.Events) {
	stop := make(chan struct{})
	close(stop)
	events.Run(stop)
}

// startedStandby returns the control of a standby that has copied the state of the store from a
// peer, apart from the upstreams.
func startedStandby(t *testing.T) *control {
	c := newTestControl(t)
	now := c.d.now()
	c.startLoad(now, fleet.Scope_SCOPE_BASE, []string{"127.0.0.1:1"})
	c.applyPage(now, evacuations("b1"), pendingConfirm{sentAt: now})
	NewWithT(t).Expect(c.listed).To(BeTrue())
	return c
}

// Guards against standbys whose memory, changes and log lines grow with hosts times upstreams.
func TestStandbyKeepsNoUpstreams(t *testing.T) {
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			c := startedStandby(t)
			var lines bytes.Buffer
			c.d.events = telemetry.NewEvents(&lines, "info", "h")
			items, digests := len(c.items), c.digests()
			now := c.d.now()
			for _, item := range registrations(upstreams) {
				c.applyChanges(now, []kv.Event{{Item: item}})
			}
			c.tick(now)
			g.Expect(c.items).To(HaveLen(items))
			g.Expect(c.d.table.Size()).To(BeZero())
			g.Expect(c.digests()).To(Equal(digests))
			writeQueued(c.d.events)
			g.Expect(bytes.Count(lines.Bytes(), []byte("msg=upstream"))).To(BeZero())
			g.Expect(c.isReady(now)).To(BeFalse(), "the configuration is not known")
			g.Expect(c.canServe(now)).To(BeFalse())
		})
	}
}

// Guards against an active host whose log drops the lines of other events while thousands of
// upstreams register.
func TestRegistrationsOfManyUpstreamsAreSummarized(t *testing.T) {
	for _, upstreams := range fleetSizes {
		g := NewWithT(t)
		c := newTestControl(t)
		var lines bytes.Buffer
		c.d.events = telemetry.NewEvents(&lines, "info", "h")
		now := c.d.now()
		c.loadState(now, registrations(upstreams), true)
		c.upstreamLog.flush(c.d.events)
		writeQueued(c.d.events)
		g.Expect(bytes.Count(lines.Bytes(), []byte("\n"))).To(Equal(1))
		g.Expect(lines.String()).To(ContainSubstring(fmt.Sprint("changed=", upstreams)))
	}
}

// Guards against a standby that is selected, or receives a caller, and cannot copy the upstreams
// of a large fleet, or only with the loss of changes that happen meanwhile. The peer's upstreams
// change between any two pages.
func TestUpstreamsAreCopiedInPages(t *testing.T) {
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			peer, c := newTestControl(t), startedStandby(t)
			now := c.d.now()
			peer.loadState(now, registrations(upstreams), true)
			c.upstreamDemand.until = now.Add(time.Minute)
			c.upstreamDemand.loadStartedAt = now
			c.startLoad(now, fleet.Scope_SCOPE_UPSTREAMS, []string{"127.0.0.1:1"})
			first := peer.digests()
			revision := uint64(upstreams)
			pages := 0
			for c.load.active {
				pages++
				a := &fleet.ConfirmAnswer{Page: true, Base: 7, Upstreams: peer.upstreams.digest.Sum(), Revision: revision}
				a.Changes, a.More = peer.pageOf(fleet.Scope_SCOPE_UPSTREAMS, c.load.after)
				g.Expect(proto.Size(a)).To(BeNumerically("<", 2*maxPageBytes))
				c.applyPage(now, a, pendingConfirm{sentAt: now})
				c.applyPage(now, a, pendingConfirm{sentAt: now}) // a datagram may arrive twice
				revision++
				removed, added := upstreamItem(pages, revision), upstreamItem(upstreams+pages, revision)
				peer.applyChanges(now, []kv.Event{{Item: removed, Deleted: true}, {Item: added}})
			}
			bytesOfAll := 0
			for _, item := range registrations(upstreams) {
				bytesOfAll += len(item.Key) + len(item.Value)
			}
			g.Expect(pages).To(BeNumerically("<=", bytesOfAll/(maxPageBytes-1024)+1), "the cost for each upstream is the same at any size")
			g.Expect(c.upstreamDemand.known).To(BeFalse(), "the copy is not confirmed yet")
			missing, known := peer.upstreams.journal.Since(first.upstreams, 1<<20)
			g.Expect(known).To(BeTrue())
			events := make([]kv.Event, 0, len(missing))
			for _, x := range missing {
				events = append(events, x.Event)
			}
			c.applyChanges(now, events)
			g.Expect(c.upstreams.digest.Sum()).To(Equal(peer.upstreams.digest.Sum()))
			g.Expect(c.d.table.Size()).To(Equal(upstreams))
		})
	}
}

// Guards against a host that keeps the upstreams, or what belongs to them, after it no longer
// serves callers.
func TestUpstreamsAreDroppedWhenNotNeeded(t *testing.T) {
	g := NewWithT(t)
	c := newTestControl(t)
	now := c.d.now()
	c.loadState(now, append(registrations(100), kv.Item{Key: "op/evacuate/b1", Value: []byte("{}"), Revision: 200}), true)
	c.manageUpstreams(now.Add(upstreamRetention - 1))
	g.Expect(c.d.table.Size()).To(Equal(100))
	c.manageUpstreams(now.Add(upstreamRetention))
	g.Expect(c.d.table.Size()).To(BeZero())
	g.Expect(c.items).To(HaveLen(1))
	g.Expect(c.digests().upstreams).To(BeZero())
	g.Expect(c.evacuatedZones).To(HaveKey("b1"))
	c.addUpstreams(now, registrations(100), 100)
	g.Expect(c.d.table.Size()).To(Equal(100), "the upstreams can be loaded again")
}

// Guards against hundreds of hosts that all list the upstreams in the store after a loss of the strong
// hosts, because the few that have them are busy sending them.
func TestBusyPeersAreAskedAgain(t *testing.T) {
	for name, answers := range map[string]bool{"busy peer": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := startedStandby(t)
			now := c.d.now()
			c.d.directory.Store(&directory{self: c.d.self, peers: []fleet.Member{{PeerAddress: "127.0.0.1:1", Region: "a", Ready: true}}})
			c.upstreamDemand.until = now.Add(time.Minute)
			for range 60 {
				c.manageUpstreams(now)
				c.continueLoad(now)
				if answers {
					c.applyPage(now, &fleet.ConfirmAnswer{Page: true, Base: 7, Later: true}, pendingConfirm{sentAt: now})
				}
				now = now.Add(200 * time.Millisecond)
			}
			g.Expect(c.upstreamDemand.listing).To(Equal(!answers))
		})
	}
}

// Guards against a standby that refuses all later callers because the hosts from which it wanted a
// sample have died.
func TestSampleThatNobodySendsIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	c := startedStandby(t)
	now := c.d.now()
	c.startSample(now, []string{"127.0.0.1:1"})
	c.continueLoad(now.Add(loadIdleTimeout - time.Millisecond))
	g.Expect(c.load.active).To(BeTrue())
	c.continueLoad(now.Add(2 * loadIdleTimeout))
	g.Expect(c.load.active).To(BeFalse())
}

// Guards against hosts that all fetch every change from the store while their watcher is behind,
// although the store sends the changes to them no sooner.
func TestStoreIsNotReadPastAWatcherThatIsBehind(t *testing.T) {
	for _, behind := range []bool{true, false} {
		t.Run(fmt.Sprint("behind ", behind), func(t *testing.T) {
			g := NewWithT(t)
			c := startedStandby(t)
			c.confirmRequests.pending[1] = pendingConfirm{withoutUpstreams: true, sentAt: c.d.now()}
			c.handleConfirmAnswer(&fleet.ConfirmAnswer{Id: 1, Base: 9, Behind: behind})
			g.Expect(c.readsAsFallback()).To(Equal(!behind))
			g.Expect(c.d.wakeReader).To(HaveLen(map[bool]int{true: 0, false: 1}[behind]))
		})
	}
}

// Guards against an upstream that stays, though it left between a copy from a peer and the host's own watch.
func TestWatchFromALaterRevisionDoesNotConfirmCopiedUpstreams(t *testing.T) {
	const copied, watched = 80, 100
	g := NewWithT(t)
	c := startedStandby(t)
	c.handleChanges(c.completeTo(), kv.Changes{Revision: watched}, c.d.now())
	confirmedAt := c.confirmedAt
	c.addUpstreams(c.d.now(), registrations(10), copied)
	c.handleChanges(watched, kv.Changes{Revision: watched}, c.d.now())
	g.Expect(c.upstreamDemand.known).To(BeFalse())
	g.Expect(c.confirmedAt).To(Equal(confirmedAt))
	g.Expect(c.completeTo()).To(BeEquivalentTo(copied), "the follower continues from there")
	left := upstreamItem(0, watched)
	c.handleChanges(copied, kv.Changes{Events: []kv.Event{{Item: left, Deleted: true}}, Revision: watched}, c.d.now())
	g.Expect(c.upstreamDemand.known).To(BeTrue())
	g.Expect(c.confirmedAt).To(BeTemporally(">", confirmedAt))
	g.Expect(c.d.table.Size()).To(Equal(9))
}
