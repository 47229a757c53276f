// Package freshness converts between the time as of which a host's copy of a state was known to
// match its source, and the age of the copy that the host sends to peers. The clocks of hosts are
// not related, so only ages cross the network.
//
// The package does no I/O and takes time as an argument.
package freshness
