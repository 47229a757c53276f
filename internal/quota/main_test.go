package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how far rapid searches; the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
