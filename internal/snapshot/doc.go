// Package snapshot preserves what the fleet has learned about upstreams over a restart of
// all its hosts.
//
// All entry hosts may lose power or be killed at once while the upstreams keep running
// with warm caches. Hosts without learned state would then send requests for an object to
// other upstreams than before, which are cold for the object, and queues in the first
// seconds would be several times as long.
//
// One host of the fleet writes a snapshot into the platform's store, at intervals that
// depend on its size. A host that starts reads the snapshot with its first listing of the
// store, and starts without the learned state if the snapshot is missing, corrupt or stale:
// the snapshot is a hint, and nothing waits for it.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package snapshot
