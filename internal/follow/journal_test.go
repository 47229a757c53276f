package follow_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
)

func event(key string, revision uint64) kv.Event {
	return kv.Event{Item: kv.Item{Key: key, Value: []byte("value of " + key), Revision: revision}}
}

func keys(events []kv.Event) []string {
	var out []string
	for _, e := range events {
		out = append(out, e.Key)
	}
	return out
}

func changedKeys(changes []follow.Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, c.Key)
	}
	return out
}

func TestJournalReturnsMissingChanges(t *testing.T) {
	g := NewWithT(t)
	var j follow.Journal
	j.Add(1, 2, event("a", 10), nil)
	j.Add(2, 2, event("unchanged digest", 11), nil)
	j.Add(2, 3, event("b", 12), nil)
	j.Add(3, 2, event("b removed", 13), nil)
	j.Add(2, 4, event("c", 14), nil)
	for _, c := range []struct {
		name   string
		digest uint64
		want   []string
		known  bool
	}{
		{"all changes", 1, []string{"a", "b", "b removed", "c"}, true},
		{"digest that occurred twice, changes since the later one", 2, []string{"c"}, true},
		{"some changes", 3, []string{"b removed", "c"}, true},
		{"unknown digest", 9, nil, false},
		{"up to date", 4, nil, false},
	} {
		events, known := j.Since(c.digest, 1000)
		g.Expect(known).To(Equal(c.known), c.name)
		g.Expect(changedKeys(events)).To(Equal(c.want), c.name)
	}
	events, known := j.Since(1, 20)
	g.Expect(known).To(BeTrue())
	g.Expect(changedKeys(events)).To(Equal([]string{"a"}), "the oldest changes that fit into one packet")
	events, _ = j.Since(1, 5)
	g.Expect(events).To(BeEmpty(), "a change that does not fit is not truncated")
	j.Add(7, 8, event("d", 20), nil)
	_, known = j.Since(3, 1000)
	g.Expect(known).To(BeFalse(), "the digest changed in between without a journal entry")
}

func TestJournalIsBounded(t *testing.T) {
	g := NewWithT(t)
	var j follow.Journal
	for i := range uint64(40_000) {
		j.Add(i, i+1, event("k", i), nil)
	}
	_, known := j.Since(100, 1<<20)
	g.Expect(known).To(BeFalse())
	events, known := j.Since(39_990, 1<<20)
	g.Expect(known).To(BeTrue())
	g.Expect(events).To(HaveLen(10))
}

// A peer reports that an upstream has left. Then the response to an earlier watch
// arrives, in which the upstream still registers. The older change must not add the
// upstream again.
func TestOlderChangesAreFiltered(t *testing.T) {
	g := NewWithT(t)
	var s follow.KeyRevisions
	s.Reset([]kv.Item{{Key: "x", Revision: 5}})
	removal := kv.Event{Item: kv.Item{Key: "x", Revision: 12}, Deleted: true}
	g.Expect(keys(s.FilterNewer([]kv.Event{removal}))).To(Equal([]string{"x"}))
	g.Expect(s.FilterNewer([]kv.Event{event("x", 10)})).To(BeEmpty())
	g.Expect(s.FilterNewer([]kv.Event{event("x", 10), removal})).To(BeEmpty(), "an event that is already known is filtered too")
	latest := s.FilterNewer([]kv.Event{event("y", 13), event("y", 14), event("x", 15)})
	g.Expect(keys(latest)).To(Equal([]string{"y", "x"}), "only the last event of each key")
	g.Expect(latest[0].Revision).To(Equal(uint64(14)))
}

// Guards against a change of one route that is sent to peers as the full, large
// configuration, or not sent at all. Each host then had to read it from the store.
func TestLargeValueIsSentAsPatch(t *testing.T) {
	g := NewWithT(t)
	before := []byte(strings.Repeat("a route of the configuration, ", 10_000))
	after := append([]byte("another route, "), before...)
	var j follow.Journal
	j.Add(1, 2, kv.Event{Item: kv.Item{Key: "c", Value: before, Revision: 5}}, nil)
	j.Add(2, 3, kv.Event{Item: kv.Item{Key: "c", Value: after, Revision: 6}}, before)
	changes, known := j.Since(1, 8000)
	g.Expect(known).To(BeTrue())
	g.Expect(changedKeys(changes)).To(Equal([]string{"c", "c"}))
	value := []byte(nil)
	for _, c := range changes {
		g.Expect(c.Value).To(BeEmpty())
		var err error
		value, err = c.Patch.Apply(value, 1<<20)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(value).To(Equal(after))
}
