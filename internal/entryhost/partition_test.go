package entryhost_test

import (
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
	for i, zone := range []string{"a1", "a1", "a2", "a2", "b1"} {
		p.upstreams = append(p.upstreams, p.worker(fmt.Sprint("i-", i), "s", zone, 20*time.Millisecond))
	}
	p.declare(4, "k1")
	for i, zone := range zones {
		p.uplinks = append(p.uplinks, &standin.Uplink{})
		p.hostWith(fmt.Sprint("h", i), zone, hostOptions{uplink: p.uplinks[i]})
	}
	p.awaitServing()
	NewWithT(t).Eventually(func() []string { return directory(t, p.hosts[0], "a") }, "5s", "20ms").Should(HaveLen(len(zones)))
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
		go func() { served <- p.callAbout(object, h, "POST", "/post/1", "k1", "weight=200").status == http.StatusOK }()
	}
	all := true
	for range 2 * pairs {
		all = <-served && all
	}
	return all
}

// expectNoDuplicates checks that no posting has run twice.
func (p *partitionedSite) expectNoDuplicates() {
	runs := map[string]int{}
	for _, u := range p.upstreams {
		for _, r := range u.Runs() {
			if r.Method == http.MethodPost {
				runs[r.ID]++
				NewWithT(p.t).Expect(runs[r.ID]).To(Equal(1), r.ID)
			}
		}
	}
}

// Guards against callers who are refused by a host that has lost its links to all upstreams while
// other hosts reach them.
func TestHostWithoutLinksToUpstreamsServesItsCallers(t *testing.T) {
	for name, zones := range map[string][]string{"one host": {"a1", "a1", "a2"}, "all hosts of a zone": {"a1", "a2", "a1", "a2"}} {
		for _, fault := range standin.UplinkFaults {
			t.Run(name+", "+string(fault), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				p := newPartitionedSite(t, zones...)
				partitioned := []int{0}
				if name != "one host" {
					partitioned = []int{0, 2}
				}
				for _, i := range partitioned {
					p.uplinks[i].SetFault(fault)
				}
				for _, i := range partitioned {
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
