// Package memory decides whether a host or an upstream may hold more bytes. The package has no
// side effects: callers pass the time or durations, and it starts no goroutines or timers.
//
// The load that it answers: callers upload and read slowly, by the thousand, so that each holds its
// request body or its response for seconds; a customer far over its rate sends large bodies; and
// upstreams crash because of the bodies that they hold. Nothing else bounds the sum of what callers
// make a host hold, and the process is killed when it exceeds its memory.
//
//   - Budget counts what callers make this host hold: their connections, their requests, the bodies
//     of these and the responses. It refuses what does not fit before it is read.
//   - Stall and Pace tell a slow caller from one that has stalled. The fuller the budget, the faster
//     callers must be, so that the slowest are ended first.
//   - UpstreamBytes counts the bodies that an upstream holds from this host, and Crashes learns from
//     crashes how many it bears.
package memory
