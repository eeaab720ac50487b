// Package testutil provides helpers for tests. It fixes the seed of generated inputs, so that a test has the same
// result in every run; set PINEBAY_SEED to test with other inputs.
package testutil

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	// Registers the flags that fixSeed sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests of a package with the fixed seed. Call it from TestMain.
func Main(m *testing.M) {
	fixSeed()
	os.Exit(m.Run())
}

// Seed returns the seed for generated inputs, which is PINEBAY_SEED if it is set.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PINEBAY_SEED"), 10, 64); err == nil {
		return n
	}
	return 20261
}

// fixSeed sets the seed of package rapid and turns off its files with failed inputs.
func fixSeed() {
	for name, v := range map[string]string{"rapid.seed": strconv.FormatUint(Seed(), 10), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err) // rapid no longer has this flag
		}
	}
}

// ProductionFixture returns a message or record as encoded by the version in production. It is stored in hexadecimal in
// the directory testdata/production of the package under test.
func ProductionFixture(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "production", name+".hex"))
	if err != nil {
		tb.Fatal(err)
	}
	raw, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}
