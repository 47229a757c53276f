package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// Guards against requests that all go to upstreams which reject them, because these report free
// slots.
func TestUpstreamThatRejectsWithFreeSlotsIsEjected(t *testing.T) {
	idle := traffic.Load{Running: 1, Slots: 4}
	for _, c := range []struct {
		name        string
		waitsAtHost bool
		load        traffic.Load
		// ejected is the number of ejected upstreams of the four that reject.
		ejected int
	}{
		{"free slots", true, idle, 4},
		{"full", true, traffic.Load{Running: 4, Waiting: 12, Slots: 4}, 0},
		{"without a queue at the host", false, idle, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newFullTable(t, "a1")
			q := query("")
			q.WaitsAtHost = c.waitsAtHost
			rejections := 0
			for i := range 1000 {
				now := start.Add(time.Duration(i) * 2 * time.Millisecond)
				choice, err := table.Choose(now, q)
				g.Expect(err).NotTo(HaveOccurred())
				if choice.Zone != "a1" {
					table.Done(now, choice, place.Report{Result: place.Succeeded, HasLoad: true, Load: idle})
					continue
				}
				rejections++
				table.Done(now, choice, place.Report{Result: place.Shed, HasLoad: true, Load: c.load})
				g.Expect(table.Ejected(now)).To(BeNumerically("<=", c.ejected))
			}
			if c.ejected > 0 {
				// Each upstream may reject two requests, and one after each ejection.
				g.Expect(rejections).To(BeNumerically("<=", 4*(2+2)))
			}
		})
	}
}

// Guards against an upstream that stays ejected after it accepts requests again.
func TestAcceptedRequestEndsTheCountOfRejections(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	table.PutUpstream(start, upstream("u", "a1"))
	q := query("")
	q.WaitsAtHost = true
	end := func(at time.Duration, result place.Result) {
		now := start.Add(at)
		choice, err := table.Choose(now, q)
		g.Expect(err).NotTo(HaveOccurred())
		table.Done(now, choice, place.Report{Result: result, HasLoad: true, Load: traffic.Load{Running: 1, Slots: 4}})
	}
	for i := range 20 {
		at := time.Duration(i) * 10 * time.Millisecond
		end(at, place.Shed)
		end(at, place.Succeeded)
		g.Expect(table.Ejected(start.Add(at))).To(BeZero())
	}
	end(time.Second, place.Shed)
	end(time.Second, place.Shed)
	g.Expect(table.Ejected(start.Add(time.Second))).To(Equal(1))
}
