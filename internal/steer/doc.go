// Package steer decides where a request runs: its own zone, its own region,
// then the other regions that may serve it. It is pure: the time is an
// argument, nothing is sent.
//
// Load pattern: a region gets more than it can serve (a burst, a lost zone, a
// cold cache), or operators move or drain it on purpose. Without this package
// every entry host would follow the lagging headroom of the others, all send
// to the region that looked empty half a second ago, overload it, and swing
// back: see the naive baseline in TestTwoRegionsDoNotOscillate.
//
// Three things keep that from happening. What leaves a region is a fraction
// that changes slowly (Spill). Which requests leave is decided by a hash, so
// that the same part of the traffic moves and warms the caches it meets. And
// whatever leaves takes a token from the cap of (service, from, to), which is
// a quota counted over the whole fleet: moves, drains and spill together can
// never exceed it, whatever any single daemon believes.
package steer
