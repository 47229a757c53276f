// Package fleet tracks the other entry hosts: which are alive, which are ready, and
// the demand of each customer at each of them.
//
// Each daemon registers in the platform's store under a lease, which is how daemons
// discover each other, and sends heartbeats by datagram. Active hosts send each other
// full heartbeats. They send compact heartbeats to standby hosts, and standby hosts
// send heartbeats only to active hosts. The next heartbeat replaces one that is lost or
// late, so neither connections nor acknowledgements are needed.
//
// A host is alive if its heartbeats arrive, and registered if its registration is in
// the store. Callers are sent only to hosts that are alive. Rate shares and other
// budgets of the fleet are reserved for hosts that are alive or registered: callers may
// still reach a host that is partitioned from this one, until its registration expires.
package fleet
