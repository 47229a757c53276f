package follow_test

import (
	"fmt"
	"testing"

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
