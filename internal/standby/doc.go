// Package standby decides which entry hosts of a region are active, so that callers are
// sent to them, and which are standby hosts.
//
// Hosts of a fleet differ: a few have a fast link and a large part of a processor core,
// and many have a link of 10 Mbit/s. Callers choose at random among the hosts that the
// directory lists, so weak hosts would get as many requests as strong ones. A long
// response would then block a slow link, and heartbeats and queries for tokens of a
// customer's rate would be queued behind it. Besides, many hosts that each handle a small
// part of the requests know little of the load of upstreams, and each has its own
// connections and its own calls to the store.
//
// So callers are sent to the strongest hosts, as many as the load needs. Hosts of about
// the same strength are all active. The others are standby hosts: they follow the store,
// less often, and become active as soon as the active hosts are too few or have failed.
//
// The package does no I/O, starts no goroutine and keeps no state. Each host computes
// the same set from the same heartbeats.
package standby
