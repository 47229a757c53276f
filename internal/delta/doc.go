// Package delta encodes a large value for hosts that have an earlier version of it: as a
// compressed difference from that version, verified by hashes of both values.
//
// The package does no I/O and keeps no state.
package delta
