package place

import (
	"slices"
	"time"
)

// The upstreams know which objects they have handled; holders is the same by object,
// so that a request need not look at all upstreams.

// asked notes that an upstream is sent a request about an object.
func (t *Table) asked(now time.Time, w *worker, object Object) {
	t.hold(w, object)
	w.ask(now, object)
}

// hold makes room for an object at an upstream that does not know it yet. One that has
// been removed meanwhile holds nothing.
func (t *Table) hold(w *worker, object Object) {
	if _, ok := w.warm[object]; ok || t.byID[w.ID] != w {
		return
	}
	if len(w.warm) >= warmMost {
		t.drop(w, w.oldest())
	}
	w.warm[object] = warmth{}
	t.holders[object] = append(t.holders[object], w)
}

// drop forgets that an upstream knows an object.
func (t *Table) drop(w *worker, object Object) {
	delete(w.warm, object)
	list := slices.DeleteFunc(t.holders[object], func(x *worker) bool { return x == w })
	if len(list) == 0 {
		delete(t.holders, object)
		return
	}
	t.holders[object] = list
}

// dropAll forgets what an upstream knows.
func (t *Table) dropAll(w *worker) {
	for object := range w.warm {
		t.drop(w, object)
	}
}

// refused notes that an upstream has not done what it was asked for.
func (t *Table) refused(w *worker, object Object) {
	if known, ok := w.warm[object]; ok && !known.answered {
		t.drop(w, object)
	}
}

// markHolders marks the upstreams that are warm for an object.
func (t *Table) markHolders(now time.Time, object Object) {
	t.mark++
	for _, w := range t.holders[object] {
		if w.isWarm(now, object) {
			w.mark = t.mark
		}
	}
}
