// Package testkit fixes the seed of generated inputs, so that tests give the
// same verdict every run. Set PINEBAY_SEED to try others.
package testkit

import (
	"flag"
	"os"
	"testing"

	// Its flags must exist before the seed is set.
	_ "pgregory.net/rapid"
)

// Main runs a package's tests with the fixed seed, from its TestMain.
func Main(m *testing.M) {
	fixSeed()
	os.Exit(m.Run())
}

func fixSeed() {
	seed := os.Getenv("PINEBAY_SEED")
	if seed == "" {
		seed = "20261"
	}
	for name, v := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err) // a flag that the library no longer has
		}
	}
}
