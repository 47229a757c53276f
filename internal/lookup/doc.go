// Package lookup answers which entry hosts a caller should use: its client
// block's zones first, spread by weight, without leaving and full hosts.
//
// Load pattern: 8.8 million look-ups a second over 2,300 daemons, from 380,000
// client blocks. Without an index, each answer would walk the blocks; without
// spread, all callers of a block would take the same host; without leaving
// full hosts out, a host would go on being found after it has no room.
//
// An Index is made once for each version of the configuration, a Directory
// once for each change of the ready daemons. An answer then costs one
// longest-prefix match and the copying of a few entries.
package lookup
