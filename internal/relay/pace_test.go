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

// fakeTokenTaker grants a fixed number of tokens.
type fakeTokenTaker struct{ remaining, taken float64 }

func (f *fakeTokenTaker) Take(_ string, cost float64, _ time.Time) (bool, time.Duration) {
	if cost > f.remaining {
		return false, time.Millisecond
	}
	f.remaining -= cost
	f.taken += cost
	return true, 0
}

func TestPacedBodyTakesTokensForEveryBit(t *testing.T) {
	g := NewWithT(t)
	link := &fakeTokenTaker{remaining: 1e9}
	body := relay.NewPacedBody(context.Background(), io.NopCloser(bytes.NewReader(make([]byte, 5000))), link, "link/a/b")
	got, err := io.ReadAll(body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(5000))
	g.Expect(link.taken).To(Equal(40000.0))
}

// The link quota has no tokens left until the caller's deadline. The caller must
// receive a truncated response, and no byte beyond the quota may be sent.
func TestPacedBodyFailsAtDeadline(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	link := &fakeTokenTaker{remaining: 8 * 1024}
	body := relay.NewPacedBody(ctx, io.NopCloser(bytes.NewReader(make([]byte, 5000))), link, "link/a/b")
	cancel()
	got, err := io.ReadAll(body)
	g.Expect(errors.Is(err, relay.ErrLinkQuotaTimeout)).To(BeTrue())
	g.Expect(len(got)).To(BeNumerically("<=", 1024))
}
