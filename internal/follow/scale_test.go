package follow_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
)

// fleetSizes are the numbers of upstreams of the largest deployment, and of twice its size.
var fleetSizes = []int{10_000, 20_000}

// Guards against an older change that is applied after a newer one, in a fleet with more
// upstreams than the number of revisions that a host remembers.
func TestOlderChangesAreFilteredInALargeFleet(t *testing.T) {
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			var s follow.KeyRevisions
			revision := uint64(100)
			for i := range upstreams {
				revision++
				g.Expect(s.FilterNewer([]kv.Event{event(fmt.Sprint("servers/", i), revision)})).To(HaveLen(1))
			}
			g.Expect(s.FilterNewer([]kv.Event{{Item: kv.Item{Key: "servers/0", Revision: revision + 1}, Deleted: true}})).To(HaveLen(1))
			restored := 0
			for i := range upstreams {
				restored += len(s.FilterNewer([]kv.Event{event(fmt.Sprint("servers/", i), 100)}))
			}
			g.Expect(restored).To(BeZero())
		})
	}
}

// Guards against a memory of deleted keys that grows for as long as a host runs.
func TestDeletedKeysAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var s follow.KeyRevisions
	const upstreams = 20_000
	for i := range uint64(upstreams) {
		key := fmt.Sprint("servers/", i)
		s.FilterNewer([]kv.Event{event(key, 2*i+1)})
		s.FilterNewer([]kv.Event{{Item: kv.Item{Key: key, Revision: 2*i + 2}, Deleted: true}})
	}
	g.Expect(s.IsNewer("servers/0", 1)).To(BeTrue(), "the oldest deletion is forgotten")
	g.Expect(s.IsNewer(fmt.Sprint("servers/", upstreams-1), 1)).To(BeFalse())
}

// Guards against hosts that all read the store while many upstreams register at once, because
// their peers no longer know the changes of the last seconds.
func TestJournalCoversTheRegistrationOfALargeFleet(t *testing.T) {
	const (
		// seconds is the age of the state at which a standby reads the store.
		seconds          = 3
		changesPerSecond = 570 // of 10,000 upstreams that register
		valueBytes       = 300
	)
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			g := NewWithT(t)
			var j follow.Journal
			for i := range uint64(upstreams) {
				j.Add(i+1, i+2, kv.Event{Item: kv.Item{Key: fmt.Sprint("servers/", i), Value: make([]byte, valueBytes), Revision: i}}, nil)
			}
			missing := seconds * changesPerSecond * upstreams / fleetSizes[0]
			changes, known := j.Since(uint64(upstreams-missing+1), 64<<20)
			g.Expect(known).To(BeTrue())
			g.Expect(changes).To(HaveLen(missing))
		})
	}
}

// storeLimit is the number of events in the largest response of a store.
const storeLimit = 500

// Guards against a host that falls behind a store which limits its responses, and that considers
// its state confirmed although changes are missing: it would accept withdrawn keys.
func TestFollowerKeepsUpWithTheRegistrationOfALargeFleet(t *testing.T) {
	const (
		changesPerSecond = 570 // of 10,000 upstreams that register
		interval         = 700 * time.Millisecond
		roundTrip        = 70 * time.Millisecond
		span             = 15 * time.Second
	)
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(context.Background(), span)
				defer cancel()
				began := time.Now()
				writtenAt := func(at time.Time) uint64 {
					return uint64(at.Sub(began).Seconds() * float64(changesPerSecond*upstreams/fleetSizes[0]))
				}
				received, calls := uint64(0), 0
				store := &fakeStore{
					list: func() (kv.Listing, error) { return kv.Listing{}, nil },
					watch: func(after uint64) (kv.Changes, error) {
						calls++
						n := min(writtenAt(time.Now())-after, storeLimit)
						time.Sleep(roundTrip)
						return kv.Changes{Events: make([]kv.Event, n), Revision: after + n, More: n == storeLimit}, nil
					},
				}
				sink := &lagSink{onChanges: func(c kv.Changes, asOf time.Time) {
					received = c.Revision
					if !asOf.IsZero() {
						g.Expect(received).To(BeNumerically(">=", writtenAt(asOf)), "a confirmed state misses no change")
					}
				}}
				(&follow.Follower{
					Store: store, Sink: sink, Now: time.Now,
					Timing: func() follow.Timing {
						return follow.Timing{WatchTimeout: interval, Interval: interval, MinInterval: interval}
					},
				}).Run(ctx)
				behind := writtenAt(time.Now()) - received
				g.Expect(behind).To(BeNumerically("<=", 2*writtenAt(began.Add(interval))), "the follower is not behind")
				g.Expect(calls).To(BeNumerically("<=", int(span/interval)+int(received)/storeLimit+1))
			})
		})
	}
}

// lagSink passes changes on to a function.
type lagSink struct {
	recordingSink
	onChanges func(c kv.Changes, asOf time.Time)
}

func (s *lagSink) OnChanges(_ uint64, c kv.Changes, asOf time.Time) uint64 {
	s.onChanges(c, asOf)
	return c.Revision
}

// slowListingStore lists pages of 500 upstreams, each of which takes pageTime, until the context ends.
type slowListingStore struct {
	kv.Store
	upstreams int
	pageTime  time.Duration
}

func (s slowListingStore) List(ctx context.Context, _ string, _ bool) (kv.Listing, error) {
	for range s.upstreams / storeLimit {
		select {
		case <-time.After(s.pageTime):
		case <-ctx.Done():
			return kv.Listing{}, ctx.Err()
		}
	}
	return kv.Listing{Revision: 1}, nil
}

// Guards against a host that never gets through its first listing, because the time allowed for it
// does not depend on the number of pages: after a loss of all hosts, no host far from the store
// would serve again.
func TestFirstListingOfALargeFleetCompletes(t *testing.T) {
	const pageTime = 300 * time.Millisecond // from a region far from the store
	for _, upstreams := range fleetSizes {
		t.Run(fmt.Sprint(upstreams), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				sink := &recordingSink{}
				(&follow.Follower{
					Store: slowListingStore{upstreams: upstreams, pageTime: pageTime}, Now: time.Now, Sink: sink,
					Timing:           func() follow.Timing { return follow.Timing{} },
					AfterInitialList: func(context.Context) { cancel() },
				}).Run(ctx)
				g.Expect(sink.events).To(Equal([]string{"listed"}))
			})
		})
	}
}
