package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

// All hosts start again. Objects must be asked for where they were, but not at an
// upstream that has itself started again meanwhile, nor after it has forgotten them.
func TestRestoredObjectsKeepTheirUpstream(t *testing.T) {
	cases := []struct {
		name   string
		change func(*place.Table, *place.LearnedState)
		stays  bool
	}{
		{"upstreams lived on", func(*place.Table, *place.LearnedState) {}, true},
		{"upstream started again", func(tb *place.Table, _ *place.LearnedState) {
			u := upstream("a1-9", "a1")
			u.Born = 2
			tb.PutUpstream(start, u)
		}, false},
		{"used too long ago", func(_ *place.Table, m *place.LearnedState) { m.Upstreams[0].Objects[0].Age = time.Minute }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			// The upstream that answers is not the first in rank among those of later.
			before := newTable(t, "a1")
			before.PutUpstream(start, upstream("a1-9", "a1"))
			g.Expect(placeAndFinish(t, before, start, query("object")).ID).To(Equal("a1-9"))
			g.Expect(placeAndFinish(t, newFullTable(t, "a1"), start, query("object")).ID).NotTo(Equal("a1-9"))
			m := before.LearnedState(start)
			g.Expect(m.Upstreams).To(HaveLen(1))

			after := newFullTable(t, "a1")
			after.PutUpstream(start, upstream("a1-9", "a1"))
			c.change(after, &m)
			g.Expect(after.Restore(start, m)).To(Equal(map[bool]int{true: 1}[c.stays]))
			choice := placeAndFinish(t, after, start, query("object"))
			g.Expect(choice.Warm).To(Equal(c.stays))
			g.Expect(choice.ID == "a1-9").To(Equal(c.stays))
		})
	}
}
