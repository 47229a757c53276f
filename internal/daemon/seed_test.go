package daemon

import "flag"

// init fixes rapid's seed, so that CI gets the same result on every run. Use
// -rapid.seed=0 for a random seed.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
