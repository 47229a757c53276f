package telemetry_test

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/telemetry"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// The reader of the daemon's output has stopped reading. Callers must not wait for
// the output, and the dropped lines must be reported once it is read again.
func TestStalledOutputDoesNotBlockCallers(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	e := telemetry.NewEvents(out, "info", "h1")
	dropped := make(chan string, 64)
	e.OnDropped = func(kind string, _ int) {
		select {
		case dropped <- kind:
		default:
		}
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(stop)
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 20_000 {
			e.Info("kind "+string(rune('a'+i%26)), "id", i)
		}
	}()
	g.Eventually(written, "20s").Should(BeClosed())
	close(out.release)
	g.Eventually(dropped, "10s").Should(Receive())
	close(stop)
	g.Eventually(ended, "10s").Should(BeClosed())
	out.mu.Lock()
	defer out.mu.Unlock()
	g.Expect(out.buf.String()).To(ContainSubstring("lines dropped"))
	g.Expect(strings.Count(out.buf.String(), "\n")).To(BeNumerically("<", 10_000))
}

func BenchmarkEvent(b *testing.B) {
	e := telemetry.NewEvents(&bytes.Buffer{}, "info", "h1")
	stop := make(chan struct{})
	defer close(stop)
	go e.Run(stop)
	b.ReportAllocs()
	for b.Loop() {
		e.Info("refused", "id", "9c41d07be2a35f68", "route", "r-1", "status", 503, "took", 12*time.Millisecond)
	}
}

// Guards against log lines that hold as many bytes as an upstream or a caller sends.
func TestLongValuesAreCut(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	e := telemetry.NewEvents(&out, "info", "h1")
	e.Info("answer lost", "id", strings.Repeat("i", 64<<10), "upstream", "i-1", "error", errors.New(strings.Repeat("\x01", 64<<10)))
	e.Info("short", "upstream", "i-2")
	stop := make(chan struct{})
	close(stop)
	e.Run(stop)
	lines := strings.SplitAfter(out.String(), "\n")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(len(lines[0])).To(BeNumerically("<", 8<<10))
	g.Expect(lines[0]).To(And(ContainSubstring("upstream=i-1"), ContainSubstring("i (65024 more bytes)"), ContainSubstring("01 (65024 more bytes)")))
	g.Expect(lines[1]).To(And(ContainSubstring("upstream=i-2"), Not(ContainSubstring("more bytes"))))
}
