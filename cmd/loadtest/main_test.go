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

// TestInvalidUsage checks that invalid flags, arguments and files are rejected with a single-line error that names what
// is invalid, and that the error counts as a usage or configuration error.
func TestInvalidUsage(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "result.json")
	if err := os.WriteFile(invalid, []byte("sizes: none"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args     []string
		wantText string
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
		{[]string{"tables", invalid}, "result.json"},
		{[]string{"capacity", invalid}, "--at"},
		{[]string{"capacity", "--at", "10", invalid}, "result.json"},
		{[]string{"capacity", "--at", "10"}, "result"},
	} {
		cmd := newCommand()
		cmd.SetArgs(x.args)
		cmd.SetOut(&bytes.Buffer{})
		err := cmd.ExecuteContext(t.Context())
		if !errors.Is(err, errUsage) && !errors.Is(err, loadtest.ErrInvalidConfig) ||
			!strings.Contains(err.Error(), x.wantText) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: error %v, want a single line that names what is invalid", x.args, err)
		}
	}
}
