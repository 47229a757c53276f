package entryhost_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/standin"
)

// partitionedSite is a site whose hosts can lose their links to all upstreams.
type partitionedSite struct {
	*site
	uplinks   []*standin.Uplink
	upstreams []*standin.PlatformUpstream
	objects   int
}

func newPartitionedSite(t *testing.T, zones ...string) *partitionedSite {
	p := &partitionedSite{site: newSite(t)}
	logs := &syncBuffer{}
	p.logs = logs
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	for i, zone := range []string{"a1", "a1", "a2", "a2", "b1"} {
		p.upstreams = append(p.upstreams, p.worker(fmt.Sprint("i-", i), "s", zone, 20*time.Millisecond))
	}
	p.declare(4, "k1")
	for i, zone := range zones {
		p.uplinks = append(p.uplinks, &standin.Uplink{})
		p.hostWith(fmt.Sprint("h", i), zone, hostOptions{uplink: p.uplinks[i]})
	}
	p.awaitServing()
	for _, h := range p.hosts {
		NewWithT(t).Eventually(func() string { return p.metrics(h) }, "5s", "20ms").Should(
			ContainSubstring(fmt.Sprintf("balsambarrow_tunnel_peers %d\n", len(zones)-1)))
	}
	return p
}

// serves sends reads and postings about different objects to a host, all at the same time, and
// reports whether the first attempt of each succeeded.
func (p *partitionedSite) serves(h *host) bool {
	const pairs = 6
	served := make(chan bool, 2*pairs)
	for range pairs {
		p.objects++
		object := fmt.Sprint(p.objects)
		go func() { served <- p.callAbout(object, h, "GET", "/read/1", "k1", "").status == http.StatusOK }()
		go func() {
			served <- p.callAbout(object, h, "POST", "/post/1", "k1", "weight=200").status == http.StatusOK
		}()
	}
	all := true
	for range 2 * pairs {
		all = <-served && all
	}
	return all
}

// expectNoDuplicates checks that no posting has run twice.
func (p *partitionedSite) expectNoDuplicates() {
	seen := map[string]int{}
	for _, r := range p.runs() {
		if r.Method == http.MethodPost {
			seen[r.ID]++
			NewWithT(p.t).Expect(seen[r.ID]).To(Equal(1), r.ID)
		}
	}
}

// runs returns the requests that all upstreams have run.
func (p *partitionedSite) runs() []standin.PlatformRun {
	var out []standin.PlatformRun
	for _, u := range p.upstreams {
		out = append(out, u.Runs()...)
	}
	return out
}

// Guards against callers who are refused by a host that has lost its links to all upstreams while
// other hosts reach them.
func TestHostWithoutLinksToUpstreamsServesItsCallers(t *testing.T) {
	for name, c := range map[string]struct {
		zones       []string
		partitioned []int
	}{
		"one host":            {[]string{"a1", "a1", "a2"}, []int{0}},
		"all hosts of a zone": {[]string{"a1", "a2", "a1", "a2"}, []int{0, 2}},
		"all hosts but one":   {[]string{"a1", "a2", "a1", "a2"}, []int{0, 1, 2}},
	} {
		for _, fault := range standin.UplinkFaults {
			t.Run(name+", "+string(fault), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				p := newPartitionedSite(t, c.zones...)
				for _, i := range c.partitioned {
					p.uplinks[i].SetFault(fault)
				}
				for _, i := range c.partitioned {
					g.Eventually(func() bool { return p.serves(p.hosts[i]) }, "4s", "1ms").Should(BeTrue())
					g.Expect(p.serves(p.hosts[i])).To(BeTrue())
					g.Expect(p.hosts[i].ready()).To(BeTrue())
				}
				for i, h := range p.hosts {
					p.uplinks[i].SetFault(standin.UplinkWorks)
					g.Eventually(func() bool { return p.serves(h) }, "4s", "1ms").Should(BeTrue())
				}
				p.expectNoDuplicates()
			})
		}
	}
}

// tunnelled returns a site of which the first host has lost its links and uses tunnels.
func tunnelled(t *testing.T, zones ...string) *partitionedSite {
	p := newPartitionedSite(t, zones...)
	p.uplinks[0].SetFault(standin.UplinkReset)
	NewWithT(t).Eventually(func() bool { return p.serves(p.hosts[0]) }, "4s", "1ms").Should(BeTrue())
	return p
}

func (p *partitionedSite) setHandlers(handler func(http.ResponseWriter, *http.Request)) {
	for _, u := range p.upstreams {
		u.SetHandler(handler)
	}
}

// Guards against a posting that runs twice, or is reported as not run, when the host behind which
// it runs dies.
func TestTunnelThatBreaksLeavesTheOutcomeUnknown(t *testing.T) {
	g := NewWithT(t)
	p := tunnelled(t, "a1", "a2")
	arrived := make(chan struct{}, 8)
	p.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	answers := make(chan response, 1)
	go func() { answers <- p.post(p.hosts[0]) }()
	<-arrived
	p.hosts[1].stopped.Store(true)
	p.hosts[1].daemon.Kill()
	g.Expect((<-answers).status).To(Equal(http.StatusBadGateway))
	p.expectNoDuplicates()
}

