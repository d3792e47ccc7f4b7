package config

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the seed of the property tests, unless -rapid.seed is given.
const propertySeed = "20260214"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
