// Package snapshot keeps what a fleet has learned about upstreams over a restart
// of all its hosts.
//
// Load pattern: all entry hosts lose power or are killed at once while the
// upstreams live on, with their caches warm. Hosts that know nothing send objects
// to other upstreams than before; each is then cold work, and the queues of the
// first seconds are several times as long.
//
// One host of the fleet writes a snapshot into the platform's store, at a pace
// that its size allows. A host that starts reads it with its first listing of the
// store, and goes on without one that is missing, broken or old: it is a hint,
// and nothing waits for it.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package snapshot