// Guards against requests that are cut when the host through which they are sent is stopped as
// planned.
func TestStopCompletesRequestsInTunnels(t *testing.T) {
	g := NewWithT(t)
	p := tunnelled(t, "a1", "a2", "a2")
	arrived := make(chan struct{}, 16)
	p.setHandlers(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		time.Sleep(2500 * time.Millisecond)
		w.Header().Set("X-Response-Signature", "s")
		_, _ = fmt.Fprint(w, r.Header.Get("X-Request-Id"))
	})
	const requests = 6
	answers := make(chan response, requests)
	for i := range requests {
		go func() { answers <- p.callAbout(fmt.Sprint(i), p.hosts[0], "POST", "/post/1", "k1", "weight=200") }()
	}
	for range requests {
		<-arrived
	}
	stopping := p.hosts[1]
	stopping.stopped.Store(true)
	stopping.daemon.Stop()
	for range requests {
		a := <-answers
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusOK), a.body)
	}
	p.setHandlers(nil)
	g.Expect(p.serves(p.hosts[0])).To(BeTrue(), "through the other host")
	p.expectNoDuplicates()
}

// Guards against a planned stop that waits for idle tunnels of hosts whose links are up again.
func TestStopDoesNotWaitForIdleTunnels(t *testing.T) {
	g := NewWithT(t)
	p := tunnelled(t, "a1", "a2")
	p.uplinks[0].SetFault(standin.UplinkWorks)
	g.Eventually(func() string { return p.metrics(p.hosts[0]) }, "5s", "10ms").Should(ContainSubstring("balsambarrow_upstream_links_down 0\n"))
	g.Expect(p.metrics(p.hosts[1])).NotTo(ContainSubstring("balsambarrow_tunnels_served 0\n"))
	stopping := p.hosts[1]
	stopping.stopped.Store(true)
	stopped := make(chan struct{})
	go func() {
		stopping.daemon.Stop()
		close(stopped)
	}()
	g.Eventually(stopping.daemon.Tunnels, "2s", "10ms").Should(BeZero())
	<-stopped
}

// Guards against requests that go on at an upstream behind a tunnel after their caller has left.
func TestCallerDisconnectCancelsRequestInTunnel(t *testing.T) {
	g := NewWithT(t)
	p := tunnelled(t, "a1", "a2")
	arrived, canceled := make(chan struct{}, 8), make(chan struct{}, 8)
	p.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		canceled <- struct{}{}
	})
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.hosts[0].listen.Callers+"/read/1", nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "x.example"
	r.Header = http.Header{"X-Request-Id": {"leaves"}, "Authorization": {"Bearer k1"}}
	go func() {
		<-arrived
		leave()
	}()
	_, err = http.DefaultClient.Do(r)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(canceled, "5s").Should(Receive())
}

// Guards against callers who wait although no host reaches an upstream, and against upstreams that
// are avoided once the links are back.
func TestAllHostsWithoutLinksRefuseAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPartitionedSite(t, "a1", "a2")
	for _, u := range p.uplinks {
		u.SetFault(standin.UplinkReset)
	}
	for _, h := range p.hosts {
		g.Eventually(func() int { return p.post(h).status }, "4s", "1ms").Should(Equal(http.StatusServiceUnavailable))
		before := len(p.runs())
		a := p.post(h)
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(p.runs()).To(HaveLen(before))
	}
	for _, u := range p.uplinks {
		u.SetFault(standin.UplinkWorks)
	}
	for _, h := range p.hosts {
		g.Eventually(func() bool { return p.serves(h) }, "8s", "10ms").Should(BeTrue())
	}
}

// Guards against withdrawn keys, evacuated zones and leaving upstreams that a host without links
// does not respect.
func TestHostWithoutLinksFollowsTheStore(t *testing.T) {
	g := NewWithT(t)
	p := tunnelled(t, "a1", "a2", "b1")
	p.store.Put("op/evacuate/a1", []byte(`{}`))
	zoneA1 := func() int { return len(p.upstreams[0].Runs()) + len(p.upstreams[1].Runs()) }
	g.Eventually(func() bool {
		before := zoneA1()
		return p.serves(p.hosts[0]) && zoneA1() == before
	}, "5s", "10ms").Should(BeTrue())
	before := zoneA1()
	g.Expect(p.serves(p.hosts[0])).To(BeTrue())
	g.Expect(zoneA1()).To(Equal(before))
	p.declare(9, "k2")
	g.Eventually(func() int { return p.post(p.hosts[0]).status }, "5s", "10ms").Should(Equal(http.StatusUnauthorized))
	g.Expect(p.call(p.hosts[0], "POST", "/post/1", "k2", "").status).To(Equal(http.StatusOK))
	p.expectNoDuplicates()
}
