// Package fairqueue decides who is served next, who waits and who is refused
// at one service of one handler. It is pure: the time is an argument, and it
// starts nothing. It is not safe for concurrent use.
//
// Load patterns it answers, and what happens without it (FIFO with a bound on
// the length; figures in docs/UNDER-LOAD.md):
//
//   - One customer sends several times its rate. In a FIFO queue its requests
//     stand before everybody's and the others wait as long as it does. Here
//     each customer is served in proportion to its weight (start-time fair
//     queuing, Goyal, Vin and Cheng 1996), by the time its work takes and not
//     by the number of its requests.
//   - One key of a customer does the same to the customer's other keys. Keys
//     share their customer's part by the same rule.
//   - Long work among short. Slots are not preempted, so a few long requests
//     hold all of them and every short one waits for seconds. Long work may
//     hold only a part of the slots; see class.go.
//   - More work than there is room. A FIFO queue grows until what it serves is
//     too late to be of use: the slots are busy and goodput is nil. Here a
//     request is refused on arrival if what fair queuing will put before it
//     cannot be served within its budget, and a standing queue is kept short.
package fairqueue
