package place_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/place"
)

// fail chooses an upstream until none is left, with the given result for each.
func fail(t *testing.T, table *place.Table, now time.Time, result place.Result) int {
	for n := 0; ; n++ {
		c, err := table.Choose(now, query(""))
		var none *place.NoUpstreamError
		if errors.As(err, &none) {
			return n
		}
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		table.Done(now, c, place.Report{Result: result})
		if n > 100 {
			t.Fatal("upstreams are not ejected")
		}
	}
}

// Guards against upstreams that are avoided after the host's own links have failed.
func TestForgetUnreachable(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	fail(t, table, start, place.Unreachable)
	g.Expect(table.Ejected(start)).To(Equal(16))
	later := start.Add(time.Second)
	g.Expect(table.Ejected(later)).To(BeZero())
	_, err := table.Choose(later, place.Query{Service: "s", Route: "r", Remaining: time.Second})
	g.Expect(err).NotTo(HaveOccurred(), "this host is the one that sends to cold upstreams")
	table.SetHosts([]place.Host{{Instance: "other", Zone: "b1", Region: "b"}})
	_, err = table.Choose(later, query(""))
	g.Expect(err).To(HaveOccurred(), "all may have restarted and be cold")
	table.ForgetUnreachable()
	_, err = table.Choose(later, query(""))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against upstreams that count as restarted because this host has no path to them.
func TestPathDownIsNoRestart(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	table.PutUpstream(start, upstream("x", "a1"))
	table.SetHosts([]place.Host{{Instance: "other", Zone: "a1", Region: "a"}})
	c, err := table.Choose(start, query(""))
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, c, place.Report{Result: place.PathDown})
	g.Expect(table.Ejected(start)).To(Equal(1))
	_, err = table.Choose(start.Add(time.Second), query(""))
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against upstreams that look far away because of the time that a tunnel takes to open.
func TestTunnelsDoNotCountAsRoundTrips(t *testing.T) {
	g := NewWithT(t)
	latency := func(relayed bool) time.Duration {
		table := newTable(t, "a1")
		table.PutUpstream(start, upstream("x", "b1"))
		for range 20 {
			c, err := table.Choose(start, query(""))
			g.Expect(err).NotTo(HaveOccurred())
			table.Done(start, c, place.Report{Result: place.Canceled, ConnectTime: 300 * time.Millisecond, Relayed: relayed})
		}
		c, err := table.Choose(start.Add(time.Second), query(""))
		g.Expect(err).NotTo(HaveOccurred())
		return c.ExpectedLatency
	}
	g.Expect(latency(false) - latency(true)).To(BeNumerically(">", 100*time.Millisecond))
}

func TestLocateAndSampleZones(t *testing.T) {
	g := NewWithT(t)
	table := newFullTable(t, "a1")
	draining := upstream("draining", "a1")
	draining.State = catalog.StateDraining
	table.PutUpstream(start, draining)
	table.SetEvacuatedZones(start, map[string]bool{"b2": true})
	u, ok := table.Locate("a2-1")
	g.Expect(ok).To(BeTrue())
	g.Expect(u.Zone).To(Equal("a2"))
	for _, address := range []string{"none", "draining", "b2-1"} {
		_, ok = table.Locate(address)
		g.Expect(ok).To(BeFalse(), address)
	}
	var sampled []string
	for _, u := range table.SampleZones(5) {
		sampled = append(sampled, u.Zone)
	}
	g.Expect(sampled).To(Equal([]string{"a1", "a2", "b1"}))
	g.Expect(table.SampleZones(1)).To(HaveLen(1))
}
