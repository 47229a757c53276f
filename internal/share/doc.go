// Package share decides which part of a customer's rate and burst this entry
// host may admit.
//
// Load pattern: a customer's callers spread unevenly over the hosts and move
// between zones within a second; now and then one customer sends several times
// its rate; hosts die, start and are cut off. Without shares by demand, an even
// split refuses most of a customer that enters through one zone; without any
// split, the customer gets its rate once per host.
//
// In each region one host, the owner, holds a customer's bucket, and the others
// ask it (Owner, Spare). The owner tells the other hosts the rate at which the
// customer asks there, and takes the part of the rate that this demand has in the
// demand of all. Two owners that know the same demands give out exactly the rate.
// They know them with a delay of about a heartbeat, so a host goes by what it has
// told; what demand moves meanwhile stays within the tolerance that operators were
// promised (see the tests). A host that is silent but has not given up its registration
// keeps its part.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package share
