package place_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

// All entry hosts restart. Restored objects must be sent to their previous upstream,
// unless that upstream has restarted too or the entry has expired.
func TestRestoredObjectsKeepTheirUpstream(t *testing.T) {
	cases := []struct {
		name     string
		change   func(*place.Table, *place.LearnedState)
		restored bool
	}{
		{"upstreams kept running", func(*place.Table, *place.LearnedState) {}, true},
		{"upstream restarted", func(tb *place.Table, _ *place.LearnedState) {
			u := upstream("a1-9", "a1")
			u.StartedMs = 2
			tb.PutUpstream(start, u)
		}, false},
		{"entry expired", func(_ *place.Table, m *place.LearnedState) { m.Upstreams[0].Objects[0].Age = time.Minute }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			// The upstream that responds does not rank first among the upstreams used later.
			before := newTable(t, "a1")
			before.PutUpstream(start, upstream("a1-9", "a1"))
			g.Expect(placeAndFinish(t, before, start, query("object")).ID).To(Equal("a1-9"))
			g.Expect(placeAndFinish(t, newFullTable(t, "a1"), start, query("object")).ID).NotTo(Equal("a1-9"))
			m := before.LearnedState(start)
			g.Expect(m.Upstreams).To(HaveLen(1))

			after := newFullTable(t, "a1")
			after.PutUpstream(start, upstream("a1-9", "a1"))
			c.change(after, &m)
			g.Expect(after.Restore(start, m)).To(Equal(map[bool]int{true: 1}[c.restored]))
			choice := placeAndFinish(t, after, start, query("object"))
			g.Expect(choice.Warm).To(Equal(c.restored))
			g.Expect(choice.ID == "a1-9").To(Equal(c.restored))
		})
	}
}
