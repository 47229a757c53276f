package entryhost_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/entryhost"
	"balsambarrow/internal/standin"
)

// sharedSite is a site with one upstream of four slots, which two hosts of its zone use.
type sharedSite struct {
	*site
	upstream *standin.PlatformUpstream
	logs     *syncBuffer
}

func newSharedSite(t *testing.T, sharing entryhost.Mode) *sharedSite {
	p := &sharedSite{site: newSite(t), logs: &syncBuffer{}}
	p.site.logs, p.sharing = p.logs, sharing
	p.upstream = p.worker("i-1", "s", "a1", 0)
	p.declare(4, "k1")
	for i := range 2 {
		p.host(fmt.Sprint("h", i), "a1")
	}
	p.awaitServing()
	p.awaitMembership()
	return p
}

// awaitMembership waits until all hosts know each other as ready.
func (p *sharedSite) awaitMembership() {
	want := fmt.Sprintf("balsambarrow_tunnel_peers %d\n", len(p.hosts)-1)
	for _, h := range p.hosts {
		NewWithT(p.t).Eventually(func() string { return p.metrics(h) }, "5s", "20ms").Should(ContainSubstring(want))
	}
}

// hold sends requests to each host in turn, which the upstream keeps until the returned function is called.
// It returns the largest number that the upstream held, and how many were refused.
func (p *sharedSite) hold(requests int) (most, refused int) {
	g := NewWithT(p.t)
	var running, peak, ended atomic.Int64
	release := make(chan struct{})
	p.upstream.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		peak.Store(max(peak.Load(), running.Add(1)))
		<-release
		w.Header().Set("X-Response-Signature", "s")
		_, _ = fmt.Fprint(w, r.Header.Get("X-Request-Id"))
	})
	var calls sync.WaitGroup
	var rejected atomic.Int64
	for i := range requests {
		calls.Go(func() {
			if p.post(p.hosts[i%len(p.hosts)]).status == http.StatusServiceUnavailable {
				rejected.Add(1)
			}
			ended.Add(1)
		})
		g.Eventually(func() int64 { return running.Load() + ended.Load() }, "2s", "1ms").Should(BeEquivalentTo(i + 1))
	}
	close(release)
	calls.Wait()
	p.upstream.SetHandler(nil)
	return int(peak.Load()), int(rejected.Load())
}

// requests returns how many requests for room a host has counted with a result.
func (p *sharedSite) requests(h *host, result string) int {
	name := fmt.Sprintf(`balsambarrow_room_requests_total{result=%q} `, result)
	n := 0
	if _, rest, ok := strings.Cut(p.metrics(h), name); ok {
		_, err := fmt.Sscan(rest, &n)
		NewWithT(p.t).Expect(err).NotTo(HaveOccurred())
	}
	return n
}

// Guards against hosts that together send an upstream more than it has room for, because none sees
// the requests of the other.
func TestHostsShareTheRoomOfAnUpstream(t *testing.T) {
	g := NewWithT(t)
	p := newSharedSite(t, entryhost.ModeOn)
	most, refused := p.hold(12)
	g.Expect(most).To(Equal(8), "twice the slots")
	g.Expect(refused).To(Equal(4))
	g.Expect(p.requests(p.hosts[0], "unanswered") + p.requests(p.hosts[1], "unanswered")).To(BeZero())
	most, refused = p.hold(12)
	g.Expect(most).To(Equal(8), "all room is free again")
	g.Expect(refused).To(Equal(4))
}

// Guards against messages and decisions of a feature that no deployment has asked for.
func TestNoRoomIsSharedUnlessAskedFor(t *testing.T) {
	g := NewWithT(t)
	p := newSharedSite(t, entryhost.ModeAuto)
	most, _ := p.hold(12)
	g.Expect(most).To(Equal(12))
	for _, h := range p.hosts {
		g.Expect(p.metrics(h)).NotTo(ContainSubstring("balsambarrow_room_requests_total"))
		g.Expect(p.metrics(h)).To(ContainSubstring("balsambarrow_room_slots 0\n"))
	}
}

// Guards against callers who are refused, or each wait, because the owner of an upstream's room has
// died.
func TestDeadOwnerDelaysOneRequest(t *testing.T) {
	g := NewWithT(t)
	p := newSharedSite(t, entryhost.ModeOn)
	owner, other := p.hosts[0], p.hosts[1]
	if other.daemon.OwnsRoom("i-1", 1_700_000_000_000) {
		owner, other = other, owner
	}
	g.Expect(p.post(other).status).To(Equal(http.StatusOK))
	g.Expect(p.requests(other, "unanswered")).To(BeZero())
	owner.stopped.Store(true)
	owner.daemon.Kill()
	for range 20 {
		g.Expect(p.post(other).status).To(Equal(http.StatusOK))
	}
	g.Expect(p.requests(other, "unanswered")).To(BeElementOf(1, 2))
	g.Expect(strings.Count(p.logs.String(), "room owner silent")).To(Equal(1))
	g.Eventually(func() int {
		p.post(other)
		return p.requests(other, "granted")
	}, "10s", "50ms").Should(BeNumerically(">", 5), "it owns the room itself")
}

// Guards against requests that wait for an owner which is not known yet or has just started, and
// against hosts that each go on as owners once they know each other.
func TestHostsThatStartTogetherDoNotWaitForOwners(t *testing.T) {
	g := NewWithT(t)
	p := newSharedSite(t, entryhost.ModeOn)
	for i := range 3 {
		p.host(fmt.Sprint("h", 2+i), "a2")
	}
	p.awaitServing()
	for _, h := range p.hosts {
		g.Expect(p.requests(h, "unanswered")).To(BeZero())
	}
	p.awaitMembership()
	most, _ := p.hold(15)
	g.Expect(most).To(BeNumerically("<=", 8))
}

// Guards against shared room that depends on the store.
func TestRoomIsSharedWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	p := newSharedSite(t, entryhost.ModeOn)
	p.store.SetFaultFunc(func(string) standin.StoreFault { return standin.StoreUnavailable })
	most, refused := p.hold(12)
	g.Expect(most).To(Equal(8))
	g.Expect(refused).To(Equal(4))
}
