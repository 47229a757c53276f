package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/memory"
)

var start = time.Unix(1000, 0)

// hold sends bodies to an upstream until one does not fit, and returns the bytes that it holds.
func hold(u *memory.UpstreamBytes, c *memory.Crashes, body, bound int64) int64 {
	for u.Fits(body, bound) && u.Held() < 100*bound {
		u.Add(c, body)
	}
	return u.Held()
}

// Guards against an upstream that crashes because of the bodies that it holds, again and again: the
// next one holds less, and after a while as much as before.
func TestCrashLowersTheBound(t *testing.T) {
	g := NewWithT(t)
	var c memory.Crashes
	const configured = 4 * mb
	for range 1000 {
		var u memory.UpstreamBytes
		u.Add(&c, 60_000)
	}
	var u memory.UpstreamBytes
	held := hold(&u, &c, 360_000, c.Bound(start, configured))
	g.Expect(held).To(BeNumerically("~", configured, 400_000))
	g.Expect(u.Crashed(&c, start, configured)).To(BeTrue())
	u.Remove(360_000)
	g.Expect(u.Crashed(&c, start.Add(time.Millisecond), configured)).To(BeFalse(), "the other requests of the same crash")
	var successor memory.UpstreamBytes
	g.Expect(hold(&successor, &c, 360_000, c.Bound(start, configured))).To(BeNumerically("<=", held*7/10))
	g.Expect(c.Bound(start.Add(time.Minute), configured)).To(BeEquivalentTo(configured))
}

// Guards against a bound that other crashes lower: upstreams that hold what they usually hold crash
// too, and small bodies must go on as before.
func TestUsualCrashesDoNotLowerTheBound(t *testing.T) {
	g := NewWithT(t)
	var c memory.Crashes
	const configured = 4 * mb
	for range 1000 {
		var u memory.UpstreamBytes
		for range 6 {
			u.Add(&c, 60_000)
		}
		g.Expect(u.Crashed(&c, start, configured)).To(BeFalse())
	}
	g.Expect(c.Bound(start, configured)).To(BeEquivalentTo(configured))
	var u memory.UpstreamBytes
	hold(&u, &c, 60_000, configured)
	g.Expect(u.Fits(300, configured)).To(BeTrue())
	g.Expect(u.Fits(60_000, configured)).To(BeFalse())
	g.Expect(new(memory.UpstreamBytes).Fits(8*mb, configured)).To(BeTrue(), "a body larger than the bound goes to an upstream that holds nothing")
}
