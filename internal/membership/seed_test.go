package membership

import "flag"

// init sets a fixed seed for rapid, so that every CI run checks the same cases.
// Use -rapid.seed=0 on the command line for a random seed.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
