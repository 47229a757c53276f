// Package rendezvous assigns keys to hosts by rendezvous (highest random weight)
// hashing. Hosts that know the same list of hosts pick the same one without
// exchanging messages.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the host with the highest hash for the key, or "" if hosts is empty.
// When a host leaves, only the keys assigned to that host move.
func Pick(key string, hosts []string) string {
	best, most := "", uint64(0)
	for _, host := range hosts {
		if x := xxhash.Sum64String(key + "/" + host); best == "" || x > most {
			best, most = host, x
		}
	}
	return best
}
