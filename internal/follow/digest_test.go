package follow_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/follow"
)

func TestDigestCoversRelevantState(t *testing.T) {
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
		{"no change", func(*follow.Digest) {}, true},
		{"liveness fields of an upstream", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.Sequence, u.Revision = 8, 99 }))
		}, true},
		{"zone that is not evacuated", func(d *follow.Digest) { d.SetZone("b1", false) }, true},
		{"same configuration version again", func(d *follow.Digest) { d.SetVersion(3) }, true},
		{"new configuration version", func(d *follow.Digest) { d.SetVersion(4) }, false},
		{"zone evacuated", func(d *follow.Digest) { d.SetZone("a1", true) }, false},
		{"upstream draining", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.State = catalog.StateDraining }))
		}, false},
		{"upstream cold", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.ColdRemaining = time.Second }))
		}, false},
		{"upstream restarted", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.StartedMs = 6 })) }, false},
		{"service of an upstream changed", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.Service = "q" })) }, false},
		{"upstream removed", func(d *follow.Digest) { d.RemoveUpstream("i-1") }, false},
		{"second upstream added", func(d *follow.Digest) { d.SetUpstream(changed(func(u *catalog.Upstream) { u.ID = "i-2" })) }, false},
		{"second upstream added and removed", func(d *follow.Digest) {
			d.SetUpstream(changed(func(u *catalog.Upstream) { u.ID = "i-2" }))
			d.RemoveUpstream("i-2")
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var first, second follow.Digest
			first.SetVersion(3)
			first.SetUpstream(u)
			second.SetUpstream(u)
			second.SetVersion(3)
			g.Expect(first.Sum()).To(Equal(second.Sum()), "the order of the entries must not matter")
			c.change(&second)
			g.Expect(first.Sum() == second.Sum()).To(Equal(c.same))
		})
	}
}

func TestEmptyDigest(t *testing.T) {
	g := NewWithT(t)
	var d follow.Digest
	g.Expect(d.Sum()).To(BeZero())
	d.SetZone("a1", true)
	g.Expect(d.Sum()).NotTo(BeZero())
}
