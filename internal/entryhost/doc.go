// Package entryhost is the daemon that runs on each entry host. A single goroutine, the
// control thread, maintains the host's view of its peers, of the store and of the upstreams, and
// publishes immutable copies of that view to the goroutines that serve callers. The package also
// registers the host in the store, exchanges heartbeats and state digests with peers, and stops
// the daemon within its grace period.
package entryhost
