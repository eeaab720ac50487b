package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinebay/internal/config"
)

// TestCommandLine checks that invalid command lines and settings are reported as usage errors that name the problem,
// and that --help and --version succeed and name the program.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("node = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		want string
	}{
		{nil, "--config"},
		{[]string{"--config", bad}, "node"},
		{[]string{"--config", bad + ".none"}, "none"},
		{[]string{"extra"}, "extra"},
		{[]string{"--colour"}, "colour"},
	} {
		cmd := newCommand()
		cmd.SetArgs(x.args)
		err := cmd.Execute()
		if !errors.Is(err, errUsage) || !strings.Contains(err.Error(), x.want) {
			t.Errorf("arguments %v: error %v, want a usage error that names the problem", x.args, err)
		}
	}
	for _, flag := range []string{"--help", "--version"} {
		cmd := newCommand()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs([]string{flag})
		if err := cmd.Execute(); err != nil || !strings.Contains(out.String(), "pinebay") {
			t.Errorf("%s: error %v, output %q, want no error and the name of the program", flag, err, out.String())
		}
	}
	if _, err := newLogger(nil, "loud"); err == nil {
		t.Error("an unknown log level was accepted")
	}
}

// TestZoneReturnFlags checks that an invalid order is rejected with a one-line error that names the problem, and that
// zone failover is disabled without its flag.
func TestZoneReturnFlags(t *testing.T) {
	cfg := &config.Settings{Deployment: config.Deployment{
		Teams:      []config.Team{{Name: "red"}},
		Objectives: []config.Objective{{Kind: "wait", Class: "serve"}, {Kind: "finished", Class: "sweep"}},
	}}
	for _, row := range []struct {
		flags       zoneFailoverFlags
		wantEnabled bool
		want        string // in the error
	}{
		{zoneFailoverFlags{}, false, ""},
		{zoneFailoverFlags{enabled: true}, true, ""},
		{zoneFailoverFlags{enabled: true, order: "serve > team red"}, true, ""},
		{zoneFailoverFlags{order: "serve"}, false, "--zone-return"},
		{zoneFailoverFlags{enabled: true, order: "serve > nobody"}, false, "nobody"},
		{zoneFailoverFlags{enabled: true, order: "serve > serve"}, false, "serve"},
		{zoneFailoverFlags{enabled: true, order: "serve > sweep; sweep > serve"}, false, "contradicts"},
		{zoneFailoverFlags{enabled: true, order: "serve >"}, false, "malformed"},
	} {
		features, err := row.flags.features(cfg)
		switch {
		case (features.ZoneFailover != nil) != row.wantEnabled, (err != nil) != (row.want != ""):
			t.Errorf("%+v: features %v, error %v, want those of the test case", row.flags, features, err)
		case err != nil && (!strings.Contains(err.Error(), row.want) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%+v: error %v, want one line with %q", row.flags, err, row.want)
		}
	}
}
