// Package fleet knows the other entry hosts: who is there, who is ready, and
// what customers ask for at each.
//
// Each daemon registers in the platform's store under a lease, which is how
// daemons find each other, and sends heartbeats by datagram. Hosts that take callers
// tell each other all; they send brief heartbeats to those that stand by, which answer
// only them. A heartbeat that is lost or late is made good by the next one, so
// neither connections nor acknowledgements are needed.
//
// A host is heard, or registered, or both. Callers are sent only to hosts that
// are heard. What must not be spent twice is kept for hosts that are either: a
// host that is cut off from this one may still be reached by callers, until its
// registration lapses.
package fleet
