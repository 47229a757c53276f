package place

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
)

// Guards against an index that grows with each object ever requested, and against
// entries for removed upstreams whose responses arrive after the removal.
func TestHoldersAreBoundedAndExcludeRemovedUpstreams(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := NewTable(Host{Instance: "me", Zone: "z", Region: "r"}, map[string]string{"z": "r"})
	put := func(id string) {
		table.PutUpstream(now, catalog.Upstream{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4, State: catalog.StateReady, StartedMs: 1})
	}
	put("stays")
	put("leaves")
	var unfinished []Choice
	for i := range 50 * maxWarmObjects {
		now = now.Add(time.Millisecond)
		c, err := table.Choose(now, Query{Service: "s", Route: "r", Object: fmt.Sprint(i), Target: time.Second, Remaining: time.Hour})
		if err != nil {
			continue
		}
		if c.ID == "leaves" && len(unfinished) == 0 {
			unfinished = append(unfinished, c)
			continue
		}
		table.Done(now, c, Report{Result: Succeeded, TimeToHeader: time.Millisecond})
	}
	g.Expect(unfinished).NotTo(BeEmpty())
	table.RemoveUpstream(now, "leaves")
	for _, c := range unfinished {
		table.Done(now, c, Report{Result: Succeeded, TimeToHeader: time.Millisecond})
	}
	held := 0
	for _, list := range table.holders {
		held += len(list)
		for _, w := range list {
			g.Expect(w.ID).To(Equal("stays"))
		}
	}
	g.Expect(held).To(Equal(len(table.byID["stays"].warm)))
	g.Expect(held).To(BeNumerically("<=", maxWarmObjects))
}
