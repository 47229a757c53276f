// Package standby decides which entry hosts of a region take callers, and which
// stand by.
//
// Load pattern: a fleet whose hosts differ, a few with a fast link and a large
// part of a core and many with a link of 10 Mbit/s. Callers pick one of the
// hosts that the directory names at random, so weak hosts get as many requests
// as strong ones: a long answer then holds a weak link, and heartbeats and
// questions about a customer's rate wait behind it. Besides, many hosts that each
// send a small part of the requests know little of the load at upstreams, and each
// has its own connections and its own calls to the store.
//
// So callers are sent to the strongest hosts, as many as the load needs. Hosts of
// about the same strength all take callers. The others stand by: they follow the
// store, less often, and take over as soon as those that take callers are too few
// or gone.
//
// The package does no I/O, starts no goroutine and keeps no state. Each host
// works out the same set from the same heartbeats.
package standby
