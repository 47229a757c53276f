package follow

import "balsambarrow/internal/kv"

const (
	// mostSteps and mostStepBytes bound what a journal keeps: the registrations of some
	// hundreds of hosts that start together.
	mostSteps     = 1024
	mostStepBytes = 256 << 10
)

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
}

// Add notes a change. One that leaves the digest as it is decides nothing, and is
// left out.
func (j *Journal) Add(before, after uint64, e kv.Event) {
	if before == after {
		return
	}
	if n := len(j.steps); n > 0 && j.steps[n-1].after != before {
		// Something else has changed in between: what came before leads nowhere.
		j.Reset()
	}
	j.steps = append(j.steps, step{before, after, e})
	j.bytes += len(e.Value)
	for len(j.steps) > mostSteps || (j.bytes > mostStepBytes && len(j.steps) > 1) {
		j.bytes -= len(j.steps[0].event.Value)
		j.steps = j.steps[1:]
	}
}

// Reset forgets all changes.
func (j *Journal) Reset() { *j = Journal{} }

// Since returns the changes that a host with the digest lacks, the first of them if all
// are more than most bytes; false if they are not known.
func (j *Journal) Since(digest uint64, most int) ([]kv.Event, bool) {
	for i := len(j.steps) - 1; i >= 0; i-- {
		if j.steps[i].before == digest {
			return firstOf(j.steps[i:], most), true
		}
	}
	return nil, false
}

// firstOf returns the first steps' events that fit into most bytes.
func firstOf(steps []step, most int) []kv.Event {
	var out []kv.Event
	size := 0
	for _, s := range steps {
		if size += len(s.event.Key) + len(s.event.Value); size > most {
			break
		}
		out = append(out, s.event)
	}
	return out
}

// mostSeen bounds the keys that Seen remembers: all of a site of a thousand
// upstreams that are replaced twice.
const mostSeen = 4096

// Seen remembers at which revision each key was changed last, as far as a host
// knows. Changes come from the store and from peers, so one that is older than
// what is known may come later: an upstream that has left would be back. The zero
// value is empty. It is not safe for concurrent use.
type Seen struct{ revisions map[string]uint64 }

// Latest returns the events that are newer than what is known, only the last one
// of each key.
func (s *Seen) Latest(events []kv.Event) []kv.Event {
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

// Listed notes what a listing has.
func (s *Seen) Listed(items []kv.Item) {
	s.revisions = make(map[string]uint64, len(items))
	for _, i := range items {
		s.revisions[i.Key] = i.Revision
	}
}
