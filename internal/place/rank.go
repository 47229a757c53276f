package place

import "github.com/cespare/xxhash/v2"

// weight is the rendezvous weight of an object at an upstream. The one with the
// highest weight has the object; when it leaves, only its objects move.
func weight(object, upstream uint64) uint64 {
	x := object ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
