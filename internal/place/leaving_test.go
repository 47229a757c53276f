package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

// Guards against an announcement that is forgotten, and against one that outlives its instance.
func TestLeavingBelongsToOneInstance(t *testing.T) {
	restarted := upstream("x", "a1")
	restarted.StartedMs = 2
	for _, c := range []struct {
		name   string
		change func(*place.Table, place.Choice)
		usable bool
	}{
		{"next registration is ready", func(tb *place.Table, _ place.Choice) { tb.PutUpstream(start, upstream("x", "a1")) }, false},
		{"registration expires and returns", func(tb *place.Table, _ place.Choice) {
			tb.RemoveUpstream(start, "x")
			tb.PutUpstream(start, upstream("x", "a1"))
		}, false},
		{"restart", func(tb *place.Table, _ place.Choice) { tb.PutUpstream(start, restarted) }, true},
		{"response of the earlier instance arrives late", func(tb *place.Table, c place.Choice) {
			tb.PutUpstream(start, restarted)
			tb.ObserveLeaving(c)
		}, true},
		{"report about the earlier instance arrives late", func(tb *place.Table, _ place.Choice) {
			reports := tb.LeavingReports()
			tb.PutUpstream(start, restarted)
			tb.ApplyLeavingReports(reports)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable(t, "a1")
			table.PutUpstream(start, upstream("x", "a1"))
			choice := chooseAt(t, table, start)
			g.Expect(table.ObserveLeaving(choice)).To(BeTrue())
			c.change(table, choice)
			_, err := table.Choose(start.Add(time.Second), query("1"))
			g.Expect(err == nil).To(Equal(c.usable), "%v", err)
		})
	}
}

// Guards against reports that are passed on for ever, from host to host.
func TestLeavingIsReportedByHostsThatWereTold(t *testing.T) {
	g := NewWithT(t)
	told, untold := newFullTable(t, "a1"), newFullTable(t, "b1")
	choice := chooseAt(t, told, start)
	g.Expect(told.ObserveLeaving(choice)).To(BeTrue())
	g.Expect(told.ObserveLeaving(choice)).To(BeFalse())
	g.Expect(untold.ApplyLeavingReports(told.LeavingReports())).To(Equal([]string{choice.ID}))
	g.Expect(untold.ApplyLeavingReports(told.LeavingReports())).To(BeEmpty())
	g.Expect(untold.LeavingReports()).To(BeEmpty())
	for range 40 {
		g.Expect(chooseAt(t, untold, start).ID).NotTo(Equal(choice.ID))
	}
}
