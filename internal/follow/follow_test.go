package follow_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"balsambarrow/internal/catalog"
	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
)

func entry(id string, born int64, sequence uint64) catalog.Upstream {
	return catalog.Upstream{ID: id, StartedMs: born, Sequence: sequence}
}

var start = time.Unix(1000, 0)

// The store was out for so long that registrations lapsed. Its upstreams live
// and write again within two seconds; a host that left them all at once would
// refuse everything until then. One that does not come back is gone.
func TestEntriesMissingAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	r := follow.NewUpstreamRegistry()
	r.StoreReached(start)
	r.Put(entry("a", 1, 1))
	r.Put(entry("b", 1, 1))
	r.StoreFailed()
	back := start.Add(6 * time.Second)
	r.StoreReached(back)
	g.Expect(r.EntryRemoved(back, "a")).To(BeFalse())
	g.Expect(r.EntryRemoved(back.Add(time.Second), "b")).To(BeFalse())
	g.Expect(r.RemoveExpired(back.Add(2 * time.Second))).To(BeEmpty())
	g.Expect(r.Put(entry("a", 1, 2))).To(BeTrue())
	g.Expect(r.RemoveExpired(back.Add(2300 * time.Millisecond))).To(Equal([]string{"b"}))
	g.Expect(r.EntryRemoved(back.Add(3*time.Second), "a")).To(BeTrue(), "the grace is over")
}

// With the store in order, a removed entry is an upstream that leaves.
func TestEntryRemoved(t *testing.T) {
	g := NewWithT(t)
	r := follow.NewUpstreamRegistry()
	r.StoreReached(start)
	r.Put(entry("a", 1, 1))
	g.Expect(r.EntryRemoved(start, "a")).To(BeTrue())
	g.Expect(r.EntryRemoved(start, "a")).To(BeFalse())
	g.Expect(r.Unlisted(nil)).To(BeEmpty())
}

// A write of an earlier run, or of an earlier moment, takes effect late. It must
// not bring back what has been replaced.
func TestOldEntries(t *testing.T) {
	g := NewWithT(t)
	r := follow.NewUpstreamRegistry()
	g.Expect(r.Put(entry("a", 5, 7))).To(BeTrue())
	g.Expect(r.Put(entry("a", 4, 99))).To(BeFalse(), "an earlier run")
	g.Expect(r.Put(entry("a", 5, 6))).To(BeFalse(), "an earlier moment")
	g.Expect(r.Put(entry("a", 6, 1))).To(BeTrue(), "a new run counts anew")
	g.Expect(r.Invalidate("a")).To(BeTrue())
	g.Expect(r.Put(entry("a", 6, 1))).To(BeTrue(), "the upstream writes again")
}

// scripted is a store that answers as the test says.
type scripted struct {
	kv.Store
	list  func() (kv.Listing, error)
	watch func(after uint64) (kv.Changes, error)
}

func (s *scripted) List(context.Context, string, bool) (kv.Listing, error) { return s.list() }

func (s *scripted) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (kv.Changes, error) {
	return s.watch(after)
}

// told collects what a follower tells.
type told struct {
	events []string
	asOf   []time.Time
}

func (t *told) OnList(_ kv.Listing, asOf time.Time) {
	t.events, t.asOf = append(t.events, "listed"), append(t.asOf, asOf)
}

func (t *told) OnChanges(c kv.Changes, asOf time.Time) {
	t.events, t.asOf = append(t.events, "changed"), append(t.asOf, asOf)
}

func (t *told) OnError(error) { t.events = append(t.events, "failed") }

// Guards against a first listing that is old and bears the revision of the moment: the
// withdrawal of a key between the two would never be seen.
func TestFirstWatchBeginsWhereAnOldListingEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var asked uint64
	store := &scripted{
		list: func() (kv.Listing, error) {
			return kv.Listing{Items: []kv.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 9}}, Revision: 40}, nil
		},
		watch: func(after uint64) (kv.Changes, error) {
			asked = after
			cancel()
			return kv.Changes{Revision: 41}, nil
		},
	}
	(&follow.Follower{
		Store: store, Timing: func() follow.Timing { return follow.Timing{} }, Now: time.Now, Sink: &told{},
	}).Run(ctx)
	g.Expect(asked).To(Equal(uint64(9)))
}

// The store drops its history while a host watches. Going on from where it was
// would skip the withdrawal of a key, so the host lists again.
func TestFollowerListsAgainAfterCompaction(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var asked []uint64
	revision := uint64(5)
	store := &scripted{
		list: func() (kv.Listing, error) {
			return kv.Listing{Items: []kv.Item{{Revision: revision}}, Revision: revision}, nil
		},
		watch: func(after uint64) (kv.Changes, error) {
			asked = append(asked, after)
			switch len(asked) {
			case 1:
				return kv.Changes{Revision: 7, Events: []kv.Event{{}}}, nil
			case 2:
				revision = 40
				return kv.Changes{}, errors.WithStack(kv.ErrCompacted)
			case 3:
				return kv.Changes{}, errors.WithStack(kv.ErrUnavailable)
			}
			cancel()
			return kv.Changes{Revision: 41}, nil
		},
	}
	sink := &told{}
	now := start
	(&follow.Follower{
		Store: store, Timing: func() follow.Timing { return follow.Timing{WatchTimeout: time.Second} },
		Now: func() time.Time { now = now.Add(time.Millisecond); return now }, Sink: sink,
	}).Run(ctx)
	g.Expect(asked).To(Equal([]uint64{5, 7, 40, 40}))
	g.Expect(sink.events).To(Equal([]string{"listed", "changed", "listed", "failed", "changed"}))
}

// Only a watch that waited in full speaks for the end of its wait. One that was
// cut, or that a change ended, speaks for the time at which it left.
func TestWhatAWatchConfirms(t *testing.T) {
	for name, c := range map[string]struct {
		took   time.Duration
		events []kv.Event
		want   time.Duration
	}{
		"waited in full":    {1010 * time.Millisecond, nil, time.Second},
		"cut":               {400 * time.Millisecond, nil, 0},
		"ended by a change": {1010 * time.Millisecond, []kv.Event{{}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			now, left := start, time.Time{}
			store := &scripted{
				list: func() (kv.Listing, error) { return kv.Listing{Revision: 1}, nil },
				watch: func(uint64) (kv.Changes, error) {
					left = now
					now = now.Add(c.took)
					cancel()
					return kv.Changes{Revision: 1, Events: c.events}, nil
				},
			}
			sink := &told{}
			(&follow.Follower{
				Store: store, Timing: func() follow.Timing { return follow.Timing{WatchTimeout: time.Second} },
				Now: func() time.Time { return now }, Sink: sink,
			}).Run(ctx)
			g.Expect(sink.asOf[1].Sub(left)).To(Equal(c.want))
		})
	}
}
