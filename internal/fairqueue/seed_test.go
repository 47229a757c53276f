package fairqueue

import "flag"

// init fixes the seed of rapid's random tests so that CI runs are
// reproducible. Use -rapid.seed=0 on the command line for a random seed.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
