package place

import "github.com/cespare/xxhash/v2"

// weight is the rendezvous weight of an object at an upstream. The one with the
// highest weight has the object; when it leaves, only its objects move.
func weight(object, upstream uint64) uint64 {
	x := object*0x9e3779b97f4a7c15 ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// objectOf hashes an affinity key and the route on which it came; 0 stands for
// none.
//
// What one route has warmed at an upstream does not help another.
func objectOf(route, key string) Object {
	if key == "" {
		return 0
	}
	return Object(hash(route+"\x00"+key)) | 1
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
