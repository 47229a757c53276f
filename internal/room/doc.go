// Package room decides whether an upstream has room for one more request, for all entry hosts
// together.
//
// Many hosts send to many upstreams of a few slots each. What a host learns of the requests of the
// others from the upstream's load reports is as old as its own last response from there, so under
// load hosts send to upstreams that others have just filled.
//
// One host, the owner, keeps the Ledger of an upstream: how many requests each host has in flight
// there. Each host, a holder, asks the owner before it sends a request, and states its own count
// in each message (Holdings). A holder does not wait for an owner that does not respond (Owners).
//
// The package does no I/O, starts no goroutines and takes the current time as an argument.
package room
