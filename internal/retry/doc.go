// Package retry bounds how many requests are tried again. It is pure but for
// the mutex of Budgets.
//
// Load pattern: upstreams fail or shed because they are full, and each failed
// request is sent again. With two attempts at the handler and three handlers
// asked from the entry host, one request becomes up to six: the retries keep
// the upstreams full after the cause has gone. Only as many tries again are
// made as a tenth of the first tries at the handler, and as much again at the
// entry host, so that the load grows by a fifth at most. A request that no byte of reached an upstream adds no load there and
// is not counted.
package retry
