// Package suspect recognises a request under which upstreams end, and bounds how many it ends over
// all hosts.
//
// Callers repeat a request that was not answered, at any host and each time with another ID. If its
// upstream has crashed because of the request, each repeat ends another one, and ejection only steers
// the next repeat to an upstream that still runs.
//
// A request is identified by its Fingerprint. All requests that were in flight at an upstream when it
// ended are suspects, and the first answer clears a suspect of all ends so far. A suspect may be in
// flight at so many upstreams that MaxEnds is not exceeded if all of them end. After MaxEnds it is
// refused for a time that grows with each further end, and is then tried once.
//
// Hosts tell each other what they know as sets of ended instances of upstreams, which only grow and
// are merged, so that messages may be lost, repeated or out of order.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package suspect
