package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
	"balsambarrow/internal/traffic"
)

// announcementKinds are what an upstream may announce in a response: how a host observes it,
// whether it is in force, and how it is passed on to another host; pass is nil if it is not.
var announcementKinds = []struct {
	name    string
	observe func(*place.Table, place.Choice)
	inForce func(*place.Table) bool
	pass    func(*place.Table) (apply func())
}{
	{
		"rate limit",
		func(tb *place.Table, c place.Choice) {
			tb.ObserveRateLimit(start, c, traffic.RateLimit{Limited: true, PerSecond: 2})
		},
		func(tb *place.Table) bool { return tb.RateLimited() == 1 },
		func(tb *place.Table) func() {
			reports := tb.RateLimitReports(start)
			return func() { tb.ApplyRateLimitReports(start, reports) }
		},
	},
	{
		"leaving",
		func(tb *place.Table, c place.Choice) { tb.ObserveLeaving(c) },
		func(tb *place.Table) bool {
			_, err := tb.Choose(start.Add(time.Second), query("1"))
			return err != nil
		},
		func(tb *place.Table) func() {
			reports := tb.LeavingReports()
			return func() { tb.ApplyLeavingReports(reports) }
		},
	},
	{
		"pause",
		func(tb *place.Table, c place.Choice) { tb.ObserveRetryAfter(start, c, 3*time.Second) },
		func(tb *place.Table) bool { return tb.Paused(start.Add(2*time.Second)) == 1 },
		nil,
	},
}

// Guards against an announcement that is forgotten, and against one that outlives its instance.
func TestAnnouncementBelongsToOneInstance(t *testing.T) {
	restarted := upstream("x", "a1")
	restarted.StartedMs = 2
	for _, kind := range announcementKinds {
		for _, c := range []struct {
			name    string
			change  func(*place.Table, place.Choice)
			inForce bool
		}{
			{"next registration", func(tb *place.Table, _ place.Choice) { tb.PutUpstream(start, upstream("x", "a1")) }, true},
			{"registration expires and returns", func(tb *place.Table, _ place.Choice) {
				tb.RemoveUpstream(start, "x")
				tb.PutUpstream(start, upstream("x", "a1"))
			}, true},
			{"response arrives while the registration is missing", func(tb *place.Table, c place.Choice) {
				tb.RemoveUpstream(start, "x")
				kind.observe(tb, c)
				tb.PutUpstream(start, upstream("x", "a1"))
			}, true},
			{"restart", func(tb *place.Table, _ place.Choice) { tb.PutUpstream(start, restarted) }, false},
			{"registration expires and the upstream restarts", func(tb *place.Table, _ place.Choice) {
				tb.RemoveUpstream(start, "x")
				tb.PutUpstream(start, restarted)
			}, false},
			{"response of the earlier instance arrives late", func(tb *place.Table, c place.Choice) {
				tb.PutUpstream(start, restarted)
				kind.observe(tb, c)
			}, false},
			{"report about the earlier instance arrives late", func(tb *place.Table, _ place.Choice) {
				apply := func() {}
				if kind.pass != nil {
					apply = kind.pass(tb)
				}
				tb.PutUpstream(start, restarted)
				apply()
			}, false},
		} {
			t.Run(kind.name+"/"+c.name, func(t *testing.T) {
				g := NewWithT(t)
				table := newTable(t, "a1")
				table.PutUpstream(start, upstream("x", "a1"))
				choice := chooseAt(t, table, start)
				kind.observe(table, choice)
				g.Expect(kind.inForce(table)).To(BeTrue())
				c.change(table, choice)
				g.Expect(kind.inForce(table)).To(Equal(c.inForce))
			})
		}
	}
}
