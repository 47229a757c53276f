// Package fanout distributes one configuration change to many hosts that request it.
//
// A large change is announced to hundreds of hosts, and all of them request it from the
// host that has it. If that host sent each of them a copy over its link, one after the
// other, the last host would get the change seconds after the first. So a host uses only
// a fraction of its link for patches, and refers the other hosts to those that it has
// already sent the patch to. The number of patch sources grows with each round trip, and
// the time until all hosts have the change hardly grows with their number.
//
// The package does no I/O and takes time as an argument.
package fanout
