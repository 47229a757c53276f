// Package snapshot preserves what the fleet has learned about upstreams over a restart of
// all its hosts.
//
// All entry hosts may lose power or be killed at once while the upstreams keep running
// with warm caches. Hosts without learned state would then send objects to other upstreams
// than before, where each object is cold, and queues in the first seconds would be several
// times as long.
//
// One host of the fleet writes a snapshot into the platform's store, at intervals that
// depend on its size. A host that starts reads the snapshot with its first listing of the
// store. It continues without a snapshot that is missing, corrupt or stale: the snapshot
// is a hint, and nothing waits for it.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package snapshot
