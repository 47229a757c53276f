// Package retry limits how many requests are retried by means of retry
// budgets. It does no I/O and reads no clock.
//
// If upstreams fail or shed requests because they are overloaded, retries add
// load: with two attempts at the handler and three handlers tried by the entry
// host, one request becomes up to six, and the retries keep the upstreams
// overloaded after the original cause has ended. The handler therefore retries at
// most a tenth of the first attempts, and the entry host another tenth, so that
// the load grows by at most a fifth. A retry of a request of which no byte reached
// an upstream adds no load there and is not counted.
package retry
