// Package place decides which upstream a request is sent to.
//
// Load pattern: many requests about few objects, and upstreams that need a part of
// the time for an object that they have handled lately. Without affinity all
// upstreams are over capacity; with affinity alone, those that have the popular
// objects are. Where affinity gains nothing, the least expected finish decides.
//
// So each candidate gets an expected finish: the work there, warm or cold, what
// waits there before it, the way there, and what its failures cost on the
// average. The least wins. All entry hosts rank the upstreams of an object by
// the same rendezvous hash, so they agree without talking on who is warm, and
// on who is the next to warm if that one is full.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package place
