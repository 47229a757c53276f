// Package place decides which upstream a request is sent to.
//
// Load pattern: many requests about few objects, with upstreams that are at
// about nine tenths of their capacity even on a calm day if each object is
// handled by the same upstream, and far over it if not: an upstream that has
// handled an object lately needs about a third of the time for it. Without
// affinity all upstreams are over capacity; with affinity alone, those that
// have the popular objects are.
//
// So each candidate gets an expected finish: the work there, warm or cold, what
// waits there before it, the way there, and what its failures cost on the
// average. The least wins. All entry hosts rank the upstreams of an object by
// the same rendezvous hash, so they agree without talking on who is warm, and
// on who is the next to warm if that one is full.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package place
