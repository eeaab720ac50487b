package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("node = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		want string
	}{
		{nil, "--config"}, {[]string{"--config", bad}, "node"}, {[]string{"--config", bad + ".none"}, "none"},
		{[]string{"extra"}, "extra"}, {[]string{"--colour"}, "colour"},
	} {
		cmd := command()
		cmd.SetArgs(x.args)
		err := cmd.Execute()
		if !errors.Is(err, errUsage) || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%v: %v", x.args, err)
		}
	}
	for _, flag := range []string{"--help", "--version"} {
		cmd := command()
		var out bytes.Buffer
		cmd.SetOut(&out)
		cmd.SetArgs([]string{flag})
		if err := cmd.Execute(); err != nil || !strings.Contains(out.String(), "pinebay") {
			t.Errorf("%s: %v %q", flag, err, out.String())
		}
	}
	if _, err := logger(nil, "loud"); err == nil {
		t.Error("an unknown level was taken")
	}
}
