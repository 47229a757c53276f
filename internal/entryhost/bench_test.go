package entryhost_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// BenchmarkRequest measures a caller's request from its arrival to its response. The caller and
// the upstream run in the same process.
func BenchmarkRequest(b *testing.B) {
	g := NewWithT(b)
	s := newSite(b)
	for i := range 16 {
		s.worker("i-"+string(rune('a'+i)), "s", "a1", 0)
	}
	s.rate = 1_000_000
	s.declare(4, "k1")
	h := s.host("h1", "a1")
	s.awaitServing()
	b.ReportAllocs()
	for b.Loop() {
		g.Expect(s.read(h).status).To(Equal(200))
	}
}
