package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/kv"
)

const (
	// answerBound is how long a call may take beyond its own waiting. A slow
	// store takes a third of a second; a silent connection shows only by this.
	answerBound = 1200 * time.Millisecond
	// firstPause and longestPause lie between calls that fail: each failing
	// call is paid for, and after an outage all hosts come at once.
	firstPause   = 80 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Sink is told what the store holds.
type Sink interface {
	// Listed replaces all that was known. asked is when the call left.
	Listed(l kv.Listing, asked time.Time)
	// Changed adds events, perhaps none.
	Changed(c kv.Changes, asked time.Time)
	// Failed says that a call failed; calls go on until one succeeds.
	Failed(err error)
}

// Follower follows one prefix.
type Follower struct {
	Store  kv.Store
	Prefix string
	// Wait is how long one watch waits for a change.
	Wait time.Duration
	// Every is the least time between two watches: changes that come close
	// together are then fetched by one call. Default 0.
	Every time.Duration
	Now   func() time.Time
	Sink  Sink
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	revision, listed := uint64(0), false
	for ctx.Err() == nil {
		asked := f.Now()
		next, err := f.step(ctx, revision, listed, asked)
		switch {
		case err == nil:
			revision, listed, pause = next, true, firstPause
			f.sleep(ctx, f.Every-f.Now().Sub(asked))
		case errors.Is(err, kv.ErrCompacted):
			listed = false
		case ctx.Err() == nil:
			f.Sink.Failed(err)
			f.sleep(ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
			pause = min(2*pause, longestPause)
		}
	}
}

// step makes one call and returns the revision to go on from.
func (f *Follower) step(ctx context.Context, revision uint64, listed bool, asked time.Time) (uint64, error) {
	if !listed {
		call, cancel := context.WithTimeout(ctx, 2*answerBound)
		defer cancel()
		l, err := f.Store.List(call, f.Prefix, false)
		if err != nil {
			return 0, err
		}
		f.Sink.Listed(l, asked)
		return l.Revision, nil
	}
	call, cancel := context.WithTimeout(ctx, f.Wait+answerBound)
	defer cancel()
	c, err := f.Store.Watch(call, f.Prefix, revision, f.Wait)
	if err != nil {
		return 0, err
	}
	f.Sink.Changed(c, asked)
	return max(c.Revision, revision), nil
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
