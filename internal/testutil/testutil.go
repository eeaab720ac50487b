// Package testutil fixes the seed of generated inputs, so that tests give the
// same verdict every run. Set PINEBAY_SEED to try others.
package testutil

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	// Its flags must exist before the seed is set.
	_ "pgregory.net/rapid"
)

// Main runs a package's tests with the fixed seed, from its TestMain.
func Main(m *testing.M) {
	fixSeed()
	os.Exit(m.Run())
}

// Seed is where generated inputs begin.
func Seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("PINEBAY_SEED"), 10, 64); err == nil {
		return n
	}
	return 20261
}

func fixSeed() {
	for name, v := range map[string]string{"rapid.seed": strconv.FormatUint(Seed(), 10), "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err) // a flag that the library no longer has
		}
	}
}

// Production returns bytes as the version in production wrote them: those of a file in testdata/production of the
// package under test, in hexadecimal.
func Production(tb testing.TB, name string) []byte {
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
