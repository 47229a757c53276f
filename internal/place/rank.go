package place

import "github.com/cespare/xxhash/v2"

// weight returns the rendezvous weight of an object at an upstream. The upstream with
// the highest weight ranks first; when it leaves, only its objects move.
func weight(object, upstream uint64) uint64 {
	x := object*0x9e3779b97f4a7c15 ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// objectOf hashes an affinity key together with its route; 0 stands for no key. The
// same key on two routes denotes two objects, because work that one route has warmed at
// an upstream does not speed up requests of another.
func objectOf(route, key string) Object {
	if key == "" {
		return 0
	}
	return Object(hash(route+"\x00"+key)) | 1
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
