package rendezvous

import "slices"

// Rank returns the n hosts with the highest hashes for the key, highest first, or all hosts if
// there are fewer. The first is the one that Pick returns.
func Rank(key string, hosts []string, n int) []string {
	left, ranked := slices.Clone(hosts), make([]string, 0, n)
	for len(ranked) < n && len(left) > 0 {
		next := Pick(key, left)
		ranked = append(ranked, next)
		left = slices.DeleteFunc(left, func(host string) bool { return host == next })
	}
	return ranked
}
