package place

import (
	"slices"
	"time"
)

// Each upstream lists the objects that it has handled. Table.holders is the reverse
// index, so that a request need not scan all upstreams.

// recordSent records that a request about an object is sent to an upstream.
func (t *Table) recordSent(now time.Time, w *upstream, object Object) {
	t.addHolder(w, object)
	w.markUsed(now, object)
}

// addHolder adds an object to an upstream that does not have it yet, and evicts the
// least recently used object if necessary. A removed upstream is ignored.
func (t *Table) addHolder(w *upstream, object Object) {
	if _, ok := w.warm[object]; ok || t.byID[w.ID] != w {
		return
	}
	if len(w.warm) >= maxWarmObjects {
		t.dropHolder(w, w.leastRecentObject())
	}
	w.warm[object] = warmState{}
	t.holders[object] = append(t.holders[object], w)
}

// dropHolder removes an object from an upstream and from the index.
func (t *Table) dropHolder(w *upstream, object Object) {
	delete(w.warm, object)
	list := slices.DeleteFunc(t.holders[object], func(x *upstream) bool { return x == w })
	if len(list) == 0 {
		delete(t.holders, object)
		return
	}
	t.holders[object] = list
}

// dropHolders removes all objects of an upstream.
func (t *Table) dropHolders(w *upstream) {
	for object := range w.warm {
		t.dropHolder(w, object)
	}
}

// dropUnanswered removes an object whose request the upstream did not serve, unless
// the upstream has answered an earlier request about it.
func (t *Table) dropUnanswered(w *upstream, object Object) {
	if known, ok := w.warm[object]; ok && !known.answered {
		t.dropHolder(w, object)
	}
}

// markHolders marks the upstreams that are warm for the object of the current query.
func (t *Table) markHolders(now time.Time, object Object) {
	t.querySequence++
	for _, w := range t.holders[object] {
		if w.isWarm(now, object) {
			w.warmForQuery = t.querySequence
		}
	}
}
