package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	bitsPerByte = 8
	// chunkBytes is the number of bytes for which tokens are taken at once. It
	// is small so that the response to a lookup, a few hundred bytes, gets its
	// tokens between two chunks of a report that is being paced.
	chunkBytes = 1 << 10
	// defaultRetryDelay is the delay before the next attempt if the quota cannot
	// estimate when tokens will be available.
	defaultRetryDelay = 20 * time.Millisecond
)

// ErrLinkQuotaTimeout reports that the deadline passed while a response waited for
// tokens of the link quota. The caller receives a truncated response.
var ErrLinkQuotaTimeout = errors.New("relay: no room on the link before the deadline")

// TokenTaker takes tokens of a quota.
type TokenTaker interface {
	// Take takes cost tokens and returns true. If they are not available, it
	// returns false and the time until they will be, which is negative if
	// unknown.
	Take(quota string, cost float64, now time.Time) (bool, time.Duration)
}

// NewPacedBody limits the rate at which a response body is read to the quota of
// the link that it crosses.
//
// Without pacing, large responses between regions, such as season reports before a
// county meeting over a link of 280 Mbit/s, fill the queue of the link, and every
// lookup on that link is delayed behind them. Tokens are taken for the bytes that
// are sent, not for an estimated size, so the quota holds for any response size.
func NewPacedBody(ctx context.Context, body io.ReadCloser, taker TokenTaker, quota string) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, taker: taker, quota: quota}
}

// pacedBody takes tokens of the quota for each read from its body.
type pacedBody struct {
	io.ReadCloser
	ctx   context.Context //nolint:containedctx // Read has no context of its own
	taker TokenTaker
	quota string
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	for remaining := n; remaining > 0; remaining -= chunkBytes {
		if waitErr := b.takeTokens(float64(min(remaining, chunkBytes) * bitsPerByte)); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

func (b *pacedBody) takeTokens(bits float64) error {
	for {
		ok, delay := b.taker.Take(b.quota, bits, time.Now())
		if ok {
			return nil
		}
		if delay <= 0 {
			delay = defaultRetryDelay
		}
		select {
		case <-time.After(delay):
		case <-b.ctx.Done():
			return ErrLinkQuotaTimeout
		}
	}
}
