package replay

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that a run says the same
// each time; -rapid.seed on the command line goes before it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
