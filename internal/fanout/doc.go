// Package fanout spreads one change to many hosts that ask for it.
//
// Load pattern: a large change of the configuration is announced to hundreds of hosts,
// and all of them ask the one that has it. Its link would carry as many copies one
// after the other, and the last host would learn of the change seconds after the first.
// So a host sends no more than a part of its link, and names to the others those that it
// has sent the change to. The number of holders grows with each round trip, and the time
// until all have the change hardly grows with their number.
//
// The package does no I/O and takes time as an argument.
package fanout
