// Package delta packs a large value for hosts that have an earlier one: as the
// difference from that, compressed and checked by hashes of both.
//
// The package does no I/O and keeps no state.
package delta
