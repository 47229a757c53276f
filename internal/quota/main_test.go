package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how far rapid searches, and a fixed seed, so that CI gives the
// same verdict on every run; the command line overrides both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "150", "rapid.seed": "20261202"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
