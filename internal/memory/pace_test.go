package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/memory"
)

// waitUntilEnded returns for how long a caller that moves the given bytes a second is waited for
// until it is ended; 0 if it is not within two minutes.
func waitUntilEnded(b *memory.Budget, bytesPerSecond int64) time.Duration {
	var s memory.Stall
	for at := memory.CheckInterval; at < 2*time.Minute; at += memory.CheckInterval {
		if s.Observe(memory.CheckInterval, bytesPerSecond, b.Pace()) {
			return at
		}
	}
	return 0
}

// Guards against slow callers that hold the memory for ever, and against callers that are cut off
// although they make progress and the budget holds.
func TestSlowestCallersAreEndedFirst(t *testing.T) {
	g := NewWithT(t)
	b := memory.NewBudget(136, 0.6)
	g.Expect(waitUntilEnded(b, 0)).To(Equal(10 * time.Second))
	g.Expect(waitUntilEnded(b, 200)).To(BeZero())
	for b.Usage().Total() < b.Usage().Limit*6/10 {
		_, err := b.Admit(memory.Request{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(waitUntilEnded(b, 0)).To(Equal(2 * time.Second))
	g.Expect(waitUntilEnded(b, 200)).To(Equal(2 * time.Second))
	g.Expect(waitUntilEnded(b, 4000)).To(BeZero())
	fill(b, memory.Request{})
	g.Expect(waitUntilEnded(b, 4000)).To(Equal(2 * time.Second))
	g.Expect(waitUntilEnded(b, 40_000)).To(BeZero())
}

// Guards against callers that are cut off because the process itself stood still.
func TestSuspendedProcessHasNotWaited(t *testing.T) {
	g := NewWithT(t)
	var s memory.Stall
	b := memory.NewBudget(136, 0.6)
	g.Expect(s.Observe(time.Minute, 0, b.Pace())).To(BeFalse())
	g.Expect(s.Waited()).To(Equal(memory.CheckInterval))
}
