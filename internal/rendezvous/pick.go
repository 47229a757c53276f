// Package rendezvous picks one of several hosts for a key, without a message: hosts
// that know the same others agree.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the host that has the key, "" if there is none. When a host leaves,
// only the keys that it had move.
func Pick(key string, hosts []string) string {
	best, most := "", uint64(0)
	for _, host := range hosts {
		if x := xxhash.Sum64String(key + "/" + host); best == "" || x > most {
			best, most = host, x
		}
	}
	return best
}
