// Package place selects the upstream for each request.
//
// Many requests are about few objects, and an upstream serves an object that it has
// handled recently in a fraction of the time. Without affinity, all upstreams are
// overloaded; with strict affinity, the upstreams of popular objects are.
//
// The table therefore estimates the latency of a request at each candidate: its warm
// or cold service time there, the queueing delay, and the round-trip time. It adds
// costs for recent failures, for transferred bytes and for delaying other requests,
// and selects the candidate with the lowest total. Where affinity saves no time, warm
// and cold service times count as equal, so the candidate with the lowest expected
// latency is preferred. All entry hosts rank the upstreams of an object by the same
// rendezvous hash, so they agree without communication on the upstream that is warm
// and on the next one to warm up when that one is full.
//
// The package does no I/O, starts no goroutines and takes the current time as an
// argument.
package place
