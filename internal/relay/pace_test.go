package relay_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/relay"
)

// fakeLink admits so many bits and then none.
type fakeLink struct{ left, taken float64 }

func (l *fakeLink) Take(_ string, cost float64, _ time.Time) (bool, time.Duration) {
	if cost > l.left {
		return false, time.Millisecond
	}
	l.left -= cost
	l.taken += cost
	return true, 0
}

func TestPaceCountsEveryBit(t *testing.T) {
	g := NewWithT(t)
	link := &fakeLink{left: 1e9}
	body := relay.NewPacedBody(context.Background(), io.NopCloser(bytes.NewReader(make([]byte, 5000))), link, "link/a/b")
	got, err := io.ReadAll(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(5000))
	g.Expect(link.taken).To(Equal(40000.0))
}

// A report crosses a link that is full until the caller's deadline. The caller
// must receive a broken answer, and no byte beyond the link's quota may leave.
func TestPaceBreaksOffAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	link := &fakeLink{left: 8 * 1024}
	body := relay.NewPacedBody(ctx, io.NopCloser(bytes.NewReader(make([]byte, 5000))), link, "link/a/b")
	cancel()
	got, err := io.ReadAll(body)
	g.Expect(errors.Is(err, relay.ErrLinkQuotaTimeout)).To(BeTrue())
	g.Expect(len(got)).To(BeNumerically("<=", 1024))
}
