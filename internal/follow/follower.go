package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"balsambarrow/internal/kv"
)

const (
	// responseTimeout bounds a call, in addition to the time that a watch waits in
	// the store. A slow store responds within a third of a second. A connection
	// that fails without a notification is detected only by this timeout.
	responseTimeout = 1200 * time.Millisecond
	// listTimeout bounds a listing of any number of pages. The store's client bounds each
	// page.
	listTimeout = 30 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, before jitter;
	// Timing.MaxBackoff may raise the upper bound. A pause is needed because the
	// platform charges for failed calls too, and all hosts reconnect at once after
	// an outage. It is short enough that a host learns which upstreams have left
	// well before it counts as connected again, which is four seconds after the end
	// of the outage.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Sink receives the contents of the store. Its methods are called by one goroutine. They
// return the revision up to which the known state is complete, from which the follower
// continues if it is the earlier one.
type Sink interface {
	// OnList replaces the entire known state. The listing shows the store at some
	// time after asOf. The first listing may be arbitrarily old; its asOf is zero.
	OnList(l kv.Listing, asOf time.Time) (completeTo uint64)
	// OnChanges adds the events after a revision, possibly none. They cover the store up
	// to some time after asOf. asOf is zero if they do not cover the present state.
	OnChanges(after uint64, c kv.Changes, asOf time.Time) (completeTo uint64)
	// OnError reports a failed call. The follower retries until a call succeeds.
	OnError(err error)
}

// Follower lists and watches one key prefix.
type Follower struct {
	Store  kv.Store
	Prefix string
	// Timing returns the intervals of the calls. It is called before each of them.
	Timing func() Timing
	Now    func() time.Time
	Sink   Sink
	// Wake ends the pause before the next watch early, but not the pause after a
	// failed call. Optional.
	Wake <-chan struct{}
	// Bootstrap is called before the initial listing. If the host has received the
	// store's contents from a peer by then, it returns their revision and true. The
	// follower then skips the listing, and sends the first watch after the usual
	// interval or when Wake receives. Optional.
	Bootstrap func(ctx context.Context) (revision uint64, ok bool)
	// AfterInitialList is called between the initial listing and the first watch.
	// Optional.
	AfterInitialList func(ctx context.Context)
}

// Timing holds the intervals of the calls to the store.
type Timing struct {
	// WatchTimeout is how long one watch waits in the store for a change.
	WatchTimeout time.Duration
	// Interval is the usual time between the starts of two watches. MinInterval is
	// the shortest time, which applies when Wake receives: one call then fetches
	// all changes that follow each other closely. Default 0.
	Interval, MinInterval time.Duration
	// MaxBackoff is the longest pause after a failed call, before jitter. Values
	// below 250 ms, also the default 0, mean 250 ms.
	MaxBackoff time.Duration
}

// Run lists and watches the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	revision, listed := f.initialList(ctx), true
	for ctx.Err() == nil {
		sentAt, timing := f.Now(), f.Timing()
		next, more, err := f.poll(ctx, revision, listed, sentAt, timing.WatchTimeout)
		switch {
		case err == nil && more:
			revision, backoff = next, minBackoff
		case err == nil:
			revision, listed, backoff = next, true, minBackoff
			// The role of the host may have changed during the call.
			timing = f.Timing()
			f.sleep(ctx, timing.MinInterval-f.Now().Sub(sentAt), nil)
			f.sleep(ctx, timing.Interval-f.Now().Sub(sentAt), f.Wake)
		case errors.Is(err, kv.ErrCompacted):
			listed = false
		default:
			backoff = f.backOff(ctx, err, backoff)
		}
	}
}

// initialList lists the prefix and returns the revision to watch from. It accepts a
// stale listing, which is cheap for the store when all hosts start together; the
// first watch returns the changes that the listing lacks.
func (f *Follower) initialList(ctx context.Context) uint64 {
	if f.Bootstrap != nil {
		if revision, ok := f.Bootstrap(ctx); ok {
			f.sleep(ctx, f.Timing().Interval, f.Wake)
			return revision
		}
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		l, err := f.list(ctx, true)
		if err == nil {
			completeTo := f.Sink.OnList(l, time.Time{})
			if f.AfterInitialList != nil {
				f.AfterInitialList(ctx)
			}
			return min(l.Revision, completeTo)
		}
		backoff = f.backOff(ctx, err, backoff)
	}
	return 0
}

// backOff reports a failed call, sleeps for about backoff, and returns the backoff to use
// after the next failure.
func (f *Follower) backOff(ctx context.Context, err error, backoff time.Duration) time.Duration {
	if ctx.Err() != nil {
		return backoff
	}
	f.Sink.OnError(err)
	f.sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())), nil)
	return min(2*backoff, max(maxBackoff, f.Timing().MaxBackoff))
}

func (f *Follower) list(ctx context.Context, stale bool) (kv.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.Store.List(ctx, f.Prefix, stale)
}

// poll makes one list or watch call and returns the revision to watch from next, and whether
// more changes are known to follow. These include changes that the sink lacks although they
// precede the revision that was watched from.
func (f *Follower) poll(ctx context.Context, revision uint64, listed bool, sentAt time.Time, watchTimeout time.Duration) (next uint64, more bool, err error) {
	if !listed {
		l, err := f.list(ctx, false)
		if err != nil {
			return 0, false, err
		}
		return min(l.Revision, f.Sink.OnList(l, sentAt)), false, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout+responseTimeout)
	defer cancel()
	c, err := f.Store.Watch(callCtx, f.Prefix, revision, watchTimeout)
	if err != nil {
		return 0, false, err
	}
	completeTo := f.Sink.OnChanges(revision, c, f.asOf(c, sentAt, watchTimeout))
	next = max(c.Revision, revision)
	if completeTo < next {
		return completeTo, true, nil
	}
	return next, c.More && next > revision, nil
}

// asOf returns the latest time up to which the response to a watch is known to be
// complete. A response without events that took the full wait covers at least the
// wait after sentAt, because the wait began in the store after the call was sent.
// Any other response, with events or returned early, covers only the time up to
// sentAt. One that left out events confirms nothing.
func (f *Follower) asOf(c kv.Changes, sentAt time.Time, wait time.Duration) time.Time {
	if c.More {
		return time.Time{}
	}
	waitEnd := sentAt.Add(wait)
	if len(c.Events) > 0 || f.Now().Before(waitEnd) {
		return sentAt
	}
	return waitEnd
}

// sleep pauses for d, or until ctx ends or wake receives.
func (f *Follower) sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
