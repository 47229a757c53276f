package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of schedules that rapid checks and a fixed seed, so
// that every CI run gives the same result. The command line overrides both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "150", "rapid.seed": "20261202"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
