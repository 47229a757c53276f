package place_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/place"
)

// Guards against an upstream that is sent more bodies than it bears: other upstreams get them, and
// once none has room the request is refused, while small ones go on.
func TestUpstreamsHoldBoundedBytes(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t, "a1")
	table.SetUpstreamBytes(1_000_000, nil)
	table.PutUpstream(start, upstream("x", "a1"))
	table.PutUpstream(start, upstream("y", "a1"))
	large := query("1")
	large.BodyBytes = 600_000
	first, err := table.Choose(start, large)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := table.Choose(start, large)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.ID).NotTo(Equal(first.ID))
	_, err = table.Choose(start, large)
	var none *place.NoUpstreamError
	g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
	g.Expect(none.Reason).To(Equal(place.AllHoldBytes))
	small := query("1")
	small.BodyBytes = 300
	c, err := table.Choose(start, small)
	g.Expect(err).NotTo(HaveOccurred())
	table.Done(start, c, place.Report{Result: place.Succeeded})
	table.Done(start, second, place.Report{Result: place.Canceled})
	held, _ := table.UpstreamBytes(start)
	g.Expect(held).To(BeEquivalentTo(600_000))
	c, err = table.Choose(start, large)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ID).To(Equal(second.ID))
}
