package follow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/follow"
)

func TestDigestTellsWhatDecides(t *testing.T) {
	u := catalog.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Zone: "a1", Slots: 4, State: catalog.StateReady, Sequence: 7, StartedMs: 5}
	changed := func(f func(*catalog.Upstream)) catalog.Upstream {
		c := u
		f(&c)
		return c
	}
	for _, c := range []struct {
		name   string
		change func(d *follow.Digest)
		same   bool
	}{
		{"nothing", func(*follow.Digest) {}, true},
		{"a mark of life", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.Sequence, u.Revision = 8, 99 }))
		}, true},
		{"a zone that is not evacuated", func(d *follow.Digest) { d.SetZone("b1", false) }, true},
		{"the same version again", func(d *follow.Digest) { d.SetVersion(3) }, true},
		{"a version", func(d *follow.Digest) { d.SetVersion(4) }, false},
		{"a zone evacuated", func(d *follow.Digest) { d.SetZone("a1", true) }, false},
		{"draining", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.State = catalog.StateDraining }))
		}, false},
		{"cold", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.ColdRemaining = time.Second }))
		}, false},
		{"started again", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.StartedMs = 6 })) }, false},
		{"another service", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.Service = "q" })) }, false},
		{"gone", func(d *follow.Digest) { d.RemoveUpstream("i-1") }, false},
		{"another upstream", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.ID = "i-2" })) }, false},
		{"another upstream come and gone", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.ID = "i-2" }))
			d.RemoveUpstream("i-2")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var one, other follow.Digest
			one.SetVersion(3)
			one.SetUpstream(u)
			other.SetUpstream(u)
			other.SetVersion(3)
			g.Expect(one.Sum()).To(Equal(other.Sum()), "in any order")
			c.change(&other)
			g.Expect(one.Sum() == other.Sum()).To(Equal(c.same))
		})
	}
}

func TestDigestOfNothing(t *testing.T) {
	g := NewWithT(t)
	var d follow.Digest
	g.Expect(d.Sum()).To(BeZero())
	d.SetZone("a1", true)
	g.Expect(d.Sum()).NotTo(BeZero())
}
