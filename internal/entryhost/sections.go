package entryhost

import (
	"balsambarrow/internal/follow"
	"balsambarrow/internal/kv"
	"balsambarrow/platform"
)

// section is a part of the store's state. Each has a digest and a journal of its own, so that
// hosts that keep different parts of the state can confirm the parts that they have in common.
type section struct {
	digest    follow.Digest
	journal   follow.Journal
	revisions follow.KeyRevisions
	// completeTo is the revision of the store up to which the section has every change.
	completeTo uint64
}

// extend records that the section has received all changes after one revision up to another. It
// returns false if the section lacks changes before those.
func (s *section) extend(after, to uint64) bool {
	if after > s.completeTo {
		return false
	}
	s.completeTo = max(s.completeTo, to)
	return true
}

// apply applies the events that are newer than the known state of the section and adds those
// that change its digest to the journal.
func (s *section) apply(events []kv.Event, apply func(kv.Event) (base []byte)) {
	for _, e := range s.revisions.FilterNewer(events) {
		before := s.digest.Sum()
		base := apply(e)
		s.journal.Add(before, s.digest.Sum(), e, base)
	}
}

// reset replaces the known revisions by those of a listing, and forgets the earlier changes.
func (s *section) reset(items []kv.Item) {
	s.revisions.Reset(items)
	s.journal.Reset()
}

// sectionOf returns the section of a key of the store.
func (c *control) sectionOf(key string) *section {
	if _, ok := platform.UpstreamID(key); ok {
		return &c.upstreams
	}
	if _, ok := platform.HostInstance(key); ok {
		return &c.hosts.section
	}
	return &c.base
}

// keeps reports whether this host keeps a section.
func (c *control) keeps(s *section) bool { return s != &c.upstreams || c.holdsUpstreams }

// sections returns all sections.
func (c *control) sections() []*section { return []*section{&c.base, &c.upstreams, &c.hosts.section} }

// completeTo returns the revision of the store up to which the state has every change.
func (c *control) completeTo() uint64 {
	out := min(c.base.completeTo, c.hosts.completeTo)
	if c.holdsUpstreams {
		out = min(out, c.upstreams.completeTo)
	}
	return out
}

// setCompleteTo records that sections are complete up to a revision, as far as this host keeps them.
func (c *control) setCompleteTo(revision uint64, sections ...*section) {
	for _, s := range sections {
		if c.keeps(s) {
			s.completeTo = max(s.completeTo, revision)
		}
	}
}

// eventsOf returns the events of a section, in their order.
func (c *control) eventsOf(s *section, events []kv.Event) []kv.Event {
	var out []kv.Event
	for _, e := range events {
		if c.sectionOf(e.Key) == s {
			out = append(out, e)
		}
	}
	return out
}

// itemsOf returns the items of a section.
func (c *control) itemsOf(s *section, items []kv.Item) []kv.Item {
	var out []kv.Item
	for _, item := range items {
		if c.sectionOf(item.Key) == s {
			out = append(out, item)
		}
	}
	return out
}
