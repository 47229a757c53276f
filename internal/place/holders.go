package place

import (
	"slices"
	"time"
)

// The upstreams know which objects they have handled; holders is the same by object,
// so that a request need not look at all upstreams.

// recordSent notes that an upstream is sent a request about an object.
func (t *Table) recordSent(now time.Time, w *upstream, object Object) {
	t.addHolder(w, object)
	w.markUsed(now, object)
}

// addHolder makes room for an object at an upstream that does not know it yet. One that has
// been removed meanwhile holds nothing.
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

// dropHolder forgets that an upstream knows an object.
func (t *Table) dropHolder(w *upstream, object Object) {
	delete(w.warm, object)
	list := slices.DeleteFunc(t.holders[object], func(x *upstream) bool { return x == w })
	if len(list) == 0 {
		delete(t.holders, object)
		return
	}
	t.holders[object] = list
}

// dropHolders forgets what an upstream knows.
func (t *Table) dropHolders(w *upstream) {
	for object := range w.warm {
		t.dropHolder(w, object)
	}
}

// dropUnanswered notes that an upstream has not done what it was asked for.
func (t *Table) dropUnanswered(w *upstream, object Object) {
	if known, ok := w.warm[object]; ok && !known.answered {
		t.dropHolder(w, object)
	}
}

// markHolders marks the upstreams that are warm for an object.
func (t *Table) markHolders(now time.Time, object Object) {
	t.querySequence++
	for _, w := range t.holders[object] {
		if w.isWarm(now, object) {
			w.warmForQuery = t.querySequence
		}
	}
}
