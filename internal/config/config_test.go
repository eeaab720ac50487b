package config

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const validSettings = `
node = "n-0"
location = "a"
listen = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unknown = 3
[[seeds]]
node = "n-1"
peer_addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
zones = ["a", "b"]
[[deployment.teams]]
name = "red"
[deployment.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 40.0
[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 16
[deployment.cloud]
rps = 2.0
list_lag_s = 10.0
[deployment.quota]
core_share = 0.1
ram_mb = 70.0
max_sockets = 500
`

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Deployment.Controllers != 2 || s.Deployment.Team("red") == nil || s.Deployment.Team("blue") != nil ||
		s.Deployment.Workers.LeaseSeconds != 10 {
		t.Errorf("%+v", s)
	}
}

// TestErrorsNameTheField checks that settings with one invalid line are rejected with a one-line error that names the
// field.
func TestErrorsNameTheField(t *testing.T) {
	lines := strings.Split(validSettings, "\n")
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
		key, value, ok := strings.Cut(lines[i], " = ")
		if !ok || key == "unknown" || key == "zones" || key == "location" {
			return
		}
		modified := append([]string{}, lines...)
		switch rapid.SampledFrom([]string{"drop", "type", "range"}).Draw(t, "how") {
		case "drop":
			modified[i] = ""
		case "type":
			modified[i] = key + " = [true]"
		case "range":
			if strings.HasPrefix(value, `"`) {
				modified[i] = key + ` = ""`
			} else {
				modified[i] = key + " = -1"
			}
		}
		_, err := Parse([]byte(strings.Join(modified, "\n")))
		if err == nil {
			t.Fatalf("%q was accepted", modified[i])
		}
		if !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%q: error %q does not name the field, or has several lines", modified[i], err)
		}
	})
}

func TestMissingFile(t *testing.T) {
	if _, err := Load(t.TempDir() + "/none.toml"); err == nil {
		t.Error("a missing file was accepted")
	}
}

// TestQuotaTooSmall checks that a quota too small for any controller is rejected with a one-line error that names the
// field, and that the smallest valid quota is accepted.
func TestQuotaTooSmall(t *testing.T) {
	for _, row := range []struct{ from, to, field string }{
		{"ram_mb = 70.0", "ram_mb = 15.9", "ram_mb"},
		{"ram_mb = 70.0", "ram_mb = 16.0", ""},
		{"max_sockets = 500", "max_sockets = 25", "max_sockets"},
		{"max_sockets = 500", "max_sockets = 26", ""},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, row.from, row.to, 1)))
		switch {
		case row.field == "" && err != nil:
			t.Errorf("%s: error %v, want none", row.to, err)
		case row.field == "":
		case err == nil || !strings.Contains(err.Error(), row.field) || strings.Contains(err.Error(), "\n"):
			t.Errorf("%s: error %v, want one line that names the field", row.to, err)
		}
	}
}

// TestErrorTypes checks the types of errors, from which callers get the field of an invalid setting, and that the text
// that operators read does not change.
func TestErrorTypes(t *testing.T) {
	for _, row := range []struct{ name, from, to, field, line string }{
		{"missing", `node = "n-0"`, "", "node", "settings: field node: missing"},
		{
			"address", `listen = "10.0.0.1:8080"`, `listen = "here"`, "listen",
			`settings: field listen: "here" is not an IP address with a port`,
		},
		{
			"not positive", "cancel_s = 40.0", "cancel_s = 0.0", "deployment.workers.cancel_s",
			"settings: field deployment.workers.cancel_s: must be greater than 0",
		},
		{
			"negative team quota", `name = "red"`, "name = \"red\"\ngpus_max = -1.0", "deployment.teams[0]",
			"settings: field deployment.teams[0]: amounts must not be negative",
		},
		{
			"not a number in future", "txn_ops = 16", "txn_ops = 16\nnext = {rps = nan}", "deployment.state.next.rps",
			"settings: field deployment.state.next.rps: must not be negative",
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, row.from, row.to, 1)))
			var invalid *FieldError
			if !errors.As(err, &invalid) || invalid.Field != row.field || err.Error() != row.line {
				t.Errorf("error %v, want %q", err, row.line)
			}
		})
	}
	_, err := Parse([]byte(strings.Replace(validSettings, `node = "n-0"`, "node = 3", 1)))
	var decoding *DecodeError
	const line = "settings: line 2 column 8, field [node]: toml: cannot decode TOML integer into struct field " +
		"config.Settings.Name of type string"
	if !errors.As(err, &decoding) || decoding.Line != 2 || err.Error() != line {
		t.Errorf("error %v, want %q", err, line)
	}
}

// TestObjectives checks that each kind of objective is decoded from its name in the settings file.
func TestObjectives(t *testing.T) {
	s, err := Parse([]byte(validSettings + `
[[deployment.objectives]]
kind = "wait"
class = "quick"
within_s = 12.0
share = 0.9
[[deployment.objectives]]
kind = "finished"
class = "batch"
within_s = 600.0
share = 0.5
[[deployment.objectives]]
kind = "deadline"
class = "batch"
share = 0.5
times = 2.0
`))
	if err != nil {
		t.Fatal(err)
	}
	want := []Objective{
		{Kind: ObjectiveStartLatency, Class: "quick", WithinSeconds: 12, Fraction: 0.9},
		{Kind: ObjectiveCompletion, Class: "batch", WithinSeconds: 600, Fraction: 0.5},
		{Kind: ObjectiveDeadline, Class: "batch", Fraction: 0.5, DeadlineFactor: 2},
	}
	if !slices.Equal(s.Deployment.Objectives, want) {
		t.Errorf("objectives %+v, want %+v", s.Deployment.Objectives, want)
	}
}
