package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinebay/internal/loadtest"
)

// TestBadInput: whatever can't be run is refused with one line that names what is wrong, and
// counts as wrong use.
func TestBadInput(t *testing.T) {
	odd := filepath.Join(t.TempDir(), "result.json")
	if err := os.WriteFile(odd, []byte("sizes: none"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args  []string
		names string
	}{
		{[]string{"--moons", "3"}, "moons"},
		{[]string{"extra"}, "extra"},
		{[]string{"--sizes", "many"}, "sizes"},
		{[]string{"--program", "/nowhere"}, "program"},
		{[]string{"--program", os.Args[0], "--sizes", "-4"}, "workers"},
		{[]string{"--program", os.Args[0], "--troubles", "rain"}, "rain"},
		{[]string{"--program", os.Args[0], "--port", "70000"}, "port"},
		{[]string{"--program", os.Args[0], "--sizes", "2000000"}, "workers"},
		{[]string{"tables"}, "result"},
		{[]string{"tables", "/nowhere.json"}, "nowhere"},
		{[]string{"tables", odd}, "result.json"},
		{[]string{"capacity", odd}, "--at"},
		{[]string{"capacity", "--at", "10", odd}, "result.json"},
		{[]string{"capacity", "--at", "10"}, "result"},
	} {
		cmd := newCommand()
		cmd.SetArgs(x.args)
		cmd.SetOut(&bytes.Buffer{})
		err := cmd.ExecuteContext(t.Context())
		if !errors.Is(err, errUsage) && !errors.Is(err, loadtest.ErrInvalidConfig) ||
			!strings.Contains(err.Error(), x.names) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", x.args, err)
		}
	}
}
