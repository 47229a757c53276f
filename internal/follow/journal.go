package follow

import (
	"balsambarrow/internal/delta"
	"balsambarrow/internal/kv"
)

const (
	// maxSteps and maxStepBytes bound what a journal keeps: the registrations of some
	// hundreds of hosts that start together, or the last few large values.
	maxSteps     = 1024
	maxStepBytes = 2 << 20
	// patchFrom is the size from which a value is passed on as a patch.
	patchFrom = 4 << 10
)

// Change is a change in the store as hosts pass it on.
type Change struct {
	// Event, without its value if there is a patch.
	kv.Event
	// Patch leads from the key's value before to this one; nil: none.
	Patch *delta.Patch
}

// bytes is about what the change takes in a packet.
func (c Change) bytes() int {
	size := len(c.Key) + len(c.Value)
	if c.Patch != nil {
		size += len(c.Patch.Data)
	}
	return size
}

// Journal keeps the latest changes that a host has taken over, each with the
// digests before and after it. A host whose digest is one of those before lacks
// the changes since, and no others. The zero value is empty. It is not safe for
// concurrent use.
type Journal struct {
	steps []step
	bytes int
}

type step struct {
	before, after uint64
	event         kv.Event
	// base is the value that the event replaced, for a patch.
	base []byte
	// change is what is passed on, made when it is asked for first.
	change *Change
}

// Add notes a change of a key that had the value base, if that is known. One that
// leaves the digest as it is decides nothing, and is left out.
func (j *Journal) Add(before, after uint64, e kv.Event, base []byte) {
	if before == after {
		return
	}
	if n := len(j.steps); n > 0 && j.steps[n-1].after != before {
		// Something else has changed in between: what came before leads nowhere.
		j.Reset()
	}
	j.steps = append(j.steps, step{before: before, after: after, event: e, base: base})
	j.bytes += len(e.Value)
	for len(j.steps) > maxSteps || (j.bytes > maxStepBytes && len(j.steps) > 1) {
		j.bytes -= len(j.steps[0].event.Value)
		j.steps = j.steps[1:]
	}
}

// Reset forgets all changes.
func (j *Journal) Reset() { *j = Journal{} }

// Since returns the changes that a host with the digest lacks, the first of them if all
// are more than most bytes; false if they are not known.
func (j *Journal) Since(digest uint64, most int) ([]Change, bool) {
	for i := len(j.steps) - 1; i >= 0; i-- {
		if j.steps[i].before == digest {
			return firstOf(j.steps[i:], most), true
		}
	}
	return nil, false
}

// firstOf returns the first steps' changes that fit into most bytes.
func firstOf(steps []step, most int) []Change {
	var out []Change
	size := 0
	for i := range steps {
		c := steps[i].passedOn()
		if size += c.bytes(); size > most {
			break
		}
		out = append(out, c)
	}
	return out
}

// passedOn is the step's change as it is passed on. A value that cannot be packed goes
// as it is.
func (s *step) passedOn() Change {
	if s.change != nil {
		return *s.change
	}
	c := Change{Event: s.event}
	if len(s.event.Value) >= patchFrom {
		if p, err := delta.New(s.base, s.event.Value); err == nil {
			c.Value, c.Patch = nil, &p
		}
	}
	s.change = &c
	return c
}

// mostSeen bounds the keys that Seen remembers: all of a site of a thousand
// upstreams that are replaced twice.
const mostSeen = 4096

// KeyRevisions remembers at which revision each key was changed last, as far as a host
// knows. Changes come from the store and from peers, so one that is older than
// what is known may come later: an upstream that has left would be back. The zero
// value is empty. It is not safe for concurrent use.
type KeyRevisions struct{ revisions map[string]uint64 }

// IsNewer tells whether a change of a key at a revision is newer than what is known.
func (s *KeyRevisions) IsNewer(key string, revision uint64) bool { return revision > s.revisions[key] }

// FilterNewer returns the events that are newer than what is known, only the last one
// of each key.
func (s *KeyRevisions) FilterNewer(events []kv.Event) []kv.Event {
	if s.revisions == nil || len(s.revisions) > mostSeen {
		s.revisions = map[string]uint64{}
	}
	last := map[string]uint64{}
	for _, e := range events {
		last[e.Key] = max(last[e.Key], e.Revision)
	}
	var out []kv.Event
	for _, e := range events {
		if e.Revision == last[e.Key] && e.Revision > s.revisions[e.Key] {
			s.revisions[e.Key] = e.Revision
			out = append(out, e)
		}
	}
	return out
}

// Reset notes what a listing has.
func (s *KeyRevisions) Reset(items []kv.Item) {
	s.revisions = make(map[string]uint64, len(items))
	for _, i := range items {
		s.revisions[i.Key] = i.Revision
	}
}
