package memory_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/memory"
)

const mb = 1 << 20

// fill admits requests until one is refused, and returns how many were admitted.
func fill(b *memory.Budget, r memory.Request) int {
	for n := 0; ; n++ {
		if _, err := b.Admit(r); err != nil {
			return n
		}
	}
}

// Guards against uploads that take the memory of reads, and against a budget that is exceeded: slow
// callers upload until nothing more is admitted.
func TestUploadsLeaveRoomForReads(t *testing.T) {
	g := NewWithT(t)
	b := memory.NewBudget(136, 0.6)
	limit := b.Usage().Limit
	uploads := fill(b, memory.Request{Body: 100_000})
	g.Expect(uploads).To(BeNumerically(">", 100))
	_, err := b.Admit(memory.Request{Body: 100_000})
	var full *memory.FullError
	g.Expect(errors.As(err, &full)).To(BeTrue())
	g.Expect(full.Kind).To(Equal(memory.Bodies))
	g.Expect(fill(b, memory.Request{})).To(BeNumerically(">=", 500), "reads beside %d uploads", uploads)
	g.Expect(b.Usage().Total()).To(BeNumerically("<=", limit))
}

// Guards against the wrong ones being refused: at each level, the request that matters less does not
// fit if the one that matters more does not.
func TestWhoIsRefusedFirst(t *testing.T) {
	usual := memory.Request{Body: 60_000, Priority: 1}
	for name, c := range map[string]struct{ less, more memory.Request }{
		"less urgent":   {memory.Request{Body: 60_000, Priority: 3}, usual},
		"over its rate": {memory.Request{Body: 60_000, Priority: 1, OverRate: true}, usual},
		"large":         {memory.Request{Body: 4 * mb, Priority: 1}, usual},
		"upload":        {usual, memory.Request{Priority: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := memory.NewBudget(136, 0.6)
			fill(b, c.less)
			g.Expect(fill(b, c.more)).To(BeNumerically(">", 0))
			b = memory.NewBudget(136, 0.6)
			fill(b, c.more)
			g.Expect(fill(b, c.less)).To(BeZero())
		})
	}
}

// Guards against bytes that stay charged: the budget of a host shrinks with each request.
func TestReleasedBytesAreFree(t *testing.T) {
	g := NewWithT(t)
	b := memory.NewBudget(284, 0.6)
	for range 1000 {
		h, err := b.Admit(memory.Request{Body: 5000})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.GrowBody(10_000)).To(Succeed())
		g.Expect(h.GrowResponse(mb)).To(Succeed())
		h.ReleaseBody()
		h.Release()
		g.Expect(b.OpenConnection()).To(Succeed())
		b.CloseConnection()
	}
	g.Expect(b.Usage().Total()).To(BeZero())
}

// Guards against a body without a length that grows past a full budget.
func TestGrowthIsRefused(t *testing.T) {
	g := NewWithT(t)
	b := memory.NewBudget(136, 0.6)
	h, err := b.Admit(memory.Request{UnknownLength: true, Body: 4 << 10})
	g.Expect(err).NotTo(HaveOccurred())
	fill(b, memory.Request{Body: 100_000})
	var full *memory.FullError
	g.Expect(errors.As(h.GrowBody(256<<10), &full)).To(BeTrue())
	h.Release()
}

// Guards against connections that take the memory of the requests on them.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := memory.NewBudget(136, 0.6)
	opened := 0
	for b.OpenConnection() == nil {
		opened++
		if opened == 2000 {
			g.Expect(b.ManyConnections()).To(BeTrue())
		}
	}
	g.Expect(opened).To(BeNumerically(">=", 2000))
	g.Expect(fill(b, memory.Request{})).To(BeNumerically(">", 300))
}

// Guards against deployments that are served otherwise than before: on the hosts of the earlier
// ones, 200 requests with their largest body, of the least urgent kind, and a usual response are held
// at once without a refusal, and 100 of a customer over its rate beside them.
func TestUsualLoadOfEarlierDeployments(t *testing.T) {
	for _, memoryMB := range []float64{160, 184, 284, 512, 536} {
		g := NewWithT(t)
		b := memory.NewBudget(memoryMB, 0.6)
		hold := func(n int, r memory.Request) {
			for range n {
				g.Expect(b.OpenConnection()).To(Succeed())
				h, err := b.Admit(r)
				g.Expect(err).NotTo(HaveOccurred(), "%g MB", memoryMB)
				g.Expect(h.GrowResponse(30_000)).To(Succeed())
			}
		}
		hold(200, memory.Request{Body: 24_000, Priority: 4})
		hold(100, memory.Request{Body: 2000, Priority: 4, OverRate: true})
		g.Expect(b.ManyConnections()).To(BeFalse())
	}
}
