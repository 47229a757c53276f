package place_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

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
