package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Constants of the pacer.
const (
	bitsPerByte = 8
	// piece is what is taken from the link at once, in bytes. Small, so that
	// a lookup's answer of a few hundred bytes finds its tokens between two
	// pieces of a report that waits.
	piece = 1 << 10
	// unknownWait is slept where the quota cannot tell when it will have room.
	unknownWait = 20 * time.Millisecond
)

// ErrLinkQuotaTimeout says that the deadline passed while an answer waited for its
// link; the caller receives a broken answer.
var ErrLinkQuotaTimeout = errors.New("relay: no room on the link before the deadline")

// TokenTaker takes tokens of a quota.
type TokenTaker interface {
	// Take spends cost, or returns how long until it could; negative: unknown.
	Take(quota string, cost float64, now time.Time) (bool, time.Duration)
}

// NewPacedBody holds an answer's body back to the quota of the link it crosses.
//
// Load pattern: season reports of the night before a county meeting, from one
// region to callers in another, over a link of 280 Mbit/s for all traffic.
// Without pacing the reports fill the link's queue and every lookup that
// crosses it waits behind them. The bytes are counted as they leave, not
// estimated beforehand, so the link's quota holds whatever their number is.
func NewPacedBody(ctx context.Context, body io.ReadCloser, taker TokenTaker, quota string) io.ReadCloser {
	return &pacedBody{ReadCloser: body, ctx: ctx, taker: taker, quota: quota}
}

type pacedBody struct {
	io.ReadCloser
	ctx   context.Context //nolint:containedctx // Read has no context of its own
	taker TokenTaker
	quota string
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	for left := n; left > 0; left -= piece {
		if werr := b.wait(float64(min(left, piece) * bitsPerByte)); werr != nil {
			return 0, werr
		}
	}
	return n, err
}

func (b *pacedBody) wait(bits float64) error {
	for {
		ok, wait := b.taker.Take(b.quota, bits, time.Now())
		if ok {
			return nil
		}
		if wait <= 0 {
			wait = unknownWait
		}
		select {
		case <-time.After(wait):
		case <-b.ctx.Done():
			return ErrLinkQuotaTimeout
		}
	}
}
