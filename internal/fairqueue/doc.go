// Package fairqueue schedules the requests of one service at one handler, a
// daemon that sends requests to upstreams: it decides which request is served
// next, which ones wait and which ones are refused. The package has no side effects: callers pass the current
// time, and it starts no goroutines or timers. It is not safe for concurrent
// use.
//
// The package solves these problems of a FIFO queue with a length limit
// (figures are in docs/UNDER-LOAD.md):
//
//   - A customer sends several times its rate. In a FIFO queue its requests
//     are ahead of all others, and every other customer waits as long as
//     that customer does. Here each customer is served in proportion to its weight by
//     start-time fair queueing (Goyal, Vin and Cheng 1996), measured by the
//     service time of its requests and not by their number.
//   - One API key of a customer has the same effect on the customer's other
//     keys. Keys share their customer's capacity by the same rule.
//   - Long requests are mixed with short ones. Slots are not preempted, so a
//     few long requests can hold all of them while every short request waits
//     for seconds. Long requests may hold only a fraction of the slots; see
//     class.go.
//   - The load exceeds the capacity. A FIFO queue grows until responses come
//     too late to be useful: the slots are busy and goodput is zero. Here a
//     request is refused on arrival if the work that fair queueing schedules
//     before it does not fit its budget, and a standing queue is kept short.
//
// Entry hosts, whose capacity is not a fixed number of slots, use HostQueue; the handlers of the
// earlier daemon use Queue. They share the estimates of service times.
package fairqueue
