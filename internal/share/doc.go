// Package share decides which fraction of a customer's rate and burst each entry
// host may admit.
//
// The callers of a customer spread unevenly over the hosts and move between zones
// within a second, a customer may send several times its rate, and hosts fail, start
// and are partitioned. With an even split, most requests of a customer whose callers
// all enter through one zone would be rejected. With independent buckets, the customer
// would get its rate once per host.
//
// In each region one host, the shard owner, holds a customer's token bucket, and the
// other hosts of the region query it (see ShardOwner). While the owner does not respond,
// they query its deputies (see Requester), and admit a few requests from a local bucket if
// these do not respond either (see FallbackBuckets). The owner
// announces the demand of the customer in its region to the other owners, and gets the
// fraction of the rate that this demand has in the total demand. Owners that know the
// same demands together admit exactly the rate. They learn of each other's demand with
// a delay of about one heartbeat, so an owner computes its fraction from the demand
// that it has announced. The excess while demand moves between regions stays within
// the tolerance that operators were promised (see the tests). A host that is
// unresponsive but still registered keeps its fraction.
//
// The package does no I/O, starts no goroutine and takes time as an argument.
package share
