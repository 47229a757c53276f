// Package steer selects the daemons that may run a request and orders them:
// first the zone of the entry host, then the other zones of its region, then
// the other regions that may serve the request. The package does no I/O, and
// the current time is an argument.
//
// A region may receive more requests than it can serve (a burst, the loss of a
// zone, cold caches), or operators may move its traffic away or drain it.
// Advertised headroom is up to 5 s old. If every entry host followed it
// directly, all of them would send to the region that had free slots half a
// second ago, overload it, and then switch back. The naive baseline in
// TestTwoRegionsDoNotOscillate shows this oscillation.
//
// Three mechanisms prevent it. The fraction of traffic that leaves a region
// changes slowly (Spillover). A hash selects the requests that leave, so the
// same keys move each time and the caches of the other region become warm.
// Each request that leaves takes a token from the cap of its (service, from,
// to) triple. The cap is a fleet-wide quota, so moves, drains and spillover
// together never exceed it, even if a daemon has an outdated view of the fleet.
package steer
