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
	// minBackoff and maxBackoff lie between calls that fail: each failing
	// call is paid for, and after an outage all hosts come at once. But what
	// has left meanwhile must be known well before the host counts as reached
	// again, four seconds after the end of the outage.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Sink is told what the store holds.
type Sink interface {
	// OnList replaces all that was known. It is what the store held at some
	// time after asOf; the first listing may be of any time, and asOf is zero then.
	OnList(l kv.Listing, asOf time.Time)
	// OnChanges adds events, perhaps none, up to some time after asOf.
	OnChanges(c kv.Changes, asOf time.Time)
	// OnError says that a call failed; calls go on until one succeeds.
	OnError(err error)
}

// Follower follows one prefix.
type Follower struct {
	Store  kv.Store
	Prefix string
	// Timing of the calls; asked before each.
	Timing func() Timing
	Now    func() time.Time
	Sink   Sink
	// Wake ends the pause before the next look, but not one after a call that
	// failed. Default nil: never.
	Wake <-chan struct{}
	// Bootstrap is called before the first listing. If a peer has told what the store holds
	// meanwhile, it returns the revision of that, and nothing is listed; the first watch
	// is made when it is due. Default nil.
	Bootstrap func(ctx context.Context) (revision uint64, ok bool)
	// AfterInitialList is called between the first listing and the first watch. Default nil.
	AfterInitialList func(ctx context.Context)
}

// Timing says how often the store is called.
type Timing struct {
	// WatchTimeout is how long one watch waits for a change.
	WatchTimeout time.Duration
	// Interval is the usual time between two watches, and Least the least, if Hurry
	// asks for one: changes that come close together are then fetched by one
	// call. Default 0.
	Interval, MinInterval time.Duration
	// MaxBackoff is the longest pause between calls that fail. Default and least:
	// 250 ms.
	MaxBackoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minBackoff
	revision, listed := f.first(ctx), true
	for ctx.Err() == nil {
		asked, pace := f.Now(), f.Timing()
		next, err := f.step(ctx, revision, listed, asked, pace.WatchTimeout)
		switch {
		case err == nil:
			revision, listed, pause = next, true, minBackoff
			f.pause(ctx, pace.MinInterval-f.Now().Sub(asked), nil)
			f.pause(ctx, pace.Interval-f.Now().Sub(asked), f.Wake)
		case errors.Is(err, kv.ErrCompacted):
			listed = false
		default:
			pause = f.failed(ctx, err, pause)
		}
	}
}

// first lists the prefix as of any time, which costs the store little when all hosts
// start together, and returns the revision to watch on from: the first watch brings
// what the listing lacks.
func (f *Follower) first(ctx context.Context) uint64 {
	if f.Bootstrap != nil {
		if revision, ok := f.Bootstrap(ctx); ok {
			f.pause(ctx, f.Timing().Interval, f.Wake)
			return revision
		}
	}
	pause := minBackoff
	for ctx.Err() == nil {
		l, err := f.list(ctx, true)
		if err == nil {
			f.Sink.OnList(l, time.Time{})
			if f.AfterInitialList != nil {
				f.AfterInitialList(ctx)
			}
			return watchFrom(l)
		}
		pause = f.failed(ctx, err, pause)
	}
	return 0
}

// watchFrom is the revision from which a watch brings all that a listing lacks which may
// be old. A store that gives such a listing the revision of the moment would hide the
// changes between the two.
func watchFrom(l kv.Listing) uint64 {
	latest := uint64(0)
	for _, item := range l.Items {
		latest = max(latest, item.Revision)
	}
	return min(latest, l.Revision)
}

// failed reports a call that failed, rests, and returns the pause after the next one.
func (f *Follower) failed(ctx context.Context, err error, pause time.Duration) time.Duration {
	if ctx.Err() != nil {
		return pause
	}
	f.Sink.OnError(err)
	f.pause(ctx, time.Duration(float64(pause)*(0.5+rand.Float64())), nil)
	return min(2*pause, max(maxBackoff, f.Timing().MaxBackoff))
}

func (f *Follower) list(ctx context.Context, stale bool) (kv.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*answerBound)
	defer cancel()
	return f.Store.List(ctx, f.Prefix, stale)
}

// step makes one call and returns the revision to go on from.
func (f *Follower) step(ctx context.Context, revision uint64, listed bool, asked time.Time, wait time.Duration) (uint64, error) {
	if !listed {
		l, err := f.list(ctx, false)
		if err != nil {
			return 0, err
		}
		f.Sink.OnList(l, asked)
		return l.Revision, nil
	}
	call, cancel := context.WithTimeout(ctx, wait+answerBound)
	defer cancel()
	c, err := f.Store.Watch(call, f.Prefix, revision, wait)
	if err != nil {
		return 0, err
	}
	f.Sink.OnChanges(c, f.asOf(c, asked, wait))
	return max(c.Revision, revision), nil
}

// asOf is the latest time for which the answer to a watch certainly speaks. One
// without an event was given when the watch had waited in full, which began
// after the call left; unless it was cut before.
func (f *Follower) asOf(c kv.Changes, asked time.Time, wait time.Duration) time.Time {
	waited := asked.Add(wait)
	if len(c.Events) > 0 || f.Now().Before(waited) {
		return asked
	}
	return waited
}

// pause waits between two calls, or until hurry receives.
func (f *Follower) pause(ctx context.Context, d time.Duration, hurry <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-hurry:
	case <-t.C:
	}
}
