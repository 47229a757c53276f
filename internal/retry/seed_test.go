package retry_test

import "flag"

// init fixes the seed of rapid so that every CI run tests the same cases. Use
// -rapid.seed=0 on the command line to test random cases.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}
