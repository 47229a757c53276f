package follow

import (
	"balsambarrow/internal/delta"
	"balsambarrow/internal/kv"
)

const (
	// maxStepBytes bounds a journal, and stepOverhead is the memory of a step besides
	// its value. There is room for the changes of some seconds while thousands of
	// upstreams register, or for the latest few large values.
	maxStepBytes = 4 << 20
	stepOverhead = 256
	// minPatchBytes is the size in bytes from which a value is sent as a patch.
	minPatchBytes = 4 << 10
)

// Change is a change of a store key in the form in which hosts send it to peers.
type Change struct {
	// Event has no value if there is a patch.
	kv.Event
	// Patch turns the key's previous value into the new one. It may be nil.
	Patch *delta.Patch
}

// bytes returns the approximate size of the change in a packet.
func (c Change) bytes() int {
	size := len(c.Key) + len(c.Value)
	if c.Patch != nil {
		size += len(c.Patch.Data)
	}
	return size
}

// Journal keeps the latest changes that a host has applied, each with the digest
// before and after it. A host whose digest equals the digest before a change lacks
// exactly this change and the later ones. The zero value is empty. Journal is not
// safe for concurrent use.
type Journal struct {
	steps []step
	bytes int
}

type step struct {
	// before and after are the digests before and after the event.
	before, after uint64
	event         kv.Event
	// base is the value that the event replaced. A patch is computed against it.
	base []byte
	// change is the form sent to peers. It is computed on first use.
	change *Change
}

// Add appends a change of a key. base is the key's previous value, if that is known.
// A change that leaves the digest unchanged affects no decision and is not recorded.
func (j *Journal) Add(before, after uint64, e kv.Event, base []byte) {
	if before == after {
		return
	}
	if n := len(j.steps); n > 0 && j.steps[n-1].after != before {
		// The digest has changed in between without an entry in the journal, so the
		// earlier steps no longer lead to the current state.
		j.Reset()
	}
	j.steps = append(j.steps, step{before: before, after: after, event: e, base: base})
	j.bytes += len(e.Value) + stepOverhead
	for j.bytes > maxStepBytes && len(j.steps) > 1 {
		j.bytes -= len(j.steps[0].event.Value) + stepOverhead
		j.steps = j.steps[1:]
	}
}

// Reset removes all changes.
func (j *Journal) Reset() { *j = Journal{} }

// Since returns the changes that a host with the given digest lacks, oldest first and
// limited to maxBytes. It returns false if the journal does not hold these changes.
func (j *Journal) Since(digest uint64, maxBytes int) ([]Change, bool) {
	for i := len(j.steps) - 1; i >= 0; i-- {
		if j.steps[i].before == digest {
			return firstChanges(j.steps[i:], maxBytes), true
		}
	}
	return nil, false
}

// firstChanges returns the changes of the first steps, as many as fit into maxBytes.
func firstChanges(steps []step, maxBytes int) []Change {
	var out []Change
	size := 0
	for i := range steps {
		c := steps[i].toChange()
		if size += c.bytes(); size > maxBytes {
			break
		}
		out = append(out, c)
	}
	return out
}

// toChange returns the step's change in the form that is sent to peers. A value for
// which no patch can be computed is sent unchanged.
func (s *step) toChange() Change {
	if s.change != nil {
		return *s.change
	}
	c := Change{Event: s.event}
	if len(s.event.Value) >= minPatchBytes {
		if p, err := delta.New(s.base, s.event.Value); err == nil {
			c.Value, c.Patch = nil, &p
		}
	}
	s.change = &c
	return c
}

// maxDeletedKeys bounds the deleted keys whose revisions are kept. Peers and the store
// report a deletion within seconds of each other.
const maxDeletedKeys = 4096

// KeyRevisions holds the latest known revision of each key. Changes arrive from the
// store and from peers, so an older change may arrive after a newer one. Applying it
// could restore an upstream that has left. The zero value is empty. KeyRevisions is
// not safe for concurrent use.
type KeyRevisions struct {
	revisions map[string]uint64
	// deleted holds the latest deletions, oldest first.
	deleted []deletion
}

type deletion struct {
	key      string
	revision uint64
}

// IsNewer reports whether a revision of a key is newer than the latest known one.
func (s *KeyRevisions) IsNewer(key string, revision uint64) bool { return revision > s.revisions[key] }

// FilterNewer returns the events that are newer than the known revisions, only the
// last event of each key, and records their revisions.
func (s *KeyRevisions) FilterNewer(events []kv.Event) []kv.Event {
	if s.revisions == nil {
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
			if e.Deleted {
				s.recordDeletion(e.Key, e.Revision)
			}
			out = append(out, e)
		}
	}
	return out
}

// Reset replaces all known revisions by those of a listing.
func (s *KeyRevisions) Reset(items []kv.Item) {
	s.revisions, s.deleted = make(map[string]uint64, len(items)), nil
	for _, i := range items {
		s.revisions[i.Key] = i.Revision
	}
}

// recordDeletion forgets the oldest of too many deleted keys, unless it was written again.
func (s *KeyRevisions) recordDeletion(key string, revision uint64) {
	s.deleted = append(s.deleted, deletion{key, revision})
	if len(s.deleted) <= maxDeletedKeys {
		return
	}
	oldest := s.deleted[0]
	s.deleted = s.deleted[1:]
	if s.revisions[oldest.key] == oldest.revision {
		delete(s.revisions, oldest.key)
	}
}
